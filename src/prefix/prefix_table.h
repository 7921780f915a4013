// The hash table of the prefix index. Its entries are pairs of block hash and
// endpoint slot, of 16 bytes each, in many small segments with open addressing.
// Each segment grows independently and by less than a factor of two, so that no
// single insert takes long and memory stays below 32 bytes per pair.
#ifndef PREFIX_PREFIX_TABLE_H_
#define PREFIX_PREFIX_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "prefix/block_hash.h"

namespace baobabrun {

// Time in units of the tick of the index, modulo 65536.
using IndexTick = std::uint16_t;

struct PrefixEntry {
  BlockHash hash = 0;
  std::uint16_t slot = 0;
  // The entry is dead unless this equals the current generation of the slot.
  std::uint16_t generation = 0;
  // The last time at which the block was stored or used by a placement of this
  // VM.
  IndexTick last_refresh = 0;
  bool occupied = false;  // false if the cell is empty
  // True if a placement of this VM predicted the block and no event has
  // confirmed it yet.
  bool predicted = false;
};
static_assert(sizeof(PrefixEntry) == 16);

class PrefixTable {
 public:
  // Returns whether an entry may still be used. Other entries are dead, and are
  // dropped when their segment is next rebuilt or swept.
  using IsLive = std::function<bool(const PrefixEntry&)>;

  PrefixTable();

  // Returns the entry, or null if there is none. The pointer is valid until the
  // next Insert, Erase, EraseAll or SweepNext.
  PrefixEntry* Find(BlockHash hash, std::uint16_t slot);
  // Adds an entry, which must not exist yet.
  PrefixEntry* Insert(BlockHash hash, std::uint16_t slot, const IsLive& live);
  void Erase(PrefixEntry* entry);
  // Drops all entries of a slot. Visits the whole table.
  void EraseAll(std::uint16_t slot);
  // Drops the dead entries of one segment. Consecutive calls go through all
  // segments in turn.
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
    std::uint32_t used =
        0;  // number of occupied cells, always less than cells.size()
  };

  static std::size_t SegmentOf(BlockHash hash);
  static std::size_t HomeOf(BlockHash hash, const Segment& segment);
  static std::size_t Next(std::size_t n, const Segment& segment) {
    return n + 1 == segment.cells.size() ? 0 : n + 1;
  }
  static PrefixEntry* Place(const PrefixEntry& entry, Segment& segment);
  void Rebuild(Segment& segment, const IsLive& live);

  std::vector<Segment> segments_;
  std::size_t size_ = 0;  // sum of `used` over all segments
  std::size_t next_swept_ = 0;
};

}  // namespace baobabrun

#endif  // PREFIX_PREFIX_TABLE_H_
