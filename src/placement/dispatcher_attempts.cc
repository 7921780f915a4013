// The dispatcher's tries: placing a request, and what follows from a report.
#include <algorithm>

#include "placement/dispatcher.h"

namespace baobabrun {
namespace {

constexpr int kAttemptPrefixShift = 32;
constexpr Duration kRetryAfter = seconds(1);
constexpr Duration kQuarantineRetryAfter = std::chrono::minutes(10);
// A first byte is overdue after this many times its expected time, and more.
constexpr int kOverdueFactor = 2;
constexpr Duration kOverdueFloor = milliseconds(500);
constexpr std::int32_t kFirstServerError = 500;

// Whether the endpoint may hold the rest of the answer although the connection
// is of no more use.
bool MayStillRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSilent ||
         outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kCrossed;
}

// Whether the endpoint may have died. Its heartbeats will tell.
bool MayHaveDied(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSilent ||
         outcome == AttemptOutcome::kBroken;
}

bool IsRejection(const AttemptReport& report) {
  return report.outcome == AttemptOutcome::kFailed && report.status > 0 &&
         report.status < kFirstServerError;
}

}  // namespace

bool Dispatcher::CanStart(OpenRequest& it, Instant now) {
  if (!suspects_.empty() &&
      suspects_.Of(FingerprintFor(it)) != Standing::kClear) {
    return true;
  }
  return !Candidates(it, /*suspect=*/false, now).empty();
}

bool Dispatcher::Place(OpenRequest& it, Instant now) {
  auto standing = Standing::kClear;
  if (!suspects_.empty()) {
    standing = suspects_.Of(FingerprintFor(it));
  }
  if (standing == Standing::kQuarantined) {
    Finish(it, Refusal{RefusalReason::kPoison,
                       "endpoints died running this request", true,
                       kQuarantineRetryAfter});
    return true;
  }
  const bool suspect = standing == Standing::kSuspect;
  if (MustWaitAside(it, standing)) {
    if (it.tries > 0 || QueueOf(it.pool).again() < options_.most_queued) {
      return false;
    }
    Finish(it, Refusal{RefusalReason::kQueueFull, "too many requests wait",
                       true, kRetryAfter});
    return true;
  }
  if (ResumeInPlace(it, now)) {
    return true;
  }
  const auto candidates = Candidates(it, suspect, now);
  if (candidates.empty()) {
    return false;
  }
  const auto query = QueryFor(it, now);
  const auto slot = options_.choose ? options_.choose(query, candidates, table_)
                                    : policy_.Choose(query, candidates, table_);
  Start(it, slot, suspect, query);
  return true;
}

// A suspect waits for news of the endpoints that it ran on, and for the end of
// a request that is the same.
bool Dispatcher::MustWaitAside(OpenRequest& it, Standing standing) {
  return standing == Standing::kUnresolved ||
         (standing == Standing::kSuspect && SameRuns(FingerprintFor(it)));
}

// Endpoints with room: others than before, where there are any, and of these
// the ones that did not fail lately, unless all did.
std::vector<EndpointSlot> Dispatcher::Candidates(const OpenRequest& it,
                                                 bool suspect,
                                                 Instant now) const {
  const auto matching = table_.Matching(*it.request);
  auto out = matching;
  std::erase_if(out, [&it](EndpointSlot slot) {
    return std::find(it.tried.begin(), it.tried.end(), slot) != it.tried.end();
  });
  if (out.empty()) {
    out = matching;
  }
  auto healthy = out;
  std::erase_if(healthy, [this, now](EndpointSlot slot) {
    return now < table_.at(slot).avoid_until;
  });
  if (!healthy.empty()) {
    out = std::move(healthy);
  }
  std::erase_if(out, [this, suspect, now](EndpointSlot slot) {
    // Two suspects at one endpoint could not be told apart if it died.
    return !HasRoom(slot, now) || (suspect && table_.RunsSuspect(slot));
  });
  return out;
}

PlacementQuery Dispatcher::QueryFor(const OpenRequest& it, Instant now) {
  depths_.resize(table_.size());
  index_.Match(it.blocks, now, &depths_);
  return {it.request.get(), it.blocks, depths_, now};
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
  Start(it, it.resume_slot, /*suspect=*/false, QueryFor(it, now));
  return true;
}

