// The dispatcher's tries: placing a request, and what follows from a report.
#include <algorithm>

#include "placement/dispatcher.h"

namespace baobabrun {
namespace {

constexpr int kAttemptPrefixShift = 32;
constexpr Duration kRetryAfter = seconds(1);
constexpr std::int32_t kFirstServerError = 500;

// Whether the endpoint may hold the rest of the answer although the connection
// is of no more use.
bool MayStillRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSilent ||
         outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kCrossed;
}

bool IsRejection(const AttemptReport& report) {
  return report.outcome == AttemptOutcome::kFailed && report.status > 0 &&
         report.status < kFirstServerError;
}

}  // namespace

Dispatcher::Placed Dispatcher::Place(OpenRequest& it, Instant now) {
  if (ResumeInPlace(it, now)) {
    return Placed::kYes;
  }
  auto matching = table_.Matching(*it.request);
  if (matching.empty()) {
    return Placed::kNoEndpoint;
  }
  // Other endpoints than before, where there are any.
  auto candidates = matching;
  std::erase_if(candidates, [&it](EndpointSlot slot) {
    return std::find(it.tried.begin(), it.tried.end(), slot) != it.tried.end();
  });
  if (candidates.empty()) {
    candidates = std::move(matching);
  }
  // Those that failed lately come last, but never drop out altogether.
  auto healthy = candidates;
  std::erase_if(healthy, [this, now](EndpointSlot slot) {
    return now < table_.at(slot).avoid_until;
  });
  if (!healthy.empty()) {
    candidates = std::move(healthy);
  }
  std::erase_if(candidates,
                [this, now](EndpointSlot slot) { return !HasRoom(slot, now); });
  if (candidates.empty()) {
    return Placed::kNoRoom;
  }
  const PlacementQuery query{it.request.get(), it.blocks, now};
  const auto choice = options_.choose
                          ? options_.choose(query, candidates, table_)
                          : policy_.Choose(query, candidates, table_);
  Start(it, choice, now);
  return Placed::kYes;
}

bool Dispatcher::HasRoom(EndpointSlot slot, Instant now) const {
  const auto& state = table_.at(slot);
  const auto most = std::max(state.last.slots, 1) * (1.0 + options_.overcommit);
  return table_.LoadOf(slot, now).running < most;
}

bool Dispatcher::ResumeInPlace(OpenRequest& it, Instant now) {
  if (it.resume_of == AttemptId()) {
    return false;
  }
  if (table_.at(it.resume_slot).expired) {
    it.resume_of = AttemptId();
    return false;
  }
  Start(it, {it.resume_slot, 0, Duration::zero()}, now);
  return true;
}

void Dispatcher::Start(OpenRequest& it, const Choice& choice, Instant now) {
  const auto& state = table_.at(choice.slot);
  Dispatch out;
  out.attempt = AttemptId(
      (std::uint64_t{options_.attempt_prefix} << kAttemptPrefixShift) |
      ++last_attempt_);
  out.request = it.request;
  out.endpoint = state.last.endpoint;
  out.incarnation = state.last.incarnation;
  out.address = state.last.address;
  out.delivered = it.delivered;
  out.delivered_events = it.delivered_events;
  out.resume_of = std::exchange(it.resume_of, AttemptId());
  out.fresh_connection = std::exchange(it.fresh_connection, false);

  it.state = OpenRequest::State::kRunning;
  it.attempt = out.attempt;
  it.tries += 1;
  it.tried.push_back(choice.slot);
  it.endpoint = out.endpoint;
  SetTimer(it, it.answer_begun ? std::nullopt
                               : std::optional(it.request->caller.deadline));
  table_.AddWork(choice.slot, choice.prefill_tokens);
  attempts_[out.attempt] = {
      it.request->caller.id,       choice.slot, out.incarnation,
      choice.prefill_tokens,       now,         choice.expected,
      out.resume_of != AttemptId()};
  actions_.emplace_back(std::move(out));
}

