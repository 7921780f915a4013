// The reasons for which a request is refused. One table maps each reason to its
// error code, its HTTP status and its OpenAI-style error type.
#ifndef REQUESTS_REFUSAL_H_
#define REQUESTS_REFUSAL_H_

#include <string>
#include <string_view>

#include "base/time.h"

namespace baobabrun {

enum class RefusalReason {
  kBadRequest,
  kBodyTooLarge,
  kHeadersTooLarge,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kForbidden,  // the contract doesn't allow this model or route
  kUnknownModel,
  kUnknownRoute,
  kRateExceeded,
  kTooManyConcurrent,
  kQueueFull,
  kNoEndpoint,
  kDeadline,
  kPoison,          // the request crashed endpoints
  kStillRunning,    // an at-most-once call with this idempotency key still runs
  kOutcomeUnknown,  // an at-most-once call may have run; it is not repeated
  kNoQuorum,
  kIsolated,  // the contract refuses requests while its zone is isolated
  kShuttingDown,
  kEndpointFailed,
  kInternal,
};

struct RefusalEntry {
  RefusalReason reason;
  std::string_view code;
  int status;
  std::string_view type;
};
const RefusalEntry& RefusalEntryOf(RefusalReason reason);

struct Refusal {
  RefusalReason reason = RefusalReason::kInternal;
  std::string message;
  // True only if no byte of the request was sent to any endpoint.
  bool not_run = true;
  Duration retry_after{};  // zero if the response gives no such time
};

}  // namespace baobabrun

#endif  // REQUESTS_REFUSAL_H_
