// Order of waiting requests.
#include "placement/waiting_requests.h"

namespace baobabrun {

void WaitingRequests::Remove(RequestId id) {
  if (std::erase(again_, id) == 0) {
    fresh_.Remove(id);
  }
}

void WaitingRequests::Offer(const std::function<bool(RequestId)>& can_start,
                            const std::function<bool(RequestId)>& place,
                            Instant now) {
  std::erase_if(again_, place);
  const auto can_run = [&can_start](const QueuedRequest& it) {
    return can_start(it.request);
  };
  while (const auto next = fresh_.Pop(can_run, now)) {
    if (!place(next->request)) {
      again_.push_back(next->request);
    }
  }
}

}  // namespace baobabrun
