// Expected time to first token.
#include "placement/policy.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Added to observed and expected times before they are compared, so that short
// times don't look slow for a few milliseconds more.
constexpr double kComparisonFloor = 0.1;  // seconds
constexpr double kLeastRatio = 0.1;
constexpr double kLargestRatio = 20.0;
constexpr double kServiceTimeWeight = 0.1;

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

double ToSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

std::int64_t MissingTokens(const PlacementQuery& query, EndpointSlot slot) {
  const auto depth = slot < query.depths.size() ? query.depths[slot] : 0;
  const std::int64_t held = std::int64_t{depth} * query.request->block_tokens;
  return std::max<std::int64_t>(query.request->prompt_tokens - held, 0);
}

EndpointSlot Policy::Choose(const PlacementQuery& query,
                            std::span<const EndpointSlot> candidates,
                            const EndpointTable& table) {
  scored_.clear();
  for (const auto slot : candidates) {
    const auto& last = table.at(slot).last;
    const double running = table.LoadOf(slot, query.now).running;
    scored_.push_back({slot, Seconds(query, slot, table),
                       running / std::max(last.slots, 1), last.zone.value()});
  }
  ApplySlowness(table, query.now);
  ApplyAffinity(query, table);
  return Draw();
}

double Policy::Seconds(const PlacementQuery& query,
                       EndpointSlot slot,
                       const EndpointTable& table) const {
  const auto& state = table.at(slot);
  const auto load = table.LoadOf(slot, query.now);
  const double slots = std::max(state.last.slots, 1);
  const double tokens =
      static_cast<double>(load.prefill_tokens + MissingTokens(query, slot));
  double seconds = tokens / options_.prefill_tokens_per_second;
  seconds += ToSeconds(options_.busy_cost) * load.running / slots;
  const double waiting = load.running + 1 - slots;
  if (waiting > 0) {
    const auto service = state.service_time.value_or(options_.service_time);
    seconds += ToSeconds(service) * waiting / slots;
  }
  if (state.last.zone != zone_) {
    seconds += ToSeconds(options_.other_zone);
  }
  return seconds;
}

Duration Policy::Expected(const PlacementQuery& query,
                          EndpointSlot slot,
                          const EndpointTable& table) const {
  return FromSeconds(Seconds(query, slot, table));
}

Duration Policy::LeastTime(std::int64_t tokens) const {
  return FromSeconds(static_cast<double>(tokens) /
                     options_.fastest_tokens_per_second);
}

double Policy::SlownessOf(const EndpointState& state, Instant now) const {
  const double half_lives = ToSeconds(now - state.slowness_at) /
                            ToSeconds(options_.slowness_half_life);
  return 1.0 + (state.slowness - 1.0) * std::exp2(-half_lives);
}

// Endpoints are compared with the median, so that what slows all of them, or a
// wrong prefill rate, makes none look slow.
void Policy::ApplySlowness(const EndpointTable& table, Instant now) {
  slowness_.clear();
  for (const auto& it : scored_) {
    slowness_.push_back(SlownessOf(table.at(it.slot), now));
  }
  auto sorted = slowness_;
  const auto middle = sorted.begin() + (sorted.size() - 1) / 2;
  std::nth_element(sorted.begin(), middle, sorted.end());
  const double median = *middle;
  for (std::size_t n = 0; n < scored_.size(); ++n) {
    const double relative = slowness_[n] / median;
    if (relative >= options_.slow_from) {
      scored_[n].seconds = (scored_[n].seconds + kComparisonFloor) * relative;
    }
  }
}

// Of the endpoints that hold most of the prefix, the one ranked first for the
// next block gets credit for what another VM may have placed there.
void Policy::ApplyAffinity(const PlacementQuery& query,
                           const EndpointTable& table) {
  std::size_t deepest = 0;
  for (const auto& it : scored_) {
    deepest = std::max<std::size_t>(deepest, query.depths[it.slot]);
  }
  if (deepest >= query.blocks.size() || options_.affinity <= 0) {
    return;
  }
  Scored* first = nullptr;
  std::uint64_t first_rank = 0;
  for (auto& it : scored_) {
    if (query.depths[it.slot] != deepest) {
      continue;
    }
    const auto rank = FastHash(table.at(it.slot).last.endpoint.value(),
                               query.blocks[deepest]);
    if (first == nullptr || rank > first_rank) {
      first = &it;
      first_rank = rank;
    }
  }
  const auto tokens = static_cast<double>((query.blocks.size() - deepest) *
                                          query.request->block_tokens);
  first->seconds -=
      options_.affinity * tokens / options_.prefill_tokens_per_second;
}

EndpointSlot Policy::Draw() {
  const auto least = std::min_element(scored_.begin(), scored_.end(),
                                      [](const auto& left, const auto& right) {
                                        return left.seconds < right.seconds;
                                      });
  const double bound = least->seconds + ToSeconds(options_.noise);
  const auto zone = least->zone;
  const auto end = std::partition(
      scored_.begin(), scored_.end(), [bound, zone](const auto& it) {
        return it.seconds <= bound && it.zone == zone;
      });
  const auto n = static_cast<std::uint64_t>(end - scored_.begin());
  const auto& one = scored_[random_() % n];
  const auto& other = scored_[random_() % n];
  return other.load < one.load ? other.slot : one.slot;
}

void Policy::OnFirstToken(EndpointState& state,
                          Duration expected,
                          Duration observed,
                          Instant now) const {
  const double ratio = (ToSeconds(observed) + kComparisonFloor) /
                       (ToSeconds(expected) + kComparisonFloor);
  const double before = SlownessOf(state, now);
  const double clamped = std::clamp(ratio, kLeastRatio, kLargestRatio);
  state.slowness = before + options_.slowness_weight * (clamped - before);
  state.slowness_at = now;
}

void Policy::OnComplete(EndpointState& state, Duration held_slot) const {
  const double before =
      ToSeconds(state.service_time.value_or(options_.service_time));
  state.service_time = FromSeconds(
      before + kServiceTimeWeight * (ToSeconds(held_slot) - before));
}

}  // namespace baobabrun
