// The public functions of the dispatcher, and its queues and timers.
#include "placement/dispatcher.h"

#include <algorithm>

#include "base/log.h"
#include "placement/placement_error.h"

namespace baobabrun {
namespace {

// Retry-after time for callers that are refused because no endpoint or no
// capacity is available.
constexpr Duration kRetryAfter = seconds(1);

PoolKey PoolOf(const Request& request) {
  if (request.caller.kind == RequestKind::kService) {
    return {request.service, ModelId(), "", ""};
  }
  return {"", request.caller.call.model, request.weights, request.adapter};
}

std::vector<BlockHash> BlocksOf(const Request& request) {
  if (request.caller.kind == RequestKind::kService ||
      request.caller.call.prompt == nullptr || request.block_tokens <= 0) {
    return {};
  }
  const auto seed = BlockSeed(request.organisation, request.caller.call.model,
                              request.adapter, request.weights);
  return HashBlocks(
      *request.caller.call.prompt, seed,
      static_cast<std::size_t>(request.block_tokens) * kBytesPerToken);
}

}  // namespace

Result<std::unique_ptr<Dispatcher>> Dispatcher::Create(
    DispatcherOptions options) {
  if (options.max_attempts_per_request < 1 || options.max_queued < 1 ||
      options.overcommit < 0) {
    return Error{PlacementError::kBadOptions,
                 "max_attempts_per_request and max_queued must be at least 1, "
                 "overcommit "
                 "must not be negative"};
  }
  return std::unique_ptr<Dispatcher>(new Dispatcher(std::move(options)));
}

Dispatcher::Dispatcher(DispatcherOptions options)
    : options_(std::move(options)),
      table_(options_.endpoints),
      policy_(options_.policy, options_.zone, options_.seed),
      budget_(options_.retries),
      index_(options_.prefix),
      suspects_(options_.suspects) {}

void Dispatcher::Submit(RequestPtr request, Instant now) {
  table_.ExpirePeerLoads(now);
  const auto id = request->caller.id;
  auto& it = open_[id];
  it.request = std::move(request);
  it.pool = PoolOf(*it.request);
  if (draining_) {
    EndWithRefusal(it, {RefusalReason::kShuttingDown,
                        "this VM is shutting down", true, kRetryAfter});
    return;
  }
  it.blocks = BlocksOf(*it.request);
  it.latest_start = LatestStart(it, now);
  if (now > it.latest_start) {
    EndWithRefusal(it, {RefusalReason::kDeadline, "the deadline can't be met",
                        true, kRetryAfter});
    return;
  }
  budget_.Earn(it.request->organisation);
  const PoolKey pool = it.pool;
  Enqueue(it, /*is_retry=*/false, now);
  DrainQueue(pool, now);
}

void Dispatcher::Abandon(RequestId request, Instant, RefusalReason reason) {
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  EndWithRefusal(found->second, {reason, "the request was given up", true, {}});
}

void Dispatcher::OnAnnouncement(const Announcement& it, Instant now) {
  const auto out = table_.OnAnnouncement(it, now);
  if (out.change == EndpointTable::Change::kStale) {
    return;
  }
  if (out.change == EndpointTable::Change::kForeign) {
    Log(Event::kAnnouncementForeign,
        {{"endpoint", it.endpoint.value()}, {"service", it.service}},
        "an announcement under the id of endpoint {} names another kind or "
        "service and is ignored",
        it.endpoint.value());
    return;
  }
  if (out.change == EndpointTable::Change::kNewIncarnation) {
    index_.Restart(out.slot);
    CancelAttemptsOfOldIncarnation(out.slot);
  } else if (out.change == EndpointTable::Change::kUnloaded) {
    index_.Forget(out.slot);
  }
  index_.OnEvents(out.slot, it.events, now);
  suspects_.OnHeartbeat(it.endpoint, it.incarnation, now);
  DrainQueues(now);
}

void Dispatcher::SetRetired(std::vector<EndpointId> retired, Instant now) {
  table_.SetRetired(retired);
  DrainQueues(now);
}

void Dispatcher::Advance(Instant now) {
  table_.ExpirePeerLoads(now);
  for (const auto slot : table_.Expire(now)) {
    const auto& it = table_.at(slot).last;
    suspects_.OnExpired(it.endpoint, it.incarnation);
  }
  if (now >= next_report_at_) {
    next_report_at_ = now + options_.report_interval;
    CheckOverdue(now);
    ReportToPeers(now);
    index_.Sweep(now);
    suspects_.RemoveExpired(now);
  }
  DrainQueues(now);
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto found = open_.find(timers_.begin()->second);
    SetTimer(found->second, std::nullopt);
    OnTimer(found->second, now);
  }
}

