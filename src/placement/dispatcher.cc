// Entry points of the dispatcher, its queues and timers.
#include "placement/dispatcher.h"

#include <algorithm>

#include "placement/placement_error.h"

namespace baobabrun {
namespace {

// Advice to callers refused for want of endpoints or room.
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
  if (options.most_tries < 1 || options.most_queued < 1 ||
      options.overcommit < 0) {
    return Error{PlacementError::kBadOptions,
                 "most_tries and most_queued must be at least 1, overcommit "
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
  table_.ForgetPeers(now);
  const auto id = request->caller.id;
  auto& it = open_[id];
  it.request = std::move(request);
  it.pool = PoolOf(*it.request);
  if (draining_) {
    GiveUp(it, {RefusalReason::kShuttingDown, "this VM is shutting down", true,
                kRetryAfter});
    return;
  }
  it.blocks = BlocksOf(*it.request);
  it.latest_start = LatestStart(it, now);
  if (now > it.latest_start) {
    GiveUp(it, {RefusalReason::kDeadline, "the deadline can't be met", true,
                kRetryAfter});
    return;
  }
  budget_.Earn(it.request->organisation);
  const PoolKey pool = it.pool;
  Wait(it, /*again=*/false, now);
  DrainQueue(pool, now);
}

void Dispatcher::Abandon(RequestId request, Instant, RefusalReason reason) {
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  GiveUp(found->second, {reason, "the request was given up", true, {}});
}

void Dispatcher::OnAnnouncement(const Announcement& it, Instant now) {
  const auto out = table_.OnAnnouncement(it, now);
  if (out.change == EndpointTable::Change::kStale) {
    return;
  }
  if (out.change == EndpointTable::Change::kNewIncarnation) {
    index_.Restart(out.slot);
    LoseAttempts(out.slot);
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
  table_.ForgetPeers(now);
  for (const auto slot : table_.Expire(now)) {
    const auto& it = table_.at(slot).last;
    suspects_.OnExpired(it.endpoint, it.incarnation);
  }
  if (now >= next_tell_) {
    next_tell_ = now + options_.report_interval;
    CheckOverdue(now);
    TellPeers(now);
    index_.Sweep(now);
    suspects_.Forget(now);
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
  if (told_work_ || !attempts_.empty() || !suspects_.empty()) {
    sooner(next_tell_);
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
  const FairQueueOptions options{options_.most_queued, options_.queue_quantum};
  return queues_.try_emplace(pool, options).first->second;
}

void Dispatcher::Wait(OpenRequest& it, bool again, Instant now) {
  it.state = OpenRequest::State::kQueued;
  SetTimer(it, std::min(it.latest_start, now + options_.endpoint_wait));
  const auto& request = *it.request;
  auto& queue = QueueOf(it.pool);
  if (again) {
    queue.PushAgain(request.caller.id);
    return;
  }
  const auto given_up = queue.PushNew(
      {request.caller.id, request.organisation, request.weight,
       request.priority, request.prompt_tokens + request.max_tokens,
       request.caller.deadline, now},
      now);
  for (const auto id : given_up) {
    Finish(open_.at(id), Refusal{RefusalReason::kQueueFull,
                                 "too many requests wait", true, kRetryAfter});
  }
}

void Dispatcher::DrainQueue(const PoolKey& pool, Instant now) {
  QueueOf(pool).Offer(
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

// Leaves the time in which the fastest engine could compute what the best
// placed endpoint misses. A begun answer may go on after the deadline.
Instant Dispatcher::LatestStart(const OpenRequest& it, Instant now) {
  if (it.answer_begun) {
    return Instant::max();
  }
  const auto query = QueryFor(it, now);
  auto least = it.request->prompt_tokens;
  for (const auto slot : table_.Matching(*it.request)) {
    least = std::min(least, MissingTokens(query, slot));
  }
  return it.request->caller.deadline - policy_.LeastTime(least);
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
    GiveUp(it, {RefusalReason::kDeadline, "the deadline can't be met", true,
                kRetryAfter});
    return;
  }
  if (table_.Matching(*it.request).empty()) {
    GiveUp(it, {RefusalReason::kNoEndpoint, "no endpoint can run this now",
                true, kRetryAfter});
    return;
  }
  SetWaitTimer(it, now);
}

// Cancels the tries at an endpoint that has restarted; their reports then lead
// to other tries.
void Dispatcher::LoseAttempts(EndpointSlot slot) {
  for (auto& [id, it] : attempts_) {
    if (it.slot == slot && !it.lost &&
        it.incarnation < table_.at(slot).last.incarnation) {
      it.lost = true;
      actions_.emplace_back(CancelAttempt{id});
    }
  }
}

// Ends the request as soon as no try runs. The refusal's not_run is set here.
void Dispatcher::GiveUp(OpenRequest& it, Refusal refusal) {
  if (it.state == OpenRequest::State::kRunning) {
    if (!it.ending) {
      SetTimer(it, std::nullopt);
      actions_.emplace_back(CancelAttempt{it.attempt});
      it.ending = std::move(refusal);
    }
    return;
  }
  QueueOf(it.pool).Remove(it.request->caller.id);
  Finish(it, std::move(refusal));
}

void Dispatcher::Finish(OpenRequest& it, std::optional<Refusal> refusal) {
  const auto id = it.request->caller.id;
  if (refusal) {
    refusal->not_run = !it.handed;
  }
  SetTimer(it, std::nullopt);
  actions_.emplace_back(RequestOver{id, std::move(refusal), it.answer_begun,
                                    it.prompt_tokens, it.cached_tokens,
                                    it.completion_tokens, it.endpoint});
  open_.erase(id);
}

}  // namespace baobabrun
