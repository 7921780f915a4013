// The engine stand-in's cache of prompt blocks: least recently used blocks are
// evicted first, and every change becomes a numbered cache event that is
// published late and may get lost.
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
  std::size_t events_per_batch = 0;  // 0: no bound
};

class BlockCache {
 public:
  BlockCache(BlockCacheOptions options, std::uint64_t seed);

  // Number of leading blocks of `chain` that are held; marks them as used.
  std::size_t Lookup(std::span<const BlockHash> chain);
  bool Contains(BlockHash hash) const { return blocks_.contains(hash); }
  std::size_t size() const { return blocks_.size(); }

  // Stores the chain's blocks and evicts others beyond the capacity. The first
  // block of a chain is the last of it to be evicted.
  void Store(std::span<const BlockHash> chain, Instant now);
  // Forgets all blocks and events; numbering starts again at 1.
  void Reset();

  // The next run of events without a gap that are due at `now`; no items if
  // there are none. A lost event leaves a gap in the numbers, so that the
  // events behind it come with the next call.
  CacheEvents TakeEvents(Instant now);

  void set_event_delay(Duration delay) { options_.event_delay = delay; }
  void set_event_loss_ppm(std::int32_t ppm) { options_.event_loss_ppm = ppm; }

 private:
  struct PendingEvent {
    std::uint64_t number;
    Instant due;
    CacheEvent event;
  };

  // Marks the held blocks of `chain` as used, the first one last.
  void TouchFromEnd(std::span<const BlockHash> chain);
  void EvictOver(Instant now);
  void Record(CacheEvent::Op op, BlockHash hash, Instant now);

  BlockCacheOptions options_;
  std::mt19937_64 random_;
  std::list<BlockHash> by_use_;  // most recently used first
  // Holds an entry for each element of by_use_.
  std::unordered_map<BlockHash, std::list<BlockHash>::iterator> blocks_;
  std::uint64_t last_number_ = 0;
  std::deque<PendingEvent> pending_;  // in order of number and of due
};

}  // namespace baobabrun::standin

#endif  // STANDIN_BLOCK_CACHE_H_
