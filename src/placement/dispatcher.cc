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
      budget_(options_.retries) {}

void Dispatcher::Submit(RequestPtr request, Instant now) {
  const auto id = request->caller.id;
  auto& it = open_[id];
  it.request = std::move(request);
  it.pool = PoolOf(*it.request);
  it.queued_at = now;
  if (draining_) {
    GiveUp(it, {RefusalReason::kShuttingDown, "this VM is shutting down", true,
                kRetryAfter});
    return;
  }
  if (now >= LatestStart(it)) {
    GiveUp(it, {RefusalReason::kDeadline, "the deadline can't be met", true,
                kRetryAfter});
    return;
  }
  if (queues_[it.pool].size() >= options_.most_queued) {
    GiveUp(it, {RefusalReason::kQueueFull, "too many requests wait", true,
                kRetryAfter});
    return;
  }
  it.blocks = BlocksOf(*it.request);
  budget_.Earn(it.request->organisation);
  Enqueue(it, /*front=*/false, now);
  const PoolKey pool = it.pool;
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
    LoseAttempts(out.slot);
  }
  DrainQueues(now);
}

void Dispatcher::SetRetired(std::vector<EndpointId> retired, Instant now) {
  table_.SetRetired(retired);
  DrainQueues(now);
}

void Dispatcher::Receive(const VmId&, std::string_view, Instant) {}

void Dispatcher::Advance(Instant now) {
  table_.Expire(now);
  DrainQueues(now);
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto found = open_.find(timers_.begin()->second);
    SetTimer(found->second, std::nullopt);
    OnTimer(found->second, now);
  }
}

std::optional<Instant> Dispatcher::NextEvent() const {
  auto next = table_.NextExpiry();
  if (!timers_.empty() && (!next || timers_.begin()->first < *next)) {
    next = timers_.begin()->first;
  }
  return next;
}

std::vector<DispatcherAction> Dispatcher::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<std::string> Dispatcher::TakeMessages() {
  return std::exchange(messages_, {});
}

void Dispatcher::Enqueue(OpenRequest& it, bool front, Instant now) {
  it.state = OpenRequest::State::kQueued;
  it.queued_at = now;
  auto& queue = queues_[it.pool];
  const auto id = it.request->caller.id;
  if (front) {
    queue.push_front(id);
  } else {
    queue.push_back(id);
  }
  SetTimer(it, std::min(LatestStart(it), now + options_.endpoint_wait));
}

void Dispatcher::RemoveFromQueue(OpenRequest& it) {
  std::erase(queues_[it.pool], it.request->caller.id);
}

void Dispatcher::DrainQueue(const PoolKey& pool, Instant now) {
  auto& queue = queues_[pool];
  while (!queue.empty()) {
    const auto id = queue.front();
    // Placing may end the request, so it leaves the queue first.
    queue.pop_front();
    auto& it = open_.at(id);
    if (Place(it, now) != Placed::kYes) {
      queue.push_front(id);
      return;
    }
  }
}

void Dispatcher::DrainQueues(Instant now) {
  for (const auto& [pool, queue] : queues_) {
    if (!queue.empty()) {
      DrainQueue(pool, now);
    }
  }
}

// The last moment at which a try could still begin its answer in time, at an
// endpoint that is idle and holds the whole prefix. A begun answer may go on.
Instant Dispatcher::LatestStart(const OpenRequest& it) const {
  return it.answer_begun ? Instant::max() : it.request->caller.deadline;
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
  if (it.state == OpenRequest::State::kRunning || now >= LatestStart(it)) {
    GiveUp(it, {RefusalReason::kDeadline, "the deadline can't be met", true,
                kRetryAfter});
    return;
  }
  if (table_.Matching(*it.request).empty()) {
    GiveUp(it, {RefusalReason::kNoEndpoint, "no endpoint can run this now",
                true, kRetryAfter});
    return;
  }
  SetTimer(it, std::min(LatestStart(it), now + options_.endpoint_wait));
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
  RemoveFromQueue(it);
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
