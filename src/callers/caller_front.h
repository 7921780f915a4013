// Converts callers' HTTP requests to CallerRequests, and refusals to HTTP
// answers. Only the form of a request is checked here, not whether the caller
// is allowed to make it.
#ifndef CALLERS_CALLER_FRONT_H_
#define CALLERS_CALLER_FRONT_H_

#include <memory>
#include <string>

#include "callers/http_exchange.h"
#include "requests/request.h"

namespace baobabrun {

// The result of ReadCallerRequest().
struct ReadOutcome {
  std::shared_ptr<CallerRequest> request;  // null if refused
  Refusal refusal;  // only meaningful if `request` is null
};
// Parses `http` and checks its form. `deadline` is the longest time that the
// caller waits for the first byte, counted from `now`.
ReadOutcome ReadCallerRequest(const HttpRequest& http,
                              RequestId id,
                              Instant now,
                              Duration deadline);

// Writes `refusal` as the whole answer if no answer has begun. If an answer has
// begun and `stream` is set, appends an error event and ends the answer. An
// answer that has begun and isn't a stream is closed while incomplete, so that
// the caller doesn't take it for a whole one.
void WriteRefusal(HttpExchange& exchange, const Refusal& refusal, bool stream);

// Returns the JSON of a refusal:
// {"error": {"code", "type", "message", "not_run", ...}}.
std::string RefusalJson(const Refusal& refusal);

}  // namespace baobabrun

#endif  // CALLERS_CALLER_FRONT_H_
