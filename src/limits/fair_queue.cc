// Deficit round robin between organisations.
#include "limits/fair_queue.h"

#include <algorithm>
#include <utility>

namespace baobabrun {

std::vector<RequestId> FairQueue::Push(QueuedRequest request, Instant now) {
  request.queued = now;
  request.weight = std::max<std::uint32_t>(request.weight, 1);
  request.cost = std::max<std::int64_t>(request.cost, 1);
  auto& into = classes_[static_cast<std::size_t>(request.priority)];
  auto it = into.flows.find(request.organisation);
  if (it == into.flows.end()) {
    into.turn_order.emplace_back().organisation = request.organisation;
    it = into.flows
             .emplace(request.organisation, std::prev(into.turn_order.end()))
             .first;
  }
  auto& flow = *it->second;
  flow.weight = request.weight;
  flow.cost += request.cost;
  flow.requests.push_back(std::move(request));
  ++size_;
  std::vector<RequestId> shed;
  while (size_ > options_.capacity) {
    shed.push_back(ShedNewest());
  }
  return shed;
}

std::optional<QueuedRequest> FairQueue::Pop(const CanRun& can_run,
                                            Instant now) {
  ++pop_number_;
  for (auto& it : classes_) {
    if (auto request = PopFrom(it, can_run, now)) {
      return request;
    }
  }
  return std::nullopt;
}

std::vector<RequestId> FairQueue::Expire(Instant now) {
  return RemoveIf(
      [now](const QueuedRequest& it) { return it.deadline <= now; });
}

bool FairQueue::Remove(RequestId request) {
  return !RemoveIf([request](const QueuedRequest& it) {
            return it.request == request;
          }).empty();
}

std::size_t FairQueue::SizeOf(const OrganisationId& organisation) const {
  std::size_t n = 0;
  for (const auto& it : classes_) {
    const auto flow = it.flows.find(organisation);
    n += flow == it.flows.end() ? 0 : flow->second->requests.size();
  }
  return n;
}

std::optional<Instant> FairQueue::NextDeadline() const {
  std::optional<Instant> next;
  for (const auto& it : classes_) {
    for (const auto& flow : it.turn_order) {
      for (const auto& request : flow.requests) {
        next = next ? std::min(*next, request.deadline) : request.deadline;
      }
    }
  }
  return next;
}

std::optional<QueuedRequest> FairQueue::PopFrom(ClassQueue& from,
                                                const CanRun& can_run,
                                                Instant now) {
  // A flow whose first request can't run keeps its deficit for later. The loop
  // ends when no flow can run, or when a flow has enough deficit for its first
  // request.
  std::size_t blocked = 0;
  while (blocked < from.turn_order.size()) {
    const auto flow = from.turn_order.begin();
    const auto& first = flow->requests.front();
    if (flow->checked_in_pop != pop_number_) {
      flow->checked_in_pop = pop_number_;
      flow->runnable = first.deadline > now && can_run(first);
    }
    if (!flow->runnable) {
      // Its deficit and quantum stay as they are. With a new quantum in each
      // Pop that finds no room, the first flow would take all the capacity.
      from.turn_order.splice(from.turn_order.end(), from.turn_order, flow);
      ++blocked;
      continue;
    }
    blocked = 0;
    if (!flow->quantum_added) {
      flow->deficit += options_.quantum * flow->weight;
      flow->quantum_added = true;
    }
    if (flow->deficit >= first.cost) {
      flow->deficit -= first.cost;
      return TakeFront(from, flow);
    }
    flow->quantum_added = false;
    from.turn_order.splice(from.turn_order.end(), from.turn_order, flow);
  }
  return std::nullopt;
}

QueuedRequest FairQueue::TakeFront(ClassQueue& from,
                                   std::list<Flow>::iterator flow) {
  QueuedRequest request = std::move(flow->requests.front());
  flow->requests.pop_front();
  flow->cost -= request.cost;
  --size_;
  EraseIfEmpty(from, flow);
  return request;
}

// A flow without queued requests loses its deficit, so that an idle
// organisation can't save up turns.
void FairQueue::EraseIfEmpty(ClassQueue& from, std::list<Flow>::iterator flow) {
  if (flow->requests.empty()) {
    from.flows.erase(flow->organisation);
    from.turn_order.erase(flow);
  }
}

RequestId FairQueue::ShedNewest() {
  ClassQueue* from = nullptr;
  std::list<Flow>::iterator largest;
  for (auto& it : classes_) {
    for (auto flow = it.turn_order.begin(); flow != it.turn_order.end();
         ++flow) {
      // On a tie, the lower priority class loses its request.
      if (from == nullptr ||
          static_cast<__int128>(flow->cost) * largest->weight >=
              static_cast<__int128>(largest->cost) * flow->weight) {
        from = &it;
        largest = flow;
      }
    }
  }
  const RequestId request = largest->requests.back().request;
  largest->cost -= largest->requests.back().cost;
  largest->requests.pop_back();
  --size_;
  EraseIfEmpty(*from, largest);
  return request;
}

template <class Predicate>
std::vector<RequestId> FairQueue::RemoveIf(const Predicate& predicate) {
  std::vector<RequestId> removed;
  for (auto& from : classes_) {
    for (auto flow = from.turn_order.begin(); flow != from.turn_order.end();) {
      const auto current = flow++;
      std::erase_if(current->requests, [&](const QueuedRequest& it) {
        if (!predicate(it)) {
          return false;
        }
        removed.push_back(it.request);
        current->cost -= it.cost;
        --size_;
        return true;
      });
      EraseIfEmpty(from, current);
    }
  }
  return removed;
}

}  // namespace baobabrun
