// The engine stand-in's cache of prompt blocks. It evicts the least recently
// used blocks first. Each change gets a numbered cache event, which can be
// published with a delay or be lost, depending on the options.
#ifndef STANDIN_BLOCK_CACHE_H_
#define STANDIN_BLOCK_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <random>
#include <span>
#include <unordered_map>

#include "base/time.h"
#include "endpoints/announcement.h"
#include "prefix/block_hash.h"

namespace baobabrun::standin {

struct BlockCacheOptions {
  std::size_t capacity_blocks = 4096;
  Duration event_delay{};            // from a change to its publication
  std::int32_t event_loss_ppm = 0;   // share of events that are never published
  std::size_t events_per_batch = 0;  // 0: unlimited
};

class BlockCache {
 public:
  BlockCache(BlockCacheOptions options, std::uint64_t seed);

  // Returns the number of leading blocks of `chain` that are in the cache and
  // marks these blocks as used.
  std::size_t Lookup(std::span<const BlockHash> chain);
  bool Contains(BlockHash hash) const { return blocks_.contains(hash); }
  std::size_t size() const { return blocks_.size(); }

  // Stores the chain's blocks and evicts the least recently used blocks beyond
  // the capacity. Of one chain, the last block is evicted first and the first
  // block last.
  void Store(std::span<const BlockHash> chain, Instant now);
  // Removes all blocks and pending events. Event numbers start again at 1.
  void Reset();

  // Returns the next batch of events that are due at `now` and have consecutive
  // numbers; it has no items if no event is due. A lost event leaves a gap in
  // the numbers, so that the events after it are returned by the next call.
  CacheEvents TakeEvents(Instant now);

  void set_event_delay(Duration delay) { options_.event_delay = delay; }
  void set_event_loss_ppm(std::int32_t ppm) { options_.event_loss_ppm = ppm; }

 private:
  struct PendingEvent {
    std::uint64_t number;
    Instant due;
    CacheEvent event;
  };

  // Marks the blocks of `chain`, which must be in the cache, as used. It starts
  // with the last block, so that the first one is the most recently used.
  void MarkUsed(std::span<const BlockHash> chain);
  void EvictBeyondCapacity(Instant now);
  void RecordEvent(CacheEvent::Op op, BlockHash hash, Instant now);

  BlockCacheOptions options_;
  std::mt19937_64 random_;
  std::list<BlockHash> by_use_;  // most recently used first
  // Has an entry for each element of by_use_.
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> blocks_;
  std::uint64_t last_number_ = 0;
  std::deque<PendingEvent> pending_;  // sorted by number and by due
};

}  // namespace baobabrun::standin

#endif  // STANDIN_BLOCK_CACHE_H_
