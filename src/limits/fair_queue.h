// The queue of requests that wait for an endpoint, fair between organisations:
// deficit round robin over cost in tokens, by contract weight. A higher
// priority class goes first. Memory is bounded; when it is full, requests of
// the organisation furthest above its share are given up. Whenever a request
// can run, one does.
#ifndef LIMITS_FAIR_QUEUE_H_
#define LIMITS_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "settings/declarations.h"

namespace baobabrun {

struct QueuedRequest {
  RequestId request;
  OrganisationId organisation;
  std::uint32_t weight = 1;  // of the organisation, at least 1
  PriorityClass priority = PriorityClass::kStandard;
  std::int64_t cost = 1;  // tokens, at least 1
  // By this instant the request must have been taken to be served in time.
  Instant deadline;
  Instant queued;  // set by Push
};

struct FairQueueOptions {
  std::size_t capacity = 4096;  // requests
  // Tokens that an organisation of weight 1 gets in one round.
  std::int64_t quantum = 1024;
};

class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {}) : options_(options) {}

  // Queues `request` and returns the requests given up for it, which may be
  // `request` itself: the newest of the organisation whose queued cost by
  // weight is largest.
  std::vector<RequestId> Push(QueuedRequest request, Instant now);

  // Takes the next request for which `can_run` says yes. One that can't run
  // now, since its endpoints are full, holds up only its own organisation and
  // class. Requests past their deadline are not returned. `can_run` is asked at
  // most once for each organisation and class.
  using CanRun = std::function<bool(const QueuedRequest&)>;
  std::optional<QueuedRequest> Pop(const CanRun& can_run, Instant now);

  // Removes and returns the requests whose deadline has come.
  std::vector<RequestId> Expire(Instant now);
  // Removes a request that was given up; false if it isn't queued.
  bool Remove(RequestId request);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t SizeOf(const OrganisationId& organisation) const;
  // The earliest deadline of all, if any is queued.
  std::optional<Instant> NextDeadline() const;

 private:
  static constexpr std::size_t kClasses = 3;

  // One organisation's requests of one class.
  struct Flow {
    OrganisationId organisation;
    std::uint32_t weight = 1;
    std::int64_t deficit = 0;  // tokens it may still take in this round
    bool granted = false;      // this round's quantum was added
    std::uint64_t asked = 0;   // the Pop in which can_run was last asked
    bool runnable = false;     // its answer
    std::int64_t cost = 0;     // sum over requests
    std::deque<QueuedRequest> requests;  // never empty
  };
  // A class's flows, in the order in which they take their turns.
  struct Class {
    std::list<Flow> turns;
    std::unordered_map<OrganisationId, std::list<Flow>::iterator> flows;
  };

  std::optional<QueuedRequest> PopFrom(Class& from,
                                       const CanRun& can_run,
                                       Instant now);
  QueuedRequest TakeFront(Class& from, std::list<Flow>::iterator flow);
  void EraseIfEmpty(Class& from, std::list<Flow>::iterator flow);
  RequestId Shed();
  template <class Predicate>
  std::vector<RequestId> RemoveIf(const Predicate& predicate);

  const FairQueueOptions options_;
  std::array<Class, kClasses> classes_;  // by PriorityClass
  std::size_t size_ = 0;                 // never above options_.capacity
  std::uint64_t pops_ = 0;
};

}  // namespace baobabrun

#endif  // LIMITS_FAIR_QUEUE_H_
