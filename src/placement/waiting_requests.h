// The requests that wait for room at one pool's endpoints: those that were
// tried before, each on its own, then the new ones in fair order.
#ifndef PLACEMENT_WAITING_REQUESTS_H_
#define PLACEMENT_WAITING_REQUESTS_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <vector>

#include "base/ids.h"

namespace baobabrun {

class WaitingRequests {
 public:
  void PushNew(RequestId id) { fresh_.push_back(id); }
  // A request that was tried before, or must wait for something else than room.
  void PushAgain(RequestId id) { again_.push_back(id); }
  void Remove(RequestId id) {
    std::erase(fresh_, id);
    std::erase(again_, id);
  }
  std::size_t size() const { return fresh_.size() + again_.size(); }
  bool empty() const { return size() == 0; }

  // What `place` made of a request.
  enum class Step {
    kTaken,   // it no longer waits
    kAside,   // it waits for something else than room: others may pass
    kNoRoom,  // those behind it have no room either
  };
  // Offers requests in order until one finds no room.
  void Offer(const std::function<Step(RequestId)>& place) {
    std::erase_if(again_,
                  [&](RequestId id) { return place(id) == Step::kTaken; });
    while (!fresh_.empty()) {
      const auto id = fresh_.front();
      const auto step = place(id);
      if (step == Step::kNoRoom) {
        return;
      }
      fresh_.pop_front();
      if (step == Step::kAside) {
        again_.push_back(id);
      }
    }
  }

 private:
  std::deque<RequestId> fresh_;
  std::vector<RequestId> again_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_WAITING_REQUESTS_H_
