// Segments of the prefix table, with linear probing.
#include "prefix/prefix_table.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

constexpr int kSegmentBits = 12;
constexpr std::size_t kSegments = std::size_t{1} << kSegmentBits;
constexpr std::size_t kMinSegmentCells = 8;  // cells
// A segment is rebuilt when its load factor would exceed the first value. It
// then has the second one.
constexpr double kMaxLoadFactor = 0.8;
constexpr double kLoadFactorAfterRebuild = 0.55;

// Distributes hashes that are not uniform evenly over all 64 bits.
std::uint64_t Mix(BlockHash hash) {
  constexpr std::uint64_t kGolden = 0x9E3779B97F4A7C15;
  constexpr int kHalf = 32;
  const std::uint64_t mixed = hash * kGolden;
  return (mixed ^ (mixed >> kHalf)) * kGolden;
}

}  // namespace

PrefixTable::PrefixTable() : segments_(kSegments) {}

std::size_t PrefixTable::SegmentOf(BlockHash hash) {
  constexpr int kWidth = 64;
  return Mix(hash) >> (kWidth - kSegmentBits);
}

std::size_t PrefixTable::HomeOf(BlockHash hash, const Segment& segment) {
  constexpr int kWidth = 32;
  const std::uint64_t low = Mix(hash) & 0xFFFFFFFF;
  return (low * segment.cells.size()) >> kWidth;
}

PrefixEntry* PrefixTable::Find(BlockHash hash, std::uint16_t slot) {
  auto& segment = segments_[SegmentOf(hash)];
  if (segment.cells.empty()) {
    return nullptr;
  }
  for (auto n = HomeOf(hash, segment); segment.cells[n].occupied;
       n = Next(n, segment)) {
    auto& it = segment.cells[n];
    if (it.hash == hash && it.slot == slot) {
      return &it;
    }
  }
  return nullptr;
}

PrefixEntry* PrefixTable::Insert(BlockHash hash,
                                 std::uint16_t slot,
                                 const IsLive& live) {
  auto& segment = segments_[SegmentOf(hash)];
  const auto most = static_cast<double>(segment.cells.size()) * kMaxLoadFactor;
  if (segment.used + 1 > most) {
    Rebuild(segment, live);
  }
  PrefixEntry entry;
  entry.hash = hash;
  entry.slot = slot;
  entry.occupied = true;
  size_ += 1;
  return Place(entry, segment);
}

PrefixEntry* PrefixTable::Place(const PrefixEntry& entry, Segment& segment) {
  auto n = HomeOf(entry.hash, segment);
  while (segment.cells[n].occupied) {
    n = Next(n, segment);
  }
  segment.cells[n] = entry;
  segment.used += 1;
  return &segment.cells[n];
}

// Fills the hole by moving later entries of the same run of occupied cells
// back, so that no tombstones are needed.
void PrefixTable::Erase(PrefixEntry* entry) {
  auto& segment = segments_[SegmentOf(entry->hash)];
  const std::size_t cells = segment.cells.size();
  std::size_t hole = entry - segment.cells.data();
  for (auto n = Next(hole, segment); segment.cells[n].occupied;
       n = Next(n, segment)) {
    const auto home = HomeOf(segment.cells[n].hash, segment);
    const auto from_home = (n + cells - home) % cells;
    const auto from_hole = (n + cells - hole) % cells;
    if (from_home >= from_hole) {
      segment.cells[hole] = segment.cells[n];
      hole = n;
    }
  }
  segment.cells[hole] = PrefixEntry();
  segment.used -= 1;
  size_ -= 1;
}

void PrefixTable::EraseAll(std::uint16_t slot) {
  const auto other = [slot](const auto& it) { return it.slot != slot; };
  for (auto& it : segments_) {
    Rebuild(it, other);
  }
}

void PrefixTable::SweepNext(const IsLive& live) {
  auto& segment = segments_[next_swept_];
  next_swept_ = (next_swept_ + 1) % kSegments;
  const bool has_dead =
      std::any_of(segment.cells.begin(), segment.cells.end(),
                  [&live](const auto& it) { return it.occupied && !live(it); });
  if (has_dead) {
    Rebuild(segment, live);
  }
}

void PrefixTable::Rebuild(Segment& segment, const IsLive& live) {
  const auto old = std::exchange(segment.cells, {});
  size_ -= segment.used;
  segment.used = 0;
  const auto kept = std::count_if(
      old.begin(), old.end(),
      [&live](const auto& it) { return it.occupied && live(it); });
  const auto wanted = static_cast<double>(kept + 1) / kLoadFactorAfterRebuild;
  segment.cells.resize(
      std::max(kMinSegmentCells, static_cast<std::size_t>(wanted) + 1));
  for (const auto& it : old) {
    if (it.occupied && live(it)) {
      Place(it, segment);
    }
  }
  size_ += segment.used;
}

std::size_t PrefixTable::memory_bytes() const {
  std::size_t bytes = segments_.size() * sizeof(Segment);
  for (const auto& it : segments_) {
    bytes += it.cells.capacity() * sizeof(PrefixEntry);
  }
  return bytes;
}

}  // namespace baobabrun
