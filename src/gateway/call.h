// Types for a caller's request (a call) and the attempts to run it at
// endpoints, as passed between the parts of the gateway.
#ifndef GATEWAY_CALL_H_
#define GATEWAY_CALL_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/endpoint_backoff.h"
#include "manifest/manifest.h"
#include "relay/relay_client.h"
#include "requests/request.h"

namespace baobabrun {

// A part of a prompt that other requests may share. An endpoint can use a
// cached part only if it has cached all parts before it.
struct PromptPart {
  std::string id;
  std::int64_t tokens = 0;
};

struct GatewayCall {
  RequestId id;
  std::string caller_id;  // the caller's own id of this call; forwarded
  std::string method;
  std::string target;  // path and query as sent
  std::string path;
  std::string host;
  std::vector<Header> headers;  // to be forwarded
  std::size_t header_bytes = 0;
  std::shared_ptr<const std::string> body;
  std::string key;  // API key; empty if the caller sent none
  std::optional<Duration> caller_timeout;  // the caller's timeout
  std::optional<std::int64_t> tokens;  // of the prompt and the longest output
  std::int64_t output_tokens = 0;      // expected; zero if not known
  std::vector<PromptPart> parts;
  ModelId model;  // empty unless the call is for a model
  // Id of the last event that the caller has; empty if none.
  std::string resume_after;
  Instant arrived;
};
using GatewayCallPtr = std::shared_ptr<const GatewayCall>;

// One attempt to run a call at an endpoint.
struct EndpointAttempt {
  AttemptId attempt;
  GatewayCallPtr call;
  EndpointId endpoint;
  Incarnation incarnation;  // of the endpoint
  Address address;
  OrganisationId organisation;           // empty on open routes
  Duration time_left{};                  // until the call's deadline
  std::optional<std::uint64_t> weights;  // version that the endpoint must serve
  // Requests share cached prompt parts only within one scope.
  std::string cache_scope;
  std::int32_t urgency = 0;  // priority; zero is the most urgent
  // Id of the last event that the caller has; empty if none.
  std::string resume_after;
  bool stream = false;  // events are forwarded as they arrive
  // The call was sent to this address before. What was answered then may come
  // once more on a kept connection, and bears the same id.
  bool fresh_connection = false;
  // Where the endpoint can fetch cached parts that it doesn't have.
  std::optional<Address> fetch_from;
  // The store to which the endpoint writes the parts that it computes.
  std::optional<Address> save_to;
};

// What the status and headers of an endpoint's answer state.
struct AnswerHead {
  enum class Owner { kThisCall, kOtherCall, kUnknown };
  Owner owner = Owner::kUnknown;
  bool not_run = false;  // the endpoint states that it didn't run the call
  // The endpoint has another incarnation or other weights than requested.
  bool wrong_endpoint = false;
  bool signed_by_endpoint = false;       // the endpoint signed it
  std::optional<std::uint64_t> weights;  // version that produced the answer
  AnswerNotice notice;
};

enum class SendOutcome {
  kAnswered,  // the whole answer was sent, or is being sent
  kFailure,   // a complete answer that reports a failure; it is kept
  kNotSent,   // no byte reached the endpoint
  kNotRun,    // the endpoint states that it didn't run the call
  // Not run, since another endpoint or version is at that address.
  kWrongEndpoint,
  kBroken,     // the call may have run, but there is no usable answer
  kSilent,     // the call may have run, but nothing arrived in time
  kCancelled,  // cancelled by the gateway
};
std::string_view NameOf(SendOutcome outcome);

// A part of a stream was sent to the caller.
struct AttemptProgress {
  RequestId request;
  AttemptId attempt;
  // Whether another attempt can go on after it.
  bool can_resume = true;
};

// How an attempt ended.
struct AttemptResult {
  RequestId request;
  AttemptId attempt;
  SendOutcome outcome = SendOutcome::kBroken;
  int status = 0;
  // At least one byte of an answer was sent to the caller.
  bool begun = false;
  std::string last_event;  // id of the last event that was sent to the caller
  // Whether another attempt can go on with what the caller was sent.
  bool can_resume = true;
  std::optional<std::uint64_t> weights;
  // For a stream: when the first event arrived, and the longest time between
  // two events. Null and zero if there was no such event or pair.
  std::optional<Instant> first_event;
  Duration longest_pause{};
  std::string detail;
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_bytes = 0;  // received from the endpoint
  // Of a stream: bytes received after its last complete event.
  std::size_t unfinished_bytes = 0;
  int local_port = 0;   // of the endpoint's connection; zero if there was none
  bool reused = false;  // the connection had carried other requests
};

}  // namespace baobabrun

#endif  // GATEWAY_CALL_H_
