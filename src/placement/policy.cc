// Expected time to first token.
#include "placement/policy.h"

#include <algorithm>

namespace baobabrun {
namespace {

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

double ToSeconds(Duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

Choice Policy::Choose(const PlacementQuery& query,
                      std::span<const EndpointSlot> candidates,
                      const EndpointTable& table) {
  Choice best;
  std::uint64_t ties = 0;
  for (const auto slot : candidates) {
    const auto it = Estimate(query, slot, table);
    if (ties == 0 || it.expected < best.expected) {
      best = it;
      ties = 1;
    } else if (it.expected == best.expected && random_() % ++ties == 0) {
      best = it;
    }
  }
  return best;
}

Choice Policy::Estimate(const PlacementQuery& query,
                        EndpointSlot slot,
                        const EndpointTable& table) const {
  const auto& state = table.at(slot);
  const auto load = table.LoadOf(slot, query.now);
  const auto prefill = query.request->prompt_tokens;
  const auto slots = std::max(state.last.slots, 1);
  double expected = static_cast<double>(load.prefill_tokens + prefill) /
                    options_.prefill_tokens_per_second;
  // Work spreads over the slots: a busier endpoint answers later.
  expected += ToSeconds(options_.service_time) * load.running / slots;
  expected *= state.slowdown;
  if (state.last.zone != zone_) {
    expected += ToSeconds(options_.other_zone);
  }
  return {slot, prefill, FromSeconds(expected)};
}

}  // namespace baobabrun
