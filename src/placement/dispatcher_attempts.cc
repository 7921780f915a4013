// The dispatcher's attempts: placement of requests and handling of reports.
#include <algorithm>

#include "placement/dispatcher.h"

namespace baobabrun {
namespace {

constexpr int kAttemptPrefixShift = 32;
constexpr Duration kRetryAfter = seconds(1);
constexpr Duration kQuarantineRetryAfter = std::chrono::minutes(10);
// A first byte is overdue after this multiple of its expected time plus
// kOverdueFloor.
constexpr int kOverdueFactor = 2;
constexpr Duration kOverdueFloor = milliseconds(500);
constexpr std::int32_t kFirstServerError = 500;

// Returns whether the endpoint may still run the attempt although its
// connection can't be used any more.
bool MayStillRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kIdleTimeout ||
         outcome == AttemptOutcome::kUnusableAnswer ||
         outcome == AttemptOutcome::kWrongAttempt;
}

// Returns whether the endpoint may have crashed. Its heartbeats show later
// whether it did.
bool MayHaveDied(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kIdleTimeout ||
         outcome == AttemptOutcome::kUnusableAnswer;
}

bool IsRejection(const AttemptReport& report) {
  return report.outcome == AttemptOutcome::kFailed && report.status > 0 &&
         report.status < kFirstServerError;
}

}  // namespace

bool Dispatcher::CanStart(OpenRequest& it, Instant now) {
  if (!suspects_.empty() &&
      suspects_.StatusOf(FingerprintFor(it)) != SuspectStatus::kClear) {
    return true;
  }
  return !Candidates(it, /*suspect=*/false, now).empty();
}