std::optional<Instant> Dispatcher::NextEvent() const {
  std::optional<Instant> next = table_.NextExpiry();
  const auto sooner = [&next](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  if (!timers_.empty()) {
    sooner(timers_.begin()->first);
  }
  if (reported_load_ || !attempts_.empty() || !suspects_.empty()) {
    sooner(next_report_at_);
  }
  return next;
}

std::vector<DispatcherAction> Dispatcher::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<std::string> Dispatcher::TakeMessages() {
  return std::exchange(messages_, {});
}

WaitingRequests& Dispatcher::QueueOf(const PoolKey& pool) {
  const FairQueueOptions options{options_.max_queued, options_.queue_quantum};
  return queues_.try_emplace(pool, options).first->second;
}

void Dispatcher::Enqueue(OpenRequest& it, bool is_retry, Instant now) {
  it.state = OpenRequest::State::kQueued;
  SetTimer(it, std::min(it.latest_start, now + options_.endpoint_wait));
  const auto& request = *it.request;
  auto& queue = QueueOf(it.pool);
  if (is_retry) {
    queue.PushRetry(request.caller.id);
    return;
  }
  const auto refused = queue.PushNew(
      {request.caller.id, request.organisation, request.weight,
       request.priority, request.prompt_tokens + request.max_tokens,
       request.caller.deadline, now},
      now);
  for (const auto id : refused) {
    Finish(open_.at(id), Refusal{RefusalReason::kQueueFull,
                                 "too many requests wait", true, kRetryAfter});
  }
}

void Dispatcher::DrainQueue(const PoolKey& pool, Instant now) {
  QueueOf(pool).PlaceWaiting(
      [this, now](RequestId id) { return CanStart(open_.at(id), now); },
      [this, now](RequestId id) { return Place(open_.at(id), now); }, now);
}

void Dispatcher::DrainQueues(Instant now) {
  for (const auto& [pool, queue] : queues_) {
    if (!queue.empty()) {
      DrainQueue(pool, now);
    }
  }
}

// Returns the deadline minus the time in which the fastest engine could compute
// the tokens that the endpoint with the longest cached prefix has not cached.
// An answer that has begun may continue after the deadline.
Instant Dispatcher::LatestStart(const OpenRequest& it, Instant now) {
  if (it.answer_begun) {
    return Instant::max();
  }
  const auto query = QueryFor(it, now);
  auto least = it.request->prompt_tokens;
  for (const auto slot : table_.Matching(*it.request)) {
    least = std::min(least, MissingTokens(query, slot));
  }
  return it.request->caller.deadline - policy_.MinPrefillTime(least);
}

void Dispatcher::SetWaitTimer(OpenRequest& it, Instant now) {
  it.latest_start = LatestStart(it, now);
  SetTimer(it, std::min(it.latest_start, now + options_.endpoint_wait));
}

void Dispatcher::SetTimer(OpenRequest& it, std::optional<Instant> timer) {
  const auto id = it.request->caller.id;
  if (it.timer) {
    timers_.erase({*it.timer, id});
  }
  it.timer = timer;
  if (timer) {
    timers_.emplace(*timer, id);
  }
}

void Dispatcher::OnTimer(OpenRequest& it, Instant now) {
  if (it.state == OpenRequest::State::kRunning || now >= it.latest_start) {
    EndWithRefusal(it, {RefusalReason::kDeadline, "the deadline can't be met",
                        true, kRetryAfter});
    return;
  }
  if (table_.Matching(*it.request).empty()) {
    EndWithRefusal(it, {RefusalReason::kNoEndpoint,
                        "no endpoint can run this now", true, kRetryAfter});
    return;
  }
  SetWaitTimer(it, now);
}

// Cancels the attempts at an endpoint that has restarted. When their reports
// arrive, the requests are retried.
void Dispatcher::CancelAttemptsOfOldIncarnation(EndpointIndex slot) {
  for (auto& [id, it] : attempts_) {
    if (it.slot == slot && !it.endpoint_restarted &&
        it.incarnation < table_.at(slot).last.incarnation) {
      it.endpoint_restarted = true;
      actions_.emplace_back(CancelAttempt{id});
    }
  }
}

// Refuses the request as soon as none of its attempts runs. Finish sets the
// refusal's not_run.
void Dispatcher::EndWithRefusal(OpenRequest& it, Refusal refusal) {
  if (it.state == OpenRequest::State::kRunning) {
    if (!it.pending_refusal) {
      SetTimer(it, std::nullopt);
      actions_.emplace_back(CancelAttempt{it.attempt});
      it.pending_refusal = std::move(refusal);
    }
    return;
  }
  QueueOf(it.pool).Remove(it.request->caller.id);
  Finish(it, std::move(refusal));
}

void Dispatcher::Finish(OpenRequest& it, std::optional<Refusal> refusal) {
  const auto id = it.request->caller.id;
  if (refusal) {
    refusal->not_run = !it.reached_endpoint;
  }
  SetTimer(it, std::nullopt);
  actions_.emplace_back(RequestResult{id, std::move(refusal), it.answer_begun,
                                      it.prompt_tokens, it.cached_tokens,
                                      it.completion_tokens, it.endpoint});
  open_.erase(id);
}

}  // namespace baobabrun
