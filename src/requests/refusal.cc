// The table of refusal reasons and the names of attempt outcomes.
#include "requests/refusal.h"

#include <algorithm>
#include <iterator>

#include "base/error.h"
#include "requests/request.h"

namespace baobabrun {
namespace {

constexpr RefusalEntry kRefusals[] = {
    {RefusalReason::kInternal, "internal", 503, "server_error"},
    {RefusalReason::kBadRequest, "bad_request", 400, "invalid_request_error"},
    {RefusalReason::kBodyTooLarge, "body_too_large", 413,
     "invalid_request_error"},
    {RefusalReason::kHeadersTooLarge, "headers_too_large", 431,
     "invalid_request_error"},
    {RefusalReason::kKeyMissing, "key_missing", 401, "authentication_error"},
    {RefusalReason::kKeyUnknown, "key_unknown", 401, "authentication_error"},
    {RefusalReason::kKeyWithdrawn, "key_withdrawn", 401,
     "authentication_error"},
    {RefusalReason::kForbidden, "forbidden", 403, "permission_error"},
    {RefusalReason::kUnknownModel, "unknown_model", 404,
     "invalid_request_error"},
    {RefusalReason::kUnknownRoute, "unknown_route", 404,
     "invalid_request_error"},
    {RefusalReason::kRateExceeded, "rate_exceeded", 429, "rate_limit_error"},
    {RefusalReason::kTooManyConcurrent, "too_many_concurrent", 429,
     "rate_limit_error"},
    {RefusalReason::kQueueFull, "queue_full", 503, "overloaded_error"},
    {RefusalReason::kNoEndpoint, "no_endpoint", 503, "overloaded_error"},
    {RefusalReason::kDeadline, "deadline", 504, "timeout_error"},
    {RefusalReason::kPoison, "poison", 503, "server_error"},
    {RefusalReason::kStillRunning, "still_running", 409, "conflict_error"},
    {RefusalReason::kOutcomeUnknown, "outcome_unknown", 409, "conflict_error"},
    {RefusalReason::kNoQuorum, "no_quorum", 503, "server_error"},
    {RefusalReason::kIsolated, "isolated", 503, "server_error"},
    {RefusalReason::kShuttingDown, "shutting_down", 503, "server_error"},
    {RefusalReason::kEndpointFailed, "endpoint_failed", 503, "server_error"},
};

constexpr NameEntry<AttemptOutcome> kOutcomes[] = {
    {AttemptOutcome::kComplete, "complete"},
    {AttemptOutcome::kNotSent, "not-sent"},
    {AttemptOutcome::kRefused, "refused"},
    {AttemptOutcome::kFailed, "failed"},
    {AttemptOutcome::kUnusableAnswer, "broken"},
    {AttemptOutcome::kIdleTimeout, "silent"},
    {AttemptOutcome::kWrongAttempt, "crossed"},
    {AttemptOutcome::kCancelled, "cancelled"},
};

}  // namespace

const RefusalEntry& RefusalEntryOf(RefusalReason reason) {
  const auto* it = std::find_if(
      std::begin(kRefusals), std::end(kRefusals),
      [reason](const auto& entry) { return entry.reason == reason; });
  return it == std::end(kRefusals) ? kRefusals[0] : *it;
}

std::string_view NameOf(AttemptOutcome outcome) {
  return NameOf<AttemptOutcome>(kOutcomes, outcome);
}

}  // namespace baobabrun
