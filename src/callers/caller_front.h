// The callers' side of a VM: turns HTTP requests into CallerRequests and
// refusals into HTTP answers. It knows the form of a request, not whether it is
// allowed.
#ifndef CALLERS_CALLER_FRONT_H_
#define CALLERS_CALLER_FRONT_H_

#include <memory>
#include <string>

#include "callers/http_exchange.h"
#include "requests/request.h"

namespace baobabrun {

// Reads the request of `exchange`. `deadline` is how long a caller waits for
// the first byte at most, from `now`.
struct ReadOutcome {
  std::shared_ptr<CallerRequest> request;  // null if refused
  Refusal refusal;
};
ReadOutcome ReadCallerRequest(const HttpRequest& http,
                              RequestId id,
                              Instant now,
                              Duration deadline);

// Writes `refusal` as the whole answer, or, if a streamed answer has begun, as
// an error event that ends it. An answer that has begun and isn't a stream is
// cut.
void WriteRefusal(HttpExchange& exchange, const Refusal& refusal, bool stream);

// The JSON of a refusal: {"error": {"code", "type", "message", "not_run",
// ...}}.
std::string RefusalJson(const Refusal& refusal);

}  // namespace baobabrun

#endif  // CALLERS_CALLER_FRONT_H_
