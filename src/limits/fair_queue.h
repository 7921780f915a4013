// A queue of requests that wait for an endpoint, fair between organisations:
// deficit round robin over the cost in tokens, weighted by contract. Requests
// of a higher priority class go first. The number of queued requests is
// bounded; when the queue is full, requests of the organisation furthest above
// its share are dropped. The queue is work-conserving: whenever a request can
// run, Pop returns one.
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
  // The request must be taken from the queue before this time to be served in
  // time.
  Instant deadline;
  Instant queued;  // set by Push
};

struct FairQueueOptions {
  std::size_t capacity = 4096;  // requests
  // Tokens that an organisation of weight 1 may take in one round.
  std::int64_t quantum = 1024;
};

class FairQueue {
 public:
  explicit FairQueue(FairQueueOptions options = {}) : options_(options) {}

  // Queues `request` and returns the requests that were dropped to make room,
  // which may include `request` itself. Drops the newest request of the
  // organisation and class whose queued cost divided by weight is largest.
  std::vector<RequestId> Push(QueuedRequest request, Instant now);

  // Removes and returns the next request for which `can_run` returns true. A
  // request that can't run now, because its endpoints are full, delays only its
  // own organisation and class. Requests past their deadline are not returned.
  // Calls `can_run` at most once for each organisation and class.
  using CanRun = std::function<bool(const QueuedRequest&)>;
  std::optional<QueuedRequest> Pop(const CanRun& can_run, Instant now);

  // Removes and returns the requests whose deadline has passed.
  std::vector<RequestId> Expire(Instant now);
  // Removes a cancelled request. Returns false if it isn't queued.
  bool Remove(RequestId request);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  std::size_t SizeOf(const OrganisationId& organisation) const;
  // Returns the earliest deadline, or nothing if the queue is empty.
  std::optional<Instant> NextDeadline() const;

 private:
  static constexpr std::size_t kClasses = 3;

  // One organisation's requests of one class.
  struct Flow {
    OrganisationId organisation;
    std::uint32_t weight = 1;
    std::int64_t deficit = 0;    // tokens that it may still take in this round
    bool quantum_added = false;  // this round's quantum was added
    // The number of the Pop that last called can_run, and its result.
    std::uint64_t checked_in_pop = 0;
    bool runnable = false;
    std::int64_t cost = 0;               // sum over requests
    std::deque<QueuedRequest> requests;  // never empty
  };
  // The flows of one priority class, in round-robin order.
  struct ClassQueue {
    std::list<Flow> turn_order;
    std::unordered_map<OrganisationId, std::list<Flow>::iterator> flows;
  };

  std::optional<QueuedRequest> PopFrom(ClassQueue& from,
                                       const CanRun& can_run,
                                       Instant now);
  QueuedRequest TakeFront(ClassQueue& from, std::list<Flow>::iterator flow);
  void EraseIfEmpty(ClassQueue& from, std::list<Flow>::iterator flow);
  RequestId ShedNewest();
  template <class Predicate>
  std::vector<RequestId> RemoveIf(const Predicate& predicate);

  const FairQueueOptions options_;
  std::array<ClassQueue, kClasses> classes_;  // by PriorityClass
  std::size_t size_ = 0;                      // never above options_.capacity
  std::uint64_t pop_number_ = 0;
};

}  // namespace baobabrun

#endif  // LIMITS_FAIR_QUEUE_H_