void Dispatcher::Start(OpenRequest& it,
                       EndpointSlot slot,
                       bool suspect,
                       const PlacementQuery& query) {
  const auto now = query.now;
  const auto& state = table_.at(slot);
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

  Attempt attempt;
  attempt.request = it.request->caller.id;
  attempt.slot = slot;
  attempt.incarnation = out.incarnation;
  attempt.started = now;
  attempt.resumes = out.resume_of != AttemptId();
  attempt.suspect = suspect;
  attempt.timed = !attempt.resumes && it.request->caller.call.stream;
  if (!attempt.resumes) {
    attempt.prefill_tokens = MissingTokens(query, slot);
    attempt.expected = policy_.Expected(query, slot, table_);
  }
  attempt.overdue = now + kOverdueFactor * attempt.expected + kOverdueFloor;
  it.state = OpenRequest::State::kRunning;
  it.attempt = out.attempt;
  it.tries += 1;
  it.tried.push_back(slot);
  it.endpoint = out.endpoint;
  SetTimer(it, it.answer_begun ? std::nullopt
                               : std::optional(it.request->caller.deadline));
  table_.AddWork(slot, attempt.prefill_tokens);
  table_.at(slot).suspects += suspect ? 1 : 0;
  index_.Predict(slot, it.blocks, now);
  attempts_[out.attempt] = attempt;
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
    OnFirstByte(attempt, it, report, now);
    return;
  }
  const auto ended = attempt;
  attempts_.erase(found);
  table_.RemoveWork(ended.slot);
  table_.at(ended.slot).suspects -= ended.suspect ? 1 : 0;
  OnEnded(ended, it, report, now);
  DrainQueues(now);
}

void Dispatcher::OnFirstByte(Attempt& attempt,
                             OpenRequest& it,
                             const AttemptReport& report,
                             Instant now) {
  auto& state = table_.at(attempt.slot);
  if (!attempt.first_byte && attempt.timed &&
      state.last.incarnation == attempt.incarnation) {
    policy_.OnFirstToken(state, attempt.expected, now - attempt.started, now);
  }
  attempt.first_byte = true;
  // It has outlived its prefill, so others may join it.
  state.suspects -= std::exchange(attempt.suspect, false) ? 1 : 0;
  it.handed = true;
  it.answer_begun = it.answer_begun || report.answer_begun;
  if (it.answer_begun) {
    SetTimer(it, std::nullopt);
  }
}

void Dispatcher::OnEnded(const Attempt& attempt,
                         OpenRequest& it,
                         const AttemptReport& report,
                         Instant now) {
  Collect(it, report);
  it.state = OpenRequest::State::kQueued;
  if (report.outcome == AttemptOutcome::kComplete) {
    auto& state = table_.at(attempt.slot);
    table_.OnSuccess(attempt.slot);
    policy_.OnComplete(state, now - attempt.started);
    Finish(it, std::nullopt);
    return;
  }
  const bool endpoint_failed =
      report.outcome != AttemptOutcome::kCancelled && !IsRejection(report);
  if (endpoint_failed && !attempt.lost) {
    table_.OnFailure(attempt.slot, now);
  }
  if (MayHaveDied(report.outcome) || attempt.lost) {
    AddLoss({FingerprintFor(it), table_.at(attempt.slot).last.endpoint,
             attempt.incarnation, now},
            now);
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
  const bool paid = not_sent || attempt.replaced;
  if (!paid && !budget_.TrySpend(it.request->organisation)) {
    return Refusal{RefusalReason::kEndpointFailed,
                   "the try failed and the retry budget is spent", false,
                   kRetryAfter};
  }
  return std::nullopt;
}

void Dispatcher::CheckOverdue(Instant now) {
  for (auto& [id, it] : attempts_) {
    if (it.first_byte || !it.timed || it.lost || now < it.overdue) {
      continue;
    }
    const Duration waited = now - it.started;
    it.overdue = it.started + kOverdueFactor * waited;
    policy_.OnFirstToken(table_.at(it.slot), it.expected, waited, now);
  }
  for (auto& [id, it] : attempts_) {
    if (!it.first_byte && it.timed && !it.lost && !it.replaced &&
        now >= it.started + options_.replace_after) {
      Replace(id, it, now);
    }
  }
}

void Dispatcher::Replace(AttemptId id, Attempt& attempt, Instant now) {
  const auto& request = open_.at(attempt.request);
  if (request.ending || !request.request->repeatable ||
      request.tries >= options_.most_tries) {
    return;
  }
  const auto matching = table_.Matching(*request.request);
  if (matching.size() < 2 ||
      !policy_.IsSlow(attempt.slot, matching, table_, now) ||
      !budget_.TrySpend(request.request->organisation)) {
    return;
  }
  attempt.replaced = true;
  actions_.emplace_back(CancelAttempt{id});
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
  it.latest_start = LatestStart(it, now);
  Wait(it, /*again=*/true, now);
}

}  // namespace baobabrun
