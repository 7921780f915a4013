// Handles calls that run at most once. Such a call is recorded in the control
// log before it is sent to an endpoint, and its outcome is recorded afterwards.
#include "serve/router.h"

#include <utility>

namespace baobabrun {

namespace {

constexpr Duration kRetryWhenReady = seconds(1);

}  // namespace

// A service whose endpoint announced itself after the last count is no reason
// for a refusal, so it is looked for once more.
bool Router::HasService(const std::string& service) {
  if (!rollout_.HasService(service)) {
    rollout_.Update(dispatcher_->Endpoints());
  }
  return rollout_.HasService(service);
}

// Submits the request to the dispatcher. A call that may run only once is first
// recorded in the control log.
void Router::OnAdmitted(RequestId request, Instant now) {
  auto& it = open_[request];
  if (!RunsAtMostOnce(*it.request)) {
    Submit(request, now);
    return;
  }
  if (draining_ || !HasService(it.request->service)) {
    // A call that can't be sent to an endpoint must not be recorded as begun.
    limiter_->Abandon(request, now);
    RefuseUnsent(
        request,
        {draining_ ? RefusalReason::kShuttingDown : RefusalReason::kNoEndpoint,
         "the call was not handed over", true, kRetryWhenReady});
    return;
  }
  it.recording = true;
  const auto& caller = it.request->caller;
  once_.Begin({request, it.request->organisation, caller.idempotency_key,
               OnceFingerprint(caller), caller.deadline},
              now);
  TakeOnceActions(now);
}

void Router::TakeOnceActions(Instant now) {
  for (auto& it : once_.TakeActions()) {
    if (auto* begin = std::get_if<ProposeBegin>(&it)) {
      actions_.push_back(
          ProposeRecord{OnceRecord::kBegin, begin->request.value(),
                        std::move(begin->proposal), begin->deadline});
    } else if (auto* end = std::get_if<ProposeEnd>(&it)) {
      actions_.push_back(ProposeRecord{OnceRecord::kEnd, end->record,
                                       std::move(end->proposal),
                                       end->deadline});
    } else if (const auto* send = std::get_if<SendToEndpoint>(&it)) {
      Perform(*send, now);
    } else if (const auto* refuse = std::get_if<RefuseOnce>(&it)) {
      Perform(*refuse, now);
    } else {
      Perform(std::get<ReplayStoredAnswer>(it), now);
    }
  }
}

void Router::Perform(const SendToEndpoint& action, Instant now) {
  const auto it = open_.find(action.request);
  if (it == open_.end()) {
    // The request ended while it was being recorded, for example because its
    // caller disconnected, and nothing was sent.
    once_.OnEnded(action.request, {}, now);
    return;
  }
  it->second.recording = false;
  Submit(action.request, now);
}

void Router::Perform(const RefuseOnce& action, Instant now) {
  if (open_.erase(action.request) > 0) {
    limiter_->Abandon(action.request, now);
    Refuse(action.request, action.refusal);
  }
}

void Router::Perform(ReplayStoredAnswer& action, Instant now) {
  if (open_.erase(action.request) == 0) {
    return;
  }
  limiter_->Abandon(action.request, now);
  auto& stored = action.stored;
  if (!stored.body_stored) {
    Refuse(action.request, {RefusalReason::kOutcomeUnknown,
                            "the call ran; its answer was too large to be kept",
                            false,
                            {}});
    return;
  }
  actions_.push_back(AnswerRequest{
      action.request,
      {stored.status, std::move(stored.content_type), std::move(stored.body)}});
}

void Router::OnProposed(OnceRecord kind,
                        std::uint64_t number,
                        const ProposalResult& result,
                        Instant now) {
  if (kind == OnceRecord::kBegin) {
    once_.OnBegun(RequestId(number), result);
  } else {
    once_.OnRecorded(number, result);
  }
  TakeOnceActions(now);
  TakeDispatcherActions(now);
}

// Proposes to record the outcome of a call that runs at most once. Does nothing
// for other requests.
void Router::RecordOnceOutcome(const RequestResult& result, Instant now) {
  const auto it = open_.find(result.request);
  if (it == open_.end() || !RunsAtMostOnce(*it->second.request)) {
    return;
  }
  OnceOutcome outcome;
  outcome.handed_over = !result.refusal || !result.refusal->not_run;
  if (const auto& answer = it->second.answer; answer != nullptr) {
    outcome.answered = true;
    outcome.status = answer->status;
    outcome.content_type = answer->content_type;
    outcome.body = answer->body;
    outcome.body_kept = answer->body_kept;
  }
  once_.OnEnded(result.request, outcome, now);
  TakeOnceActions(now);
}

}  // namespace baobabrun
