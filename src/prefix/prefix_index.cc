// Handling of cache events and predictions.
#include "prefix/prefix_index.h"

#include <algorithm>
#include <limits>

namespace baobabrun {
namespace {

constexpr Duration kTick = milliseconds(250);
// Weight of one observation in the moving average of lifetimes.
constexpr double kLifetimeWeight = 0.02;

// Entries older than this are dead. Sweep drops them before ticks wrap around,
// unless they are refreshed.
constexpr IndexTick kMaxAge = std::numeric_limits<IndexTick>::max() / 2;

double InTicks(Duration duration) {
  return static_cast<double>(duration.count()) /
         static_cast<double>(kTick.count());
}

IndexTick Age(IndexTick last_refresh, IndexTick now) {
  return static_cast<IndexTick>(now - last_refresh);
}

}  // namespace

IndexTick PrefixIndex::TickOf(Instant now) {
  return static_cast<IndexTick>(now.time_since_epoch() / kTick);
}

PrefixIndex::SlotState& PrefixIndex::StateOf(Slot slot) {
  if (slot >= slots_.size()) {
    SlotState fresh;
    fresh.mean_lifetime = InTicks(options_.initial_lifetime);
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
    state.had_gap = true;
    state.last_gap = tick;
    state.next_event = events.first;
  }
  // Events that were applied before, or that arrive after later ones, are
  // skipped, because the block in an old event may have changed since then.
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
  // A placement doesn't turn a confirmed entry into a prediction.
  entry->predicted = predicted && (!known || entry->predicted);
  entry->generation = state.generation;
  entry->last_refresh = now;
}

void PrefixIndex::Evict(Slot slot, BlockHash hash, IndexTick now) {
  auto* entry = table_.Find(hash, static_cast<std::uint16_t>(slot));
  if (entry == nullptr) {
    return;
  }
  auto& state = slots_[slot];
  const auto age = Age(entry->last_refresh, now);
  if (entry->generation == state.generation &&
      age <= InTicks(options_.event_lag)) {
    entry->predicted = true;
    return;
  }
  if (entry->generation == state.generation) {
    state.mean_lifetime += kLifetimeWeight * (age - state.mean_lifetime);
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
  state.had_gap = false;
}

void PrefixIndex::Forget(Slot slot) {
  auto& state = StateOf(slot);
  state.generation += 1;
  if (state.generation == 0) {
    // The generation has wrapped around to 0. Entries that were stored with
    // this generation would otherwise become live again.
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
  const auto age = Age(entry.last_refresh, now);
  if (age >= kMaxAge) {
    return false;
  }
  if (entry.predicted) {
    return age <= InTicks(options_.prediction_lifetime);
  }
  // The eviction of a block that was stored before a gap may be among the lost
  // events.
  const bool before_gap = state.had_gap && Age(state.last_gap, now) <= age;
  return !before_gap || age <= options_.trusted_lifetimes * state.mean_lifetime;
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
