// Which endpoint holds which prefix blocks, as far as this VM knows: from the
// endpoints' cache events, which come late, with gaps, doubled and out of
// order, and from its own placements, which predict what events will say.
//
// What is promised: an entry of an earlier incarnation, or from before the
// endpoint unloaded weights, is never matched. Entries of other organisations,
// models, adapters and weights have other hashes, because the hash chain starts
// from a seed made of these. Should two 64-bit hashes be equal by chance, a
// request may be placed worse than it could be, but never gets wrong content:
// engines look up their own blocks under the same seed.
#ifndef PREFIX_PREFIX_INDEX_H_
#define PREFIX_PREFIX_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "base/time.h"
#include "prefix/block_hash.h"
#include "prefix/cache_event.h"
#include "prefix/prefix_table.h"

namespace baobabrun {

struct PrefixIndexOptions {
  // How long a prediction is used without an event that confirms it.
  Duration prediction_bound = seconds(10);
  // Longest time from a change of a cache to the arrival of its event. An
  // eviction reported within this time of an own placement may be older than
  // the placement, and doesn't remove the prediction.
  Duration event_lag = milliseconds(2500);
  // After lost events an entry is used for this many times the usual life of an
  // unused block in its endpoint's cache.
  double trusted_lives = 5.0;
  // That life before any eviction was seen.
  Duration first_life = seconds(30);
  // Drop everything known of an endpoint at each gap instead.
  bool drop_on_gap = false;
  // Bits of the hash that are used. Narrowed only by tests, to force
  // collisions.
  BlockHash hash_mask = ~BlockHash{0};
};

class PrefixIndex {
 public:
  // Small number of an endpoint, given by the caller; below 65536.
  using Slot = std::uint32_t;

  explicit PrefixIndex(PrefixIndexOptions options) : options_(options) {}

  void OnEvents(Slot slot, const CacheEvents& events, Instant now);
  // A request with these blocks was sent to the endpoint.
  void Predict(Slot slot, std::span<const BlockHash> chain, Instant now);
  // The endpoint's next incarnation: forgets all of it, and its events count
  // from 1 again.
  void Restart(Slot slot);
  // The endpoint unloaded weights: forgets all of it.
  void Forget(Slot slot);
  // Frees the memory of dead entries a little at a time.
  void Sweep(Instant now);

  // Sets (*depths)[slot], for all slots below depths->size(), to the number of
  // leading blocks of `chain` the endpoint holds.
  void Match(std::span<const BlockHash> chain,
             Instant now,
             std::vector<std::uint16_t>* depths);

  // Includes dead entries that are not swept yet.
  std::size_t size() const { return table_.size(); }
  std::size_t memory_bytes() const { return table_.memory_bytes(); }
  std::uint64_t lost_events() const { return lost_events_; }

 private:
  struct SlotState {
    std::uint16_t generation = 0;
    std::uint64_t next_event = 1;  // all lower ones were applied or are lost
    bool gap = false;              // events of this incarnation were lost
    IndexTick gap_at = 0;          // the last time that happened
    double life = 0;               // of unused blocks, in ticks
  };

  static IndexTick TickOf(Instant now);
  SlotState& StateOf(Slot slot);
  bool IsLive(const PrefixEntry& entry, IndexTick now) const;
  PrefixTable::IsLive LiveAt(IndexTick now) const;
  void Apply(Slot slot, const CacheEvent& event, IndexTick now);
  void Store(Slot slot, BlockHash hash, bool predicted, IndexTick now);
  void Evict(Slot slot, BlockHash hash, IndexTick now);

  const PrefixIndexOptions options_;
  PrefixTable table_;
  std::vector<SlotState> slots_;
  std::uint64_t lost_events_ = 0;
};

}  // namespace baobabrun

#endif  // PREFIX_PREFIX_INDEX_H_
