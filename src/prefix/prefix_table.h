// The table behind the prefix index: pairs of block hash and endpoint slot, 16
// bytes each, in many small open-addressing segments. A segment grows alone and
// by less than double, so that no single insert takes long and memory stays
// under 32 bytes a pair.
#ifndef PREFIX_PREFIX_TABLE_H_
#define PREFIX_PREFIX_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "prefix/block_hash.h"

namespace baobabrun {

// Time in steps of the index, counted modulo 65536.
using IndexTick = std::uint16_t;

struct PrefixEntry {
  BlockHash hash = 0;
  std::uint16_t slot = 0;
  // Must equal the slot's present generation, or the entry is dead.
  std::uint16_t generation = 0;
  IndexTick stamp = 0;     // last stored, or last used by an own placement
  bool occupied = false;   // false: an empty cell
  bool predicted = false;  // placed by this VM; no event has confirmed it yet
};
static_assert(sizeof(PrefixEntry) == 16);

class PrefixTable {
 public:
  // Says whether an entry may still be used. Dead ones are dropped when their
  // segment is next rebuilt or swept.
  using IsLive = std::function<bool(const PrefixEntry&)>;

  PrefixTable();

  // Returns the entry, or null. Valid until the next Insert, Erase or Sweep.
  PrefixEntry* Find(BlockHash hash, std::uint16_t slot);
  // Adds an entry that is not there yet.
  PrefixEntry* Insert(BlockHash hash, std::uint16_t slot, const IsLive& live);
  void Erase(PrefixEntry* entry);
  // Drops all entries of a slot. Visits the whole table.
  void EraseAll(std::uint16_t slot);
  // Drops the dead entries of one segment; each call takes the next one.
  void SweepNext(const IsLive& live);

  // Calls `visit(entry)` for all entries with this hash.
  template <class Visit>
  void ForEach(BlockHash hash, Visit visit) {
    auto& segment = segments_[SegmentOf(hash)];
    if (segment.cells.empty()) {
      return;
    }
    for (auto n = HomeOf(hash, segment); segment.cells[n].occupied;
         n = Next(n, segment)) {
      if (segment.cells[n].hash == hash) {
        visit(segment.cells[n]);
      }
    }
  }

  std::size_t size() const { return size_; }
  std::size_t memory_bytes() const;

 private:
  struct Segment {
    std::vector<PrefixEntry> cells;
    std::uint32_t used = 0;  // occupied cells; always fewer than cells.size()
  };

  static std::size_t SegmentOf(BlockHash hash);
  static std::size_t HomeOf(BlockHash hash, const Segment& segment);
  static std::size_t Next(std::size_t n, const Segment& segment) {
    return n + 1 == segment.cells.size() ? 0 : n + 1;
  }
  static PrefixEntry* Place(const PrefixEntry& entry, Segment& segment);
  void Rebuild(Segment& segment, const IsLive& live);

  std::vector<Segment> segments_;
  std::size_t size_ = 0;  // sum of used
  std::size_t next_swept_ = 0;
};

}  // namespace baobabrun

#endif  // PREFIX_PREFIX_TABLE_H_
