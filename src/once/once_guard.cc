// Handles at-most-once calls on one VM.
#include "once/once_guard.h"

#include <algorithm>

#include "base/hash.h"

namespace baobabrun {
namespace {

constexpr seconds kRetryAfter{1};
constexpr std::int32_t kServiceUnavailable = 503;
// The response to a later call with the key of a call that never ran.
constexpr char kNotRunBody[] =
    R"({"error":{"code":"no_endpoint","type":"overloaded_error",)"
    R"("message":"the call with this Idempotency-Key did not run; )"
    R"(send it again with a new key","not_run":true}})";

// The refusal for each outcome of OnceBegin other than "started" and "stored".
// `not_run` is true only where the log shows that no earlier call with this key
// exists. Otherwise an earlier call through another VM may have run.
struct BeginEntry {
  ProposalOutcome outcome;
  RefusalReason reason;
  bool not_run;
  std::string_view message;
};
constexpr BeginEntry kBeginTable[] = {
    {ProposalOutcome::kUnknown, RefusalReason::kNoQuorum, false,
     "it isn't known whether the call was recorded, so it was not handed to an "
     "endpoint; an earlier one with this Idempotency-Key may have run"},
    {ProposalOutcome::kNotAccepted, RefusalReason::kNoQuorum, false,
     "the call can't be recorded, so it was not handed to an endpoint; an "
     "earlier one with this Idempotency-Key may have run"},
    {ProposalOutcome::kInvalid, RefusalReason::kTooManyConcurrent, true,
     "too many Idempotency-Keys are in use"},
    {ProposalOutcome::kOnceRunning, RefusalReason::kStillRunning, false,
     "a call with this Idempotency-Key still runs, or its VM failed"},
    {ProposalOutcome::kOnceOutcomeUnknown, RefusalReason::kOutcomeUnknown,
     false, "a call with this Idempotency-Key may have run; it isn't repeated"},
    {ProposalOutcome::kOnceMismatch, RefusalReason::kBadRequest, true,
     "the Idempotency-Key was used for another call"},
};

const BeginEntry& EntryOf(ProposalOutcome outcome) {
  const auto* it = std::find_if(
      std::begin(kBeginTable), std::end(kBeginTable),
      [outcome](const auto& row) { return row.outcome == outcome; });
  return it == std::end(kBeginTable) ? kBeginTable[0] : *it;
}

OnceEnd MakeOnceEnd(const OnceCall& call,
                    const OnceOutcome& outcome,
                    std::size_t max_body) {
  OnceEnd end;
  end.organisation = call.organisation;
  end.idempotency_key = call.key;
  if (!outcome.handed_over) {
    end.known = true;
    end.status = kServiceUnavailable;
    end.content_type = "application/json";
    end.body = kNotRunBody;
    end.body_stored = true;
  } else if (outcome.answered) {
    end.known = true;
    end.status = outcome.status;
    end.content_type = outcome.content_type;
    end.body_stored = outcome.body_kept && outcome.body.size() <= max_body;
    end.body = end.body_stored ? outcome.body : "";
  }
  return end;
}

}  // namespace

std::uint64_t OnceFingerprint(const CallerRequest& request) {
  auto hash = FastHash(request.method);
  hash = FastHash(request.path, hash);
  hash = FastHash(request.query, hash);
  return request.body == nullptr ? hash : FastHash(*request.body, hash);
}

OnceGuard::OnceGuard(OnceGuardOptions options)
    : options_(std::move(options)), next_attempt_(options_.first_attempt) {}

void OnceGuard::Refuse(RequestId request,
                       RefusalReason reason,
                       bool not_run,
                       std::string message) {
  Refusal refusal{reason, std::move(message), not_run, kRetryAfter};
  actions_.push_back(RefuseOnce{request, std::move(refusal)});
}

void OnceGuard::Begin(const OnceCall& call, Instant now) {
  if (AnswerLocally(call)) {
    return;
  }
  const auto attempt = AttemptFor(call);
  open_[call.request] = {call, attempt, false};
  by_key_[{call.organisation, call.key}] = call.request;
  const auto deadline = std::min(call.deadline, now + options_.begin_timeout);
  actions_.push_back(
      ProposeBegin{call.request,
                   OnceBegin{call.organisation, call.key, call.fingerprint,
                             options_.self, attempt},
                   deadline});
}

