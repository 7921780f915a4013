// Cache events and predictions.
#include "prefix/prefix_index.h"

#include <algorithm>
#include <limits>

namespace baobabrun {
namespace {

constexpr Duration kTick = milliseconds(250);
// Weight of one observed life in the running mean.
constexpr double kLifeWeight = 0.02;

// Entries older than this are refreshed or dropped before ticks wrap around.
constexpr IndexTick kOldest = std::numeric_limits<IndexTick>::max() / 2;

double InTicks(Duration duration) {
  return static_cast<double>(duration.count()) /
         static_cast<double>(kTick.count());
}

IndexTick Age(IndexTick stamp, IndexTick now) {
  return static_cast<IndexTick>(now - stamp);
}

}  // namespace

IndexTick PrefixIndex::TickOf(Instant now) {
  return static_cast<IndexTick>(now.time_since_epoch() / kTick);
}

PrefixIndex::SlotState& PrefixIndex::StateOf(Slot slot) {
  if (slot >= slots_.size()) {
    SlotState fresh;
    fresh.life = InTicks(options_.first_life);
    slots_.resize(slot + 1, fresh);
  }
  return slots_[slot];
}

void PrefixIndex::OnEvents(Slot slot, const CacheEvents& events, Instant now) {
  if (events.items.empty()) {
    return;
  }
  const auto tick = TickOf(now);
  auto& state = StateOf(slot);
  if (events.first > state.next_event) {
    lost_events_ += events.first - state.next_event;
    if (options_.drop_on_gap) {
      Forget(slot);
    }
    state.gap = true;
    state.gap_at = tick;
    state.next_event = events.first;
  }
  // Events that were applied before, or come after later ones, are skipped: a
  // block named by an old event may have changed since.
  const auto known = state.next_event - events.first;
  for (std::size_t n = known; n < events.items.size(); ++n) {
    Apply(slot, events.items[n], tick);
  }
  state.next_event =
      std::max(state.next_event, events.first + events.items.size());
}

void PrefixIndex::Apply(Slot slot, const CacheEvent& event, IndexTick now) {
  const auto hash = event.hash & options_.hash_mask;
  if (event.op == CacheEvent::Op::kStore) {
    Store(slot, hash, /*predicted=*/false, now);
  } else {
    Evict(slot, hash, now);
  }
}

void PrefixIndex::Store(Slot slot,
                        BlockHash hash,
                        bool predicted,
                        IndexTick now) {
  const auto& state = slots_[slot];
  auto* entry = table_.Find(hash, static_cast<std::uint16_t>(slot));
  const bool known = entry != nullptr && IsLive(*entry, now);
  if (entry == nullptr) {
    entry = table_.Insert(hash, static_cast<std::uint16_t>(slot), LiveAt(now));
  }
  // A placement doesn't make a confirmed entry a prediction.
  entry->predicted = predicted && (!known || entry->predicted);
  entry->generation = state.generation;
  entry->stamp = now;
}

void PrefixIndex::Evict(Slot slot, BlockHash hash, IndexTick now) {
  auto* entry = table_.Find(hash, static_cast<std::uint16_t>(slot));
  if (entry == nullptr) {
    return;
  }
  auto& state = slots_[slot];
  const auto age = Age(entry->stamp, now);
  if (entry->generation == state.generation &&
      age <= InTicks(options_.event_lag)) {
    entry->predicted = true;
    return;
  }
  if (entry->generation == state.generation) {
    state.life += kLifeWeight * (age - state.life);
  }
  table_.Erase(entry);
}

void PrefixIndex::Predict(Slot slot,
                          std::span<const BlockHash> chain,
                          Instant now) {
  StateOf(slot);
  for (const auto hash : chain) {
    Store(slot, hash & options_.hash_mask, /*predicted=*/true, TickOf(now));
  }
}

void PrefixIndex::Restart(Slot slot) {
  Forget(slot);
  auto& state = slots_[slot];
  state.next_event = 1;
  state.gap = false;
}

void PrefixIndex::Forget(Slot slot) {
  auto& state = StateOf(slot);
  state.generation += 1;
  if (state.generation == 0) {
    // Generations have wrapped around: entries of the first would come alive.
    table_.EraseAll(static_cast<std::uint16_t>(slot));
  }
}

void PrefixIndex::Sweep(Instant now) {
  table_.SweepNext(LiveAt(TickOf(now)));
}

PrefixTable::IsLive PrefixIndex::LiveAt(IndexTick now) const {
  return [this, now](const PrefixEntry& it) { return IsLive(it, now); };
}

bool PrefixIndex::IsLive(const PrefixEntry& entry, IndexTick now) const {
  const auto& state = slots_[entry.slot];
  if (entry.generation != state.generation) {
    return false;
  }
  const auto age = Age(entry.stamp, now);
  if (age >= kOldest) {
    return false;
  }
  if (entry.predicted) {
    return age <= InTicks(options_.prediction_bound);
  }
  // After lost events the block's eviction may be among them.
  const bool before_gap = state.gap && Age(state.gap_at, now) <= age;
  return !before_gap || age <= options_.trusted_lives * state.life;
}

void PrefixIndex::Match(std::span<const BlockHash> chain,
                        Instant now,
                        std::vector<std::uint16_t>* depths) {
  const auto tick = TickOf(now);
  std::fill(depths->begin(), depths->end(), std::uint16_t{0});
  const std::size_t most = std::numeric_limits<std::uint16_t>::max();
  const auto length = std::min(chain.size(), most);
  for (std::uint16_t n = 0; n < length; ++n) {
    bool any = false;
    table_.ForEach(chain[n] & options_.hash_mask, [&](const PrefixEntry& it) {
      if (it.slot < depths->size() && (*depths)[it.slot] == n &&
          IsLive(it, tick)) {
        (*depths)[it.slot] += 1;
        any = true;
      }
    });
    if (!any) {
      return;
    }
  }
}

}  // namespace baobabrun