bool Dispatcher::Place(OpenRequest& it, Instant now) {
  auto status = SuspectStatus::kClear;
  if (!suspects_.empty()) {
    status = suspects_.StatusOf(FingerprintFor(it));
  }
  if (status == SuspectStatus::kQuarantined) {
    Finish(it, Refusal{RefusalReason::kPoison,
                       "endpoints died running this request", true,
                       kQuarantineRetryAfter});
    return true;
  }
  const bool suspect = status == SuspectStatus::kSuspect;
  if (MustWaitAsSuspect(it, status)) {
    if (it.attempts_made > 0 ||
        QueueOf(it.pool).retries() < options_.max_queued) {
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

// A request with two suspected crashes waits until they are removed or
// confirmed. A request with one waits until no request with the same content
// runs.
bool Dispatcher::MustWaitAsSuspect(OpenRequest& it, SuspectStatus status) {
  return status == SuspectStatus::kUnresolved ||
         (status == SuspectStatus::kSuspect &&
          IsDuplicateRunning(FingerprintFor(it)));
}

// Returns the endpoints with capacity. Endpoints that the request has not tried
// yet are preferred, if there are any, and among those the endpoints that are
// not in backoff after a failure, unless all are.
std::vector<EndpointIndex> Dispatcher::Candidates(const OpenRequest& it,
                                                  bool suspect,
                                                  Instant now) const {
  const auto matching = table_.Matching(*it.request);
  auto out = matching;
  std::erase_if(out, [&it](EndpointIndex slot) {
    return std::find(it.tried_endpoints.begin(), it.tried_endpoints.end(),
                     slot) != it.tried_endpoints.end();
  });
  if (out.empty()) {
    out = matching;
  }
  auto healthy = out;
  std::erase_if(healthy, [this, now](EndpointIndex slot) {
    return now < table_.at(slot).backoff_until;
  });
  if (!healthy.empty()) {
    out = std::move(healthy);
  }
  std::erase_if(out, [this, suspect, now](EndpointIndex slot) {
    // If an endpoint crashed while it ran two suspects, either could be the
    // cause.
    return !HasCapacity(slot, now) || (suspect && table_.RunsSuspect(slot));
  });
  return out;
}

PlacementQuery Dispatcher::QueryFor(const OpenRequest& it, Instant now) {
  depths_.resize(table_.size());
  index_.Match(it.blocks, now, &depths_);
  return {it.request.get(), it.blocks, depths_, now};
}

bool Dispatcher::HasCapacity(EndpointIndex slot, Instant now) const {
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
                       EndpointIndex slot,
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
    attempt.expected = policy_.ExpectedTimeToFirstToken(query, slot, table_);
  }
  attempt.overdue = now + kOverdueFactor * attempt.expected + kOverdueFloor;
  it.state = OpenRequest::State::kRunning;
  it.attempt = out.attempt;
  it.attempts_made += 1;
  it.tried_endpoints.push_back(slot);
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
  // The endpoint survived the prefill of this request, so other suspects may
  // run there.
  state.suspects -= std::exchange(attempt.suspect, false) ? 1 : 0;
  it.reached_endpoint = true;
  it.answer_begun = it.answer_begun || report.answer_begun;
  if (it.answer_begun) {
    SetTimer(it, std::nullopt);
  }
}

void Dispatcher::OnEnded(const Attempt& attempt,
                         OpenRequest& it,
                         const AttemptReport& report,
                         Instant now) {
  MergeReport(it, report);
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
  if (endpoint_failed && !attempt.endpoint_restarted) {
    table_.OnFailure(attempt.slot, now);
  }
  if (MayHaveDied(report.outcome) || attempt.endpoint_restarted) {
    AddSuspectedCrash(
        {FingerprintFor(it), table_.at(attempt.slot).last.endpoint,
         attempt.incarnation, now},
        now);
  }
  if (it.pending_refusal) {
    Finish(it, std::move(it.pending_refusal));
    return;
  }
  if (auto refusal = RefusalInsteadOfRetry(it, attempt, report)) {
    Finish(it, std::move(refusal));
    return;
  }
  ScheduleRetry(it, attempt, report, now);
}

void Dispatcher::MergeReport(OpenRequest& it, const AttemptReport& report) {
  it.reached_endpoint =
      it.reached_endpoint || report.outcome != AttemptOutcome::kNotSent;
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

std::optional<Refusal> Dispatcher::RefusalInsteadOfRetry(
    const OpenRequest& it,
    const Attempt& attempt,
    const AttemptReport& report) {
  const bool not_sent = report.outcome == AttemptOutcome::kNotSent;
  if (!it.request->repeatable && it.reached_endpoint) {
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
  // A rejected resume only shows that the endpoint no longer has the attempt.
  if (IsRejection(report) && !attempt.resumes) {
    return Refusal{RefusalReason::kEndpointFailed,
                   "the endpoint rejected the request",
                   false,
                   {}};
  }
  if (it.attempts_made >= options_.max_attempts_per_request) {
    return Refusal{RefusalReason::kEndpointFailed, "all tries failed", false,
                   kRetryAfter};
  }
  const bool free_of_charge = not_sent || attempt.rerouted;
  if (!free_of_charge && !budget_.TrySpend(it.request->organisation)) {
    return Refusal{RefusalReason::kEndpointFailed,
                   "the try failed and the retry budget is spent", false,
                   kRetryAfter};
  }
  return std::nullopt;
}

void Dispatcher::CheckOverdue(Instant now) {
  for (auto& [id, it] : attempts_) {
    if (it.first_byte || !it.timed || it.endpoint_restarted ||
        now < it.overdue) {
      continue;
    }
    const Duration waited = now - it.started;
    it.overdue = it.started + kOverdueFactor * waited;
    policy_.OnFirstToken(table_.at(it.slot), it.expected, waited, now);
  }
  for (auto& [id, it] : attempts_) {
    if (!it.first_byte && it.timed && !it.endpoint_restarted && !it.rerouted &&
        now >= it.started + options_.reroute_after) {
      Reroute(id, it, now);
    }
  }
}

void Dispatcher::Reroute(AttemptId id, Attempt& attempt, Instant now) {
  const auto& request = open_.at(attempt.request);
  if (request.pending_refusal || !request.request->repeatable ||
      request.attempts_made >= options_.max_attempts_per_request) {
    return;
  }
  const auto matching = table_.Matching(*request.request);
  if (matching.size() < 2 ||
      !policy_.IsSlow(attempt.slot, matching, table_, now) ||
      !budget_.TrySpend(request.request->organisation)) {
    return;
  }
  attempt.rerouted = true;
  actions_.emplace_back(CancelAttempt{id});
}

void Dispatcher::ScheduleRetry(OpenRequest& it,
                               const Attempt& attempt,
                               const AttemptReport& report,
                               Instant now) {
  it.fresh_connection = true;
  const auto& state = table_.at(attempt.slot);
  const bool same_incarnation =
      !state.expired && state.last.incarnation == attempt.incarnation;
  if (it.answer_begun && MayStillRun(report.outcome) && same_incarnation &&
      !attempt.endpoint_restarted && !attempt.resumes) {
    it.resume_of = report.attempt;
    it.resume_slot = attempt.slot;
  }
  it.latest_start = LatestStart(it, now);
  Enqueue(it, /*is_retry=*/true, now);
}

}  // namespace baobabrun
