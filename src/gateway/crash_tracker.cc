// Counts, for each call, the endpoints that it crashed.
#include "gateway/crash_tracker.h"

namespace baobabrun {

bool CrashTracker::Add(std::uint64_t fingerprint,
                       const EndpointId& endpoint,
                       Instant now) {
  auto& it = records_[fingerprint];
  it.last = now;
  return it.endpoints.insert(endpoint).second;
}

bool CrashTracker::Quarantined(std::uint64_t fingerprint, Instant now) const {
  const auto it = records_.find(fingerprint);
  return it != records_.end() &&
         it->second.endpoints.size() >= options_.crash_limit &&
         now - it->second.last < options_.remembered;
}

void CrashTracker::Expire(Instant now) {
  std::erase_if(records_, [&](const auto& it) {
    return now - it.second.last >= options_.remembered;
  });
}

}  // namespace baobabrun
