// The types that describe a request and its attempts. The threads pass them
// from the caller I/O to the dispatcher, from there to the endpoint I/O, and
// back.
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

// The fields of a model call that are read from its JSON body.
struct ModelCall {
  ModelId model;
  bool stream = false;
  std::int64_t max_tokens = 0;  // 0 if the limit of the contract applies
  // Roles and contents of all messages in order, as one text. It is divided
  // into prefix blocks.
  std::shared_ptr<const std::string> prompt;
};

// A request as received from the caller. Its syntax was checked, but its key
// was not.
struct CallerRequest {
  RequestId id;
  RequestKind kind = RequestKind::kService;
  std::string method;
  std::string path;   // without query
  std::string query;  // without the '?' and without API keys
  std::string key;    // from Authorization; empty if the header is missing
  std::string idempotency_key;
  std::vector<Header> headers;  // only those on the allow-list
  std::shared_ptr<const std::string> body;
  ModelCall call;  // for kChat and kCompletion
  Instant arrived;
  Instant deadline;
};

// A request whose API key and contract were checked.
struct Request {
  CallerRequest caller;
  OrganisationId organisation;  // empty only on open routes
  KeyId key;
  PriorityClass priority = PriorityClass::kStandard;
  std::uint32_t weight = 1;
  RouteId route;        // for kService
  std::string service;  // for kService
  bool repeatable = true;
  std::string weights;  // version of the model that must run the request
  std::string adapter;
  std::int32_t block_tokens = 0;
  std::int64_t prompt_tokens = 0;  // estimated
  std::int64_t max_tokens = 0;     // limit set in the forwarded request
};

// Returns whether the control log must record `request` before it is sent to an
// endpoint.
inline bool RunsAtMostOnce(const Request& request) {
  return !request.repeatable && !request.organisation.empty() &&
         !request.caller.idempotency_key.empty();
}
using RequestPtr = std::shared_ptr<const Request>;

// Tells the endpoint I/O to send one attempt of a request to an endpoint.
struct Dispatch {
  AttemptId attempt;
  RequestPtr request;
  EndpointId endpoint;
  Incarnation incarnation;
  Address address;
  // For the continuation of a stream: the text that the caller has already
  // received, which the new attempt must continue, and the number of its
  // events.
  std::shared_ptr<const std::string> delivered;
  std::uint64_t delivered_events = 0;
  // Set if the endpoint may still run this earlier attempt, which is then
  // resumed. Otherwise zero.
  AttemptId resume_of;
  // Whether the attempt must not reuse an open connection.
  bool fresh_connection = false;
};

// How an attempt ended.
enum class AttemptOutcome {
  kComplete,  // the answer arrived completely, with its end marker if streamed
  kNotSent,   // no byte of the request was sent to the endpoint
  // The endpoint did not run the request. It answered 429 or 503, or, for a
  // model call, 404.
  kRefused,
  kFailed,  // the endpoint answered with another error status
  // The connection broke, or the answer ended without its end marker or was
  // invalid.
  kUnusableAnswer,
  kIdleTimeout,   // nothing arrived within the timeout
  kWrongAttempt,  // the answer didn't carry the id of this attempt
  kCancelled,     // the dispatcher cancelled the attempt
};
std::string_view NameOf(AttemptOutcome outcome);

// A complete answer, which is stored for a call that may run at most once.
struct WholeAnswer {
  std::int32_t status = 0;
  std::string content_type;
  std::string body;
  // False if the body was too long to keep, and was forwarded as it arrived.
  // `body` is then empty.
  bool body_kept = true;
};

// Number of streamed events between two progress reports.
constexpr std::uint64_t kProgressEvents = 32;

// A report of the endpoint I/O about an attempt.
struct AttemptReport {
  // kProgress is reported after every kProgressEvents events of a stream.
  enum class Kind { kFirstByte, kProgress, kEnded };
  Kind kind = Kind::kEnded;
  RequestId request;
  AttemptId attempt;
  AttemptOutcome outcome = AttemptOutcome::kComplete;
  std::int32_t status = 0;  // HTTP status, 0 if none was received
  // True if a byte of the answer was passed to the caller's session.
  bool answer_begun = false;
  std::int64_t prompt_tokens = 0;      // counted by the endpoint; 0 if unknown
  std::int64_t cached_tokens = 0;      // those found in its cache
  std::int64_t completion_tokens = 0;  // delivered by this attempt
  std::uint64_t delivered_events = 0;  // by all attempts of the request
  std::shared_ptr<const std::string> delivered;  // text; streams only
  // Set on kComplete for requests that run at most once.
  std::shared_ptr<const WholeAnswer> answer;
};

}  // namespace baobabrun

#endif  // REQUESTS_REQUEST_H_