void Dispatcher::OnReport(const AttemptReport& report, Instant now) {
  const auto found = attempts_.find(report.attempt);
  if (found == attempts_.end()) {
    ignored_reports_ += 1;
    return;
  }
  auto& it = open_.at(found->second.request);
  auto& attempt = found->second;
  table_.PrefillDone(attempt.slot, std::exchange(attempt.prefill_tokens, 0));
  if (report.kind == AttemptReport::Kind::kFirstByte) {
    it.handed = true;
    it.answer_begun = it.answer_begun || report.answer_begun;
    if (it.answer_begun) {
      SetTimer(it, std::nullopt);
    }
    return;
  }
  const auto ended = attempt;
  attempts_.erase(found);
  table_.RemoveWork(ended.slot);
  OnEnded(ended, it, report, now);
  DrainQueues(now);
}

void Dispatcher::OnEnded(const Attempt& attempt,
                         OpenRequest& it,
                         const AttemptReport& report,
                         Instant now) {
  Collect(it, report);
  it.state = OpenRequest::State::kQueued;
  if (report.outcome == AttemptOutcome::kComplete) {
    table_.OnSuccess(attempt.slot);
    Finish(it, std::nullopt);
    return;
  }
  const bool endpoint_failed =
      report.outcome != AttemptOutcome::kCancelled && !IsRejection(report);
  if (endpoint_failed && !attempt.lost) {
    table_.OnFailure(attempt.slot, now);
  }
  if (it.ending) {
    Finish(it, std::move(it.ending));
    return;
  }
  if (auto refusal = WhyNotAgain(it, attempt, report)) {
    Finish(it, std::move(refusal));
    return;
  }
  TryAgain(it, attempt, report, now);
}

void Dispatcher::Collect(OpenRequest& it, const AttemptReport& report) {
  it.handed = it.handed || report.outcome != AttemptOutcome::kNotSent;
  it.answer_begun = it.answer_begun || report.answer_begun;
  if (report.prompt_tokens > 0) {
    it.prompt_tokens = report.prompt_tokens;
    it.cached_tokens = report.cached_tokens;
  }
  it.completion_tokens += report.completion_tokens;
  if (report.delivered != nullptr &&
      report.delivered_events >= it.delivered_events) {
    it.delivered = report.delivered;
    it.delivered_events = report.delivered_events;
  }
}

std::optional<Refusal> Dispatcher::WhyNotAgain(const OpenRequest& it,
                                               const Attempt& attempt,
                                               const AttemptReport& report) {
  const bool not_sent = report.outcome == AttemptOutcome::kNotSent;
  if (!it.request->repeatable && it.handed) {
    return Refusal{RefusalReason::kOutcomeUnknown,
                   "the call may have run; it is not repeated",
                   false,
                   {}};
  }
  if (it.answer_begun && it.delivered == nullptr) {
    return Refusal{RefusalReason::kEndpointFailed,
                   "the answer broke and can't be continued", false,
                   kRetryAfter};
  }
  // A refused continuation only shows that this endpoint no longer has it.
  if (IsRejection(report) && !attempt.resumes) {
    return Refusal{RefusalReason::kEndpointFailed,
                   "the endpoint rejected the request",
                   false,
                   {}};
  }
  if (it.tries >= options_.most_tries) {
    return Refusal{RefusalReason::kEndpointFailed, "all tries failed", false,
                   kRetryAfter};
  }
  if (!not_sent && !budget_.TrySpend(it.request->organisation)) {
    return Refusal{RefusalReason::kEndpointFailed,
                   "the try failed and the retry budget is spent", false,
                   kRetryAfter};
  }
  return std::nullopt;
}

void Dispatcher::TryAgain(OpenRequest& it,
                          const Attempt& attempt,
                          const AttemptReport& report,
                          Instant now) {
  it.fresh_connection = true;
  const auto& state = table_.at(attempt.slot);
  const bool same_life =
      !state.expired && state.last.incarnation == attempt.incarnation;
  if (it.answer_begun && MayStillRun(report.outcome) && same_life &&
      !attempt.lost && !attempt.resumes) {
    it.resume_of = report.attempt;
    it.resume_slot = attempt.slot;
  }
  Enqueue(it, /*front=*/true, now);
}

}  // namespace baobabrun
