// Simulates an inference engine: continuous batching with slots, prefill of
// prompt tokens that aren't cached, decoding steps over the whole batch, a
// block cache and delayed load reports. It uses no threads, sockets or clock.
// The caller passes the time, which must never decrease, and calls `Advance` at
// the time that `NextEvent` returns.
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
  std::int32_t slots = 8;        // number of requests that run at once
  std::int32_t queue_limit = 0;  // waiting requests; 0: unlimited
  std::int32_t block_tokens = 2048;
  Duration prefill_per_token = std::chrono::microseconds(100);
  // A decoding step produces one token for each request in the batch. It takes
  // `decode_step` plus `decode_per_request` for each request except the first.
  Duration decode_step = milliseconds(20);
  Duration decode_per_request = std::chrono::microseconds(500);
  Duration load_lag{};  // age of the reported load
  BlockCacheOptions cache;
};

struct EngineRequest {
  AttemptId id;
  std::vector<BlockHash> blocks;  // chained hashes of the prompt's full blocks
  std::int64_t prompt_tokens = 0;
  std::int64_t output_tokens = 1;  // length of the answer
  std::int32_t priority = 0;  // requests with the lowest value are served first
  bool poison = false;        // the engine crashes at the end of its prefill
};

struct EngineOutput {
  enum class Kind {
    kStarted,   // prefill has begun
    kToken,     // token number `token` was produced
    kFinished,  // follows the last token
    kCrashed,   // request `id` crashed the engine; all requests are lost
  };
  Kind kind = Kind::kToken;
  AttemptId id;
  Instant at;
  std::int64_t cached_tokens = 0;  // kStarted: prompt tokens found in the cache
  std::int64_t token = 0;          // kToken: starts at 1
};

class Engine {
 public:
  // Errors: StandinError::kInvalidOption.
  static Result<std::unique_ptr<Engine>> Create(EngineOptions options,
                                                std::uint64_t seed);

  // Queues or starts the request. Errors: StandinError::kQueueFull and
  // kDuplicate; the request isn't run then.
  Status Submit(EngineRequest request, Instant now);
  // Simulates the engine up to `now` and returns all new outputs in order of
  // time.
  std::vector<EngineOutput> Advance(Instant now);
  // Returns the time of the next output or state change, or nullopt if the
  // engine is idle.
  std::optional<Instant> NextEvent() const;
  // Removes the request, whether it waits or runs. Returns false if there is no
  // such request.
  bool Cancel(AttemptId id, Instant now);

  // Drops all requests and blocks and starts the next incarnation without any.
  // Returns the ids of the lost requests.
  std::vector<AttemptId> Crash(Instant now);

  // Returns the load at `load_lag` before `now`.
  LoadReport ReportedLoad(Instant now);
  LoadReport CurrentLoad() const;
  // Must be called repeatedly until it returns no items, since each call
  // returns one batch. See BlockCache::TakeEvents.
  CacheEvents TakeEvents(Instant now) { return cache_.TakeEvents(now); }

  // Stores blocks that another engine has exported.
  void ImportBlocks(std::span<const BlockHash> chain, Instant now);

  // Makes each later prefill and decoding step take `percent` of its normal
  // time.
  void SetWorkTimePercent(std::int32_t percent) {
    work_time_percent_ = percent;
  }
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
  // Sorts by priority, then by order of arrival.
  using QueueKey = std::pair<std::int32_t, std::uint64_t>;

  Engine(EngineOptions options, std::uint64_t seed);

  // Completes the prefills and decoding steps that end up to `now`.
  void RunUntil(Instant now);
  void FillSlots(Instant now);
  void StartPrefill(Instant now);
  void EndPrefill();
  void StartStep(Instant now);
  void EndStep();
  void ProduceToken(AttemptId id, Instant at);
  void Emit(EngineOutput::Kind kind, AttemptId id, Instant at);
  void SampleLoad(Instant now);
  // Removes a running request from its slot.
  void Release(AttemptId id);
  // Drops all requests and blocks and starts the next incarnation.
  void Restart();
  // Returns the time that `work` takes with the percentage set by
  // SetWorkTimePercent().
  Duration ScaledTime(Duration work) const;
  bool HasRequest(AttemptId id) const;

  const EngineOptions options_;
  BlockCache cache_;
  std::int32_t work_time_percent_ = 100;
  std::uint64_t incarnation_ = 1;
  std::uint64_t arrivals_ = 0;  // accepted requests, over all incarnations

  std::map<QueueKey, EngineRequest> queue_;
  std::map<AttemptId, Running> running_;  // at most `slots` entries
  // Each running request is in exactly one of the following three members.
  std::deque<AttemptId> awaiting_prefill_;
  std::optional<AttemptId> prefilling_;
  std::vector<AttemptId> decoding_;

  Instant prefill_end_;                // valid while prefilling_ has a value
  std::optional<Instant> step_end_;    // has a value while a step runs
  std::vector<AttemptId> step_batch_;  // decoding_ at the start of the step

  std::vector<EngineOutput> outputs_;
  std::deque<LoadSample> samples_;  // sorted by time; the first one is reported
};

}  // namespace baobabrun::standin

#endif  // STANDIN_ENGINE_H_
