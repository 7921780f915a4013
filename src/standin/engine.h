// The engine stand-in's decisions: continuous batching with slots, prefill of
// missed prompt tokens, decoding in steps of the whole batch, a block cache and
// lagged load reports. It has no threads, sockets or clock: time is handed in,
// and `NextEvent` says when `Advance` has something to do. Instants handed in
// never go back.
#ifndef STANDIN_ENGINE_H_
#define STANDIN_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "endpoints/announcement.h"
#include "prefix/block_hash.h"
#include "standin/block_cache.h"

namespace baobabrun::standin {

struct EngineOptions {
  std::int32_t slots = 8;        // requests it runs at once
  std::int32_t queue_limit = 0;  // waiting requests; 0: no bound
  std::int32_t block_tokens = 2048;
  Duration prefill_per_token = std::chrono::microseconds(100);
  // One decoding step gives a token to each running request. It takes
  // `decode_step`, and `decode_per_request` more for each request but the
  // first.
  Duration decode_step = milliseconds(20);
  Duration decode_per_request = std::chrono::microseconds(500);
  Duration load_lag{};  // age of the load that is reported
  BlockCacheOptions cache;
};

struct EngineRequest {
  AttemptId id;
  std::vector<BlockHash> blocks;  // chained hashes of the whole blocks
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 1;  // length of the answer
  std::int32_t priority = 0;       // 0 is served first
  bool poison = false;             // crashes the engine when it starts
};

struct EngineOutput {
  enum class Kind {
    kStarted,   // prefill begins
    kToken,     // token number `token` is there
    kFinished,  // after the last token
    kCrashed,   // `id` crashed the engine; all requests are gone
  };
  Kind kind = Kind::kToken;
  AttemptId id;
  Instant at;
  std::int64_t cached_tokens = 0;  // kStarted: prompt tokens not prefilled
  std::int64_t token = 0;          // kToken: from 1
};

class Engine {
 public:
  // Errors: StandinError::kInvalidOption.
  static Result<std::unique_ptr<Engine>> Create(EngineOptions options,
                                                std::uint64_t seed);

  // Errors: StandinError::kQueueFull and kDuplicate; the request isn't run.
  Status Submit(EngineRequest request, Instant now);
  // All that happened up to `now`, in order of time.
  std::vector<EngineOutput> Advance(Instant now);
  // When `Advance` next has something to do; nothing while idle.
  std::optional<Instant> NextEvent() const;
  // Forgets the request, waiting or running. False if it is not known.
  bool Cancel(AttemptId id, Instant now);

  // Loses all requests and blocks; the next incarnation starts empty. Returns
  // the requests that were lost.
  std::vector<AttemptId> Crash(Instant now);

  // The load as it was `load_lag` ago.
  LoadReport ReportedLoad(Instant now);
  LoadReport CurrentLoad() const;
  // Call until it returns no items; see BlockCache::TakeEvents.
  CacheEvents TakeEvents(Instant now) { return cache_.TakeEvents(now); }

  // Takes over blocks that were exported elsewhere.
  void ImportBlocks(std::span<const BlockHash> chain, Instant now);

  // All work takes `percent` of its normal time from the next piece on.
  void SetPace(std::int32_t percent) { pace_percent_ = percent; }
  BlockCache& cache() { return cache_; }
  std::uint64_t incarnation() const { return incarnation_; }

 private:
  struct Running {
    EngineRequest request;
    std::int64_t cached_tokens = 0;
    std::int64_t produced = 0;
  };
  struct LoadSample {
    Instant at;
    LoadReport load;
  };
  // Priority first, then order of arrival.
  using QueueKey = std::pair<std::int32_t, std::uint64_t>;

  Engine(EngineOptions options, std::uint64_t seed);

  void Run(Instant now);
  void FillSlots(Instant now);
  void StartPrefill(Instant now);
  void EndPrefill();
  void StartStep(Instant now);
  void EndStep();
  void Produce(AttemptId id, Instant at);
  void Emit(EngineOutput::Kind kind, AttemptId id, Instant at);
  void SampleLoad(Instant now);
  void Release(AttemptId id);
  void Clear();
  Duration Paced(Duration work) const;
  bool Known(AttemptId id) const;

  const EngineOptions options_;
  BlockCache cache_;
  std::int32_t pace_percent_ = 100;
  std::uint64_t incarnation_ = 1;
  std::uint64_t arrivals_ = 0;

  std::map<QueueKey, EngineRequest> queue_;
  std::map<AttemptId, Running> running_;  // at most `slots` entries
  // Every running request is in exactly one of these three.
  std::deque<AttemptId> awaiting_prefill_;
  std::optional<AttemptId> prefilling_;
  std::vector<AttemptId> decoding_;

  Instant prefill_end_;                // set while prefilling_ is
  std::optional<Instant> step_end_;    // set while a step runs
  std::vector<AttemptId> step_batch_;  // decoding_ at the start of the step

  std::vector<EngineOutput> outputs_;
  std::deque<LoadSample> samples_;  // the first is the reported one
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ENGINE_H_
