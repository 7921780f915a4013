// The requests that wait for room at one pool's endpoints: those that were
// tried before, each on its own, then the new ones, fair between organisations.
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
  explicit WaitingRequests(FairQueueOptions options) : fresh_(options) {}

  // Returns the requests that must be given up because too many wait, which may
  // be `request` itself.
  std::vector<RequestId> PushNew(const QueuedRequest& request, Instant now) {
    return fresh_.Push(request, now);
  }
  // A request that was tried before, or must wait for something else than room.
  void PushAgain(RequestId id) { again_.push_back(id); }
  void Remove(RequestId id);
  std::size_t size() const { return fresh_.size() + again_.size(); }
  std::size_t again() const { return again_.size(); }
  bool empty() const { return size() == 0; }

  // Offers requests to `place`, which returns false if the request must go on
  // waiting. New ones are offered only if `can_start`, which changes nothing.
  void Offer(const std::function<bool(RequestId)>& can_start,
             const std::function<bool(RequestId)>& place,
             Instant now);

 private:
  FairQueue fresh_;
  std::vector<RequestId> again_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_WAITING_REQUESTS_H_
