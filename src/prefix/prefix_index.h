// Tracks which endpoints have cached which prefix blocks. The index is built
// from the cache events of the endpoints, which may arrive late, with gaps, as
// duplicates and out of order, and from the placements of this VM, which
// predict the events.
//
// The index guarantees that an entry of an earlier incarnation, or from before
// the endpoint unloaded weights, is never matched. Entries of other
// organisations, models, adapters and weights have different hashes, because
// the hash chain starts from a seed computed from these. If two 64-bit hashes
// are equal by chance, a request may be placed at a worse endpoint, but it
// never receives wrong content, because engines look up their own blocks with
// the same seed.
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
  // How long a prediction is used if no event confirms it.
  Duration prediction_lifetime = seconds(10);
  // Maximum time from a change of a cache to the arrival of its event. An
  // eviction that is reported within this time after a placement of this VM may
  // have happened before the placement, so it doesn't remove the prediction.
  Duration event_lag = milliseconds(2500);
  // After lost events, an entry is used for this multiple of the mean time for
  // which an unused block stays in the cache of its endpoint.
  double trusted_lifetimes = 5.0;
  // Initial value of that mean time, used until the first eviction is observed.
  Duration initial_lifetime = seconds(30);
  // If true, all entries of an endpoint are dropped at each gap in its events
  // instead.
  bool drop_on_gap = false;
  // Bits of the hash that are used. Only tests use fewer, to force collisions.
  BlockHash hash_mask = ~BlockHash{0};
};

class PrefixIndex {
 public:
  // Index of an endpoint, assigned by the caller. Must be less than 65536.
  using Slot = std::uint32_t;

  explicit PrefixIndex(PrefixIndexOptions options) : options_(options) {}

  // Applies cache events of an endpoint. Events that were applied before or
  // that arrive after later ones are skipped.
  void OnEvents(Slot slot, const CacheEvents& events, Instant now);
  // Records that a request with these blocks was sent to the endpoint, which
  // will therefore store them.
  void Predict(Slot slot, std::span<const BlockHash> chain, Instant now);
  // The endpoint has restarted. Drops all of its entries, and expects its next
  // event to have the sequence number 1.
  void Restart(Slot slot);
  // The endpoint has unloaded weights. Drops all of its entries.
  void Forget(Slot slot);
  // Frees the memory of dead entries in one part of the table at each call.
  void Sweep(Instant now);

  // Sets (*depths)[slot], for all slots less than depths->size(), to the number
  // of leading blocks of `chain` that the endpoint has cached.
  void Match(std::span<const BlockHash> chain,
             Instant now,
             std::vector<std::uint16_t>* depths);

  // The number of entries, including dead ones that Sweep has not removed yet.
  std::size_t size() const { return table_.size(); }
  std::size_t memory_bytes() const { return table_.memory_bytes(); }
  std::uint64_t lost_events() const { return lost_events_; }

 private:
  struct SlotState {
    std::uint16_t generation = 0;
    // Sequence number of the next event. All earlier events were applied or
    // lost.
    std::uint64_t next_event = 1;
    bool had_gap = false;    // events of this incarnation were lost
    IndexTick last_gap = 0;  // time of the last loss
    // Moving average of the time for which an unused block stays cached, in
    // ticks.
    double mean_lifetime = 0;
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
