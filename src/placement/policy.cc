// Estimates of the time to first token.
#include "placement/policy.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Added to the observed and the expected time before their ratio is computed,
// so that a few milliseconds of delay don't make a short time look slow.
constexpr double kComparisonFloor = 0.1;  // seconds
constexpr double kMinRatio = 0.1;
// Limited because one wrong estimate of the cached prefix must not make an
// endpoint count as slow.
constexpr double kMaxRatio = 5.0;
constexpr double kServiceTimeWeight = 0.1;

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

double ToSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

std::int64_t MissingTokens(const PlacementQuery& query, EndpointIndex slot) {
  const auto depth = slot < query.depths.size() ? query.depths[slot] : 0;
  const std::int64_t held = std::int64_t{depth} * query.request->block_tokens;
  return std::max<std::int64_t>(query.request->prompt_tokens - held, 0);
}

EndpointIndex Policy::Choose(const PlacementQuery& query,
                             std::span<const EndpointIndex> candidates,
                             const EndpointTable& table) {
  scored_.clear();
  for (const auto slot : candidates) {
    const auto missing = static_cast<double>(MissingTokens(query, slot));
    scored_.push_back(
        {slot, ExpectedSeconds(query, slot, table) + RecomputeCost(missing)});
  }
  ApplySlowness(query, candidates, table);
  ApplyAffinity(query, table);
  return PickLowest();
}

double Policy::ExpectedSeconds(const PlacementQuery& query,
                               EndpointIndex slot,
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
    seconds += ToSeconds(options_.other_zone_cost);
  }
  return seconds;
}

// Returns the cost of computing `tokens` tokens beyond the time that it takes.
double Policy::RecomputeCost(double tokens) const {
  return tokens * (options_.recompute_weight - 1) /
         options_.prefill_tokens_per_second;
}

Duration Policy::ExpectedTimeToFirstToken(const PlacementQuery& query,
                                          EndpointIndex slot,
                                          const EndpointTable& table) const {
  return FromSeconds(ExpectedSeconds(query, slot, table));
}

Duration Policy::MinPrefillTime(std::int64_t tokens) const {
  return FromSeconds(static_cast<double>(tokens) /
                     options_.max_prefill_tokens_per_second);
}

double Policy::SlownessOf(const EndpointState& state, Instant now) const {
  const double half_lives = ToSeconds(now - state.slowness_at) /
                            ToSeconds(options_.slowness_half_life);
  return 1.0 + (state.slowness - 1.0) * std::exp2(-half_lives);
}

double Policy::MedianSlowness(std::span<const EndpointIndex> slots,
                              const EndpointTable& table,
                              Instant now) const {
  std::vector<double> all;
  all.reserve(slots.size());
  for (const auto slot : slots) {
    all.push_back(SlownessOf(table.at(slot), now));
  }
  const auto middle =
      all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
  std::nth_element(all.begin(), middle, all.end());
  return *middle;
}

bool Policy::IsSlow(EndpointIndex slot,
                    std::span<const EndpointIndex> others,
                    const EndpointTable& table,
                    Instant now) const {
  return SlownessOf(table.at(slot), now) >=
         MedianSlowness(others, table, now) * options_.slow_ratio;
}

// Raises the cost of slow endpoints. Each endpoint is compared with the median,
// so that a cause that slows all endpoints, or a wrong prefill rate, makes none
// of them count as slow. The cached prefix of a slow endpoint is ignored
// because computing the prefix again at another endpoint is better.
void Policy::ApplySlowness(const PlacementQuery& query,
                           std::span<const EndpointIndex> candidates,
                           const EndpointTable& table) {
  const double median = MedianSlowness(candidates, table, query.now);
  const double slow = median * options_.slow_ratio;
  for (auto& it : scored_) {
    const auto& state = table.at(it.slot);
    const double slowness = SlownessOf(state, query.now);
    // An endpoint whose slowness has decayed is probed with one request at a
    // time.
    const bool probed = state.slowness >= slow && state.running > 0;
    if (slowness >= slow || probed) {
      const auto held = static_cast<double>(query.request->prompt_tokens -
                                            MissingTokens(query, it.slot));
      it.seconds = (it.seconds + RecomputeCost(held) + kComparisonFloor) *
                   std::max(slowness / median, 1.0);
    }
  }
}

// Lowers the cost of one of the endpoints that have cached most of the prefix:
// the one that ranks first for the next block, because another VM may have
// placed a request with the same prefix there.
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

// Chooses at random among endpoints with equal cost, so that VMs with the same
// information don't all choose the same endpoint.
EndpointIndex Policy::PickLowest() {
  const Scored* best = nullptr;
  std::uint64_t equals = 0;
  for (const auto& it : scored_) {
    if (best == nullptr || it.seconds < best->seconds) {
      best = &it;
      equals = 1;
    } else if (it.seconds == best->seconds && random_() % ++equals == 0) {
      best = &it;
    }
  }
  return best->slot;
}

void Policy::OnFirstToken(EndpointState& state,
                          Duration expected,
                          Duration observed,
                          Instant now) const {
  const double ratio = (ToSeconds(observed) + kComparisonFloor) /
                       (ToSeconds(expected) + kComparisonFloor);
  const double before = SlownessOf(state, now);
  const double clamped = std::clamp(ratio, kMinRatio, kMaxRatio);
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
