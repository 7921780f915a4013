// A caller's request and its tries at endpoints, as the duties hand them to
// each other: callers -> decisions -> endpoint I/O and back.
#ifndef REQUESTS_REQUEST_H_
#define REQUESTS_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "requests/refusal.h"
#include "settings/declarations.h"
#include "settings/process_settings.h"

namespace baobabrun {

enum class RequestKind { kChat, kCompletion, kService };

struct Header {
  std::string name;  // lower case
  std::string value;
};

// What a model call asks for, read from its JSON body.
struct ModelCall {
  ModelId model;
  bool stream = false;
  std::int64_t max_tokens = 0;  // 0: the contract's cap
  // Roles and contents in order, as one text; what prefix blocks are cut from.
  std::shared_ptr<const std::string> prompt;
};

// A request as it came in, checked for form but not yet for its key.
struct CallerRequest {
  RequestId id;
  RequestKind kind = RequestKind::kService;
  std::string method;
  std::string path;   // without query
  std::string query;  // without the '?', free of keys
  std::string key;    // from Authorization; empty if there was none
  std::string idempotency_key;
  std::vector<Header> headers;  // only those on the allow-list
  std::shared_ptr<const std::string> body;
  ModelCall call;  // for kChat and kCompletion
  Instant arrived;
  Instant deadline;
};

// A request whose key and contract have been checked.
struct Request {
  CallerRequest caller;
  OrganisationId organisation;  // empty only on open routes
  KeyId key;
  PriorityClass priority = PriorityClass::kStandard;
  std::uint32_t weight = 1;
  RouteId route;        // for kService
  std::string service;  // for kService
  bool repeatable = true;
  std::string weights;  // model version that must run it
  std::string adapter;
  std::int32_t block_tokens = 0;
  std::int64_t prompt_tokens = 0;  // estimate
  std::int64_t max_tokens = 0;     // cap put into the forwarded request
};
// Whether the control log must record `request` before it is handed over.
inline bool RunsAtMostOnce(const Request& request) {
  return !request.repeatable && !request.organisation.empty() &&
         !request.caller.idempotency_key.empty();
}
using RequestPtr = std::shared_ptr<const Request>;

// An order to send one try of a request to an endpoint.
struct Dispatch {
  AttemptId attempt;
  RequestPtr request;
  EndpointId endpoint;
  Incarnation incarnation;
  Address address;
  // Stream continuation: the text that already reached the caller, which the
  // new try must continue, and the number of its events.
  std::shared_ptr<const std::string> delivered;
  std::uint64_t delivered_events = 0;
  // Set when the same endpoint still runs this earlier attempt and can resume
  // it.
  AttemptId resume_of;
  bool fresh_connection = false;
};

// How a try ended.
enum class AttemptOutcome {
  kComplete,   // whole answer with its terminal marker
  kNotSent,    // no byte reached the endpoint
  kRefused,    // the endpoint answered 429 or 503: not run there
  kFailed,     // the endpoint answered with another error
  kBroken,     // the connection broke, or ended without the marker
  kSilent,     // nothing came for the idle time
  kCrossed,    // the answer carried another attempt's id
  kCancelled,  // we gave it up
};
std::string_view NameOf(AttemptOutcome outcome);

// A whole answer, as it is kept for a call that may run at most once.
struct WholeAnswer {
  std::int32_t status = 0;
  std::string content_type;
  std::string body;
};

// Streamed events between two reports of progress.
constexpr std::uint64_t kProgressEvents = 32;

// What endpoint I/O reports about a try.
struct AttemptReport {
  // kProgress comes now and then while a stream goes on.
  enum class Kind { kFirstByte, kProgress, kEnded };
  Kind kind = Kind::kEnded;
  RequestId request;
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  std::int32_t status = 0;  // HTTP status, 0 if none came
  bool answer_begun =
      false;  // a byte of the answer reached the caller's session
  std::int64_t prompt_tokens = 0;      // as the endpoint counted; 0: unknown
  std::int64_t cached_tokens = 0;      // of these, found in its cache
  std::int64_t completion_tokens = 0;  // delivered by this try
  std::uint64_t delivered_events = 0;  // over all tries of the request
  std::shared_ptr<const std::string> delivered;  // text, streams only
  // Set on kComplete for requests that run at most once.
  std::shared_ptr<const WholeAnswer> answer;
};

}  // namespace baobabrun

#endif  // REQUESTS_REQUEST_H_
