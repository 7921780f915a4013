// Records endpoints' notices and decides whether an endpoint may be called.
#include "gateway/endpoint_backoff.h"

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

void EndpointBackoff::Retain(
    const std::function<bool(const EndpointId& endpoint)>& known) {
  std::erase_if(leaving_,
                [&known](const auto& it) { return !known(it.first); });
}

}  // namespace baobabrun
