// The order in which waiting requests are placed.
#include "placement/waiting_requests.h"

namespace baobabrun {

void WaitingRequests::Remove(RequestId id) {
  if (std::erase(retries_, id) == 0) {
    new_requests_.Remove(id);
  }
}

void WaitingRequests::PlaceWaiting(
    const std::function<bool(RequestId)>& can_start,
    const std::function<bool(RequestId)>& place,
    Instant now) {
  std::erase_if(retries_, place);
  const auto can_run = [&can_start](const QueuedRequest& it) {
    return can_start(it.request);
  };
  while (const auto next = new_requests_.Pop(can_run, now)) {
    if (!place(next->request)) {
      retries_.push_back(next->request);
    }
  }
}

}  // namespace baobabrun
