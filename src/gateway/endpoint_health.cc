// Weights outcomes by age and decides which endpoints to avoid.
#include "gateway/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace baobabrun {

double EndpointHealth::Decay(const Record& record, Instant now) const {
  const std::chrono::duration<double> age = now - record.at;
  const std::chrono::duration<double> half = options_.half_life;
  return std::exp2(-age / half);
}

EndpointHealth::Record& EndpointHealth::Decayed(const EndpointId& endpoint,
                                                Instant now) {
  auto& it = records_[endpoint];
  const auto decay = Decay(it, now);
  it.successes *= decay;
  it.failures *= decay;
  it.silences *= decay;
  it.at = now;
  return it;
}

Duration EndpointHealth::Pause(int times) const {
  constexpr int kMostDoublings = 10;
  const auto doublings = std::clamp(times - 1, 0, kMostDoublings);
  return std::min(options_.unreachable * (1 << doublings),
                  options_.longest_unreachable);
}

void EndpointHealth::Succeeded(const EndpointId& endpoint,
                               const ZoneId& zone,
                               Instant now) {
  auto& it = Decayed(endpoint, now);
  it.successes += 1;
  it.failures += std::min(it.silences, 1.0);
  it.silences = 0;
  it.silent_pause = Duration::zero();
  it.unreachable_until = Instant();
  it.unreachable = 0;
  zones_.erase(zone);
}

void EndpointHealth::Failed(const EndpointId& endpoint, Instant now) {
  Decayed(endpoint, now).failures += 1;
}

void EndpointHealth::Silent(const EndpointId& endpoint, Instant now) {
  auto& it = Decayed(endpoint, now);
  it.silences += 1;
  if (it.silent_pause == Duration::zero()) {
    it.silent_pause = options_.silent;
  } else if (now >= it.silent_until) {
    it.silent_pause =
        std::min(2 * it.silent_pause, options_.longest_unreachable);
  }
  it.silent_until = now + it.silent_pause;
}

void EndpointHealth::Unreachable(const EndpointId& endpoint,
                                 const ZoneId& zone,
                                 Instant now) {
  auto& it = records_[endpoint];
  it.unreachable_until = now + Pause(++it.unreachable);
  auto& there = zones_[zone];
  if (++there.unreachable >= options_.zone_failures) {
    there.until = now + Pause(there.unreachable - options_.zone_failures + 1);
  }
}

bool EndpointHealth::Avoid(const EndpointId& endpoint,
                           const ZoneId& zone,
                           Instant now) const {
  const auto there = zones_.find(zone);
  if (there != zones_.end() && now < there->second.until) {
    return true;
  }
  const auto it = records_.find(endpoint);
  if (it == records_.end()) {
    return false;
  }
  const auto& record = it->second;
  if (now < record.unreachable_until) {
    return true;
  }
  const auto decay = Decay(record, now);
  const auto silences = now < record.silent_until
                            ? record.silences
                            : std::min(record.silences, 1.0);
  const auto failures = (record.failures + silences) * decay;
  const auto successes = record.successes * decay;
  return failures >= options_.avoid_failures &&
         failures >= options_.avoid_share * (failures + successes);
}

}  // namespace baobabrun
