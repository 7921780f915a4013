// The requests of one pool that wait for an endpoint with capacity. Retries
// come first and are considered one by one. New requests follow in the order of
// the fair queue, which shares capacity between organisations.
#ifndef PLACEMENT_WAITING_REQUESTS_H_
#define PLACEMENT_WAITING_REQUESTS_H_

#include <cstddef>
#include <functional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "limits/fair_queue.h"

namespace baobabrun {

class WaitingRequests {
 public:
  explicit WaitingRequests(FairQueueOptions options) : new_requests_(options) {}

  // Returns the requests that must be refused because too many wait. `request`
  // itself may be one of them.
  std::vector<RequestId> PushNew(const QueuedRequest& request, Instant now) {
    return new_requests_.Push(request, now);
  }
  // Adds a request that was attempted before, or that waits for something other
  // than capacity.
  void PushRetry(RequestId id) { retries_.push_back(id); }
  void Remove(RequestId id);
  std::size_t size() const { return new_requests_.size() + retries_.size(); }
  std::size_t retries() const { return retries_.size(); }
  bool empty() const { return size() == 0; }

  // Calls `place` for waiting requests. `place` returns false if the request
  // must keep waiting. For new requests it is called only if `can_start`, which
  // has no side effects, returns true.
  void PlaceWaiting(const std::function<bool(RequestId)>& can_start,
                    const std::function<bool(RequestId)>& place,
                    Instant now);

 private:
  FairQueue new_requests_;
  std::vector<RequestId> retries_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_WAITING_REQUESTS_H_