// Answers a call without the log if this VM has a call with the same key that
// is still open or whose outcome isn't recorded yet. Returns false if there is
// none.
bool OnceGuard::AnswerLocally(const OnceCall& call) {
  const auto refuse = [&](ProposalOutcome outcome) {
    const auto& entry = EntryOf(outcome);
    Refuse(call.request, entry.reason, entry.not_run,
           std::string(entry.message));
    return true;
  };
  const auto open = by_key_.find({call.organisation, call.key});
  if (open != by_key_.end()) {
    const bool same =
        open_.at(open->second).call.fingerprint == call.fingerprint;
    return refuse(same ? ProposalOutcome::kOnceRunning
                       : ProposalOutcome::kOnceMismatch);
  }
  for (const auto& [record, it] : unrecorded_) {
    if (it.end.organisation != call.organisation ||
        it.end.idempotency_key != call.key) {
      continue;
    }
    if (it.fingerprint != call.fingerprint) {
      return refuse(ProposalOutcome::kOnceMismatch);
    }
    if (!it.end.known) {
      return refuse(ProposalOutcome::kOnceOutcomeUnknown);
    }
    actions_.push_back(ReplayStoredAnswer{call.request, it.end});
    return true;
  }
  return false;
}

std::uint64_t OnceGuard::AttemptFor(const OnceCall& call) {
  const auto it = undecided_.find({call.organisation, call.key});
  const bool same =
      it != undecided_.end() && it->second.fingerprint == call.fingerprint;
  return same ? it->second.attempt : next_attempt_++;
}

void OnceGuard::RememberUndecided(const OpenCall& open) {
  const Key key(open.call.organisation, open.call.key);
  if (undecided_.contains(key)) {
    return;
  }
  undecided_[key] = {open.call.fingerprint, open.attempt};
  undecided_order_.push_back(key);
  if (undecided_order_.size() > options_.max_unfinished_records) {
    undecided_.erase(undecided_order_.front());
    undecided_order_.pop_front();
  }
}

void OnceGuard::OnBegun(RequestId request, const ProposalResult& result) {
  const auto it = open_.find(request);
  if (it == open_.end() || it->second.handed_over) {
    return;
  }
  const auto open = it->second;
  const Key key(open.call.organisation, open.call.key);
  // Without a result from the log, an earlier begin stays undecided.
  const bool decided = result.outcome != ProposalOutcome::kUnknown &&
                       result.outcome != ProposalOutcome::kNotAccepted;
  if (decided && undecided_.erase(key) > 0) {
    std::erase(undecided_order_, key);
  }
  if (result.outcome == ProposalOutcome::kOnceStarted) {
    it->second.handed_over = true;
    actions_.push_back(SendToEndpoint{request});
    return;
  }
  open_.erase(it);
  by_key_.erase(key);
  if (result.outcome == ProposalOutcome::kOnceStored && result.once) {
    actions_.push_back(ReplayStoredAnswer{request, *result.once});
    return;
  }
  if (result.outcome == ProposalOutcome::kUnknown) {
    RememberUndecided(open);
  }
  const auto& entry = EntryOf(result.outcome);
  Refuse(request, entry.reason, entry.not_run, std::string(entry.message));
}

void OnceGuard::OnEnded(RequestId request,
                        const OnceOutcome& outcome,
                        Instant now) {
  const auto it = open_.find(request);
  if (it == open_.end() || !it->second.handed_over) {
    return;
  }
  Record(it->second.call, outcome, now);
  by_key_.erase({it->second.call.organisation, it->second.call.key});
  open_.erase(it);
}

void OnceGuard::Record(const OnceCall& call,
                       const OnceOutcome& outcome,
                       Instant now) {
  const auto record = next_record_++;
  unrecorded_[record] = {MakeOnceEnd(call, outcome, options_.max_stored_body),
                         call.fingerprint, now};
  if (unrecorded_.size() > options_.max_unfinished_records) {
    unrecorded_.erase(unrecorded_.begin());
  }
  Advance(now);
}

void OnceGuard::Advance(Instant now) {
  for (auto& [record, it] : unrecorded_) {
    if (now >= it.next_proposal) {
      it.next_proposal = now + options_.end_retry_interval;
      actions_.push_back(ProposeEnd{record, it.end, it.next_proposal});
    }
  }
}

void OnceGuard::OnRecorded(std::uint64_t record, const ProposalResult& result) {
  if (result.outcome == ProposalOutcome::kCommitted ||
      result.outcome == ProposalOutcome::kInvalid) {
    unrecorded_.erase(record);
  }
}

}  // namespace baobabrun
