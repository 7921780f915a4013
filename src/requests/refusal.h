// Refusals: every way in which a caller is told no. One table gives the code,
// the HTTP status and the OpenAI-style type.
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
  kForbidden,  // the contract does not allow this model or route
  kUnknownModel,
  kUnknownRoute,
  kRateExceeded,
  kTooManyConcurrent,
  kQueueFull,
  kNoEndpoint,
  kDeadline,
  kPoison,          // the request crashed endpoints
  kRunning,         // an at-most-once call with this key still runs
  kOutcomeUnknown,  // an at-most-once call may have run; it is not repeated
  kNoQuorum,
  kIsolated,  // the contract refuses while its zone is cut off
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
const RefusalEntry& EntryOf(RefusalReason reason);

struct Refusal {
  RefusalReason reason = RefusalReason::kInternal;
  std::string message;
  // True only if no byte of the request was handed to any endpoint.
  bool not_run = true;
  Duration retry_after{};  // zero: no advice
};

}  // namespace baobabrun

#endif  // REQUESTS_REFUSAL_H_
