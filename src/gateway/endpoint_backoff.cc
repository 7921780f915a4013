// Records endpoints' notices and decides whether an endpoint may be called.
#include "gateway/endpoint_backoff.h"

#include <algorithm>

namespace baobabrun {

bool EndpointBackoff::RecordLeaving(const EndpointId& endpoint,
                                    Incarnation incarnation) {
  const auto [it, added] = leaving_.try_emplace(endpoint, incarnation);
  if (added) {
    return true;
  }
  const bool newer = it->second < incarnation;
  if (newer) {
    it->second = incarnation;
  }
  return newer;
}

bool EndpointBackoff::Leaving(const EndpointId& endpoint,
                              Incarnation incarnation) const {
  const auto it = leaving_.find(endpoint);
  return it != leaving_.end() && incarnation <= it->second;
}

bool EndpointBackoff::RecordRetryAfter(const EndpointId& endpoint,
                                       Duration delay,
                                       Instant now) {
  if (delay <= Duration::zero()) {
    return false;
  }
  auto& until = held_until_[endpoint];
  const bool held = now < until;
  until = std::max(until, now + std::min(delay, options_.longest_hold));
  return !held;
}

Instant EndpointBackoff::HeldUntil(const EndpointId& endpoint) const {
  const auto it = held_until_.find(endpoint);
  return it == held_until_.end() ? Instant::min() : it->second;
}

Instant EndpointBackoff::CallableAt(const EndpointId& endpoint,
                                    Incarnation incarnation) const {
  return Leaving(endpoint, incarnation) ? Instant::max() : HeldUntil(endpoint);
}

void EndpointBackoff::Expire(
    const std::function<bool(const EndpointId& endpoint)>& known,
    Instant now) {
  std::erase_if(leaving_,
                [&known](const auto& it) { return !known(it.first); });
  std::erase_if(held_until_,
                [now](const auto& it) { return it.second <= now; });
}

}  // namespace baobabrun
