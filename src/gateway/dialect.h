// The protocol of callers, endpoints and operators: names, formats and calls,
// as a set of functions. A dialect makes no decisions. All of its functions may
// be called from any thread.
#ifndef GATEWAY_DIALECT_H_
#define GATEWAY_DIALECT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "callers/http_exchange.h"
#include "control/proposal.h"
#include "gateway/cache_feed.h"
#include "gateway/call.h"
#include "manifest/manifest.h"
#include "registry/endpoint_registry.h"

namespace baobabrun {

// Requests that arrive on the operators' port.
struct ReplaceManifest {
  std::string text;
};
struct ReadManifest {};
struct NameNewWeights {
  NamedWeights named;
};
struct ReportEndpoint {
  EndpointRecord record;
};
struct DeregisterEndpoint {
  EndpointId endpoint;
  Incarnation incarnation;  // zero if not given
};
// The request can't be parsed, or no such call exists.
struct BadControlCall {
  enum class Reason { kUnknown, kMalformed };
  Reason reason = Reason::kUnknown;
  std::string message;
};
using ControlCall = std::variant<BadControlCall,
                                 ReplaceManifest,
                                 ReadManifest,
                                 NameNewWeights,
                                 ReportEndpoint,
                                 DeregisterEndpoint>;

enum class ControlOutcome {
  kDone,
  kInvalid,      // it can't succeed on any VM; the message says why
  kUnknownCall,  // no such call exists
  kUnavailable,  // the caller should retry, here or at another VM
};
struct ControlAnswer {
  ControlOutcome outcome = ControlOutcome::kDone;
  std::string message;
  // The whole response body; set for ReadManifest only.
  std::shared_ptr<const std::string> manifest;
};

// A command to an endpoint to load a version of the weights.
struct LoadOrder {
  EndpointId endpoint;
  Address address;
  ModelId model;
  std::uint64_t weights = 0;
  VmId holder;
  std::uint64_t fence = 0;  // fencing token; each new holder has a higher one
  // If set, runs that haven't finished continue with the new weights; otherwise
  // the endpoint loads after they have finished.
  bool load_during_runs = false;
  // How many orders the endpoint must have accepted so far. If the count
  // differs, it refuses this one.
  std::optional<std::uint64_t> expected_orders;
  // After this time without an answer the result is kUnclear.
  Duration answer_timeout{};
};
enum class OrderAnswer {
  kAccepted,
  kAlreadyLoaded,  // it already has those weights
  kBusy,     // another order is in progress, or the count of orders differs
  kFenced,   // it has seen a higher fence
  kRefused,  // no such weights, or another endpoint is at this address
  kUnclear,  // it may have been accepted
};
std::string_view NameOf(OrderAnswer answer);

struct EndpointStatus {
  std::vector<ModelWeights> models;
  bool loading = false;
  std::int32_t running = 0;  // calls
  std::int32_t waiting = 0;
  std::uint64_t orders = 0;  // accepted since the endpoint started
};

// A request of this VM's own to an endpoint.
struct EndpointCall {
  std::string method;
  std::string target;
  std::vector<Header> headers;
  std::string body;
};

struct ParsedCall {
  std::shared_ptr<GatewayCall> call;  // null if refused
  Refusal refusal;
};

struct Dialect {
  // Errors: ManifestError::kUnreadable; the message names the field.
  std::function<Result<Manifest>(std::string_view text)> read_manifest;

  std::function<ParsedCall(const HttpRequest& request)> read_call;
  std::function<void(HttpExchange& exchange, const Refusal& refusal)>
      write_refusal;

  // Returns all headers of an attempt, including those that the caller sent.
  std::function<std::vector<Header>(const EndpointAttempt& send)> write_headers;
  std::function<AnswerHead(const EndpointAttempt& send,
                           int status,
                           const std::vector<Header>& headers)>
      read_answer;

  std::function<ControlCall(const HttpRequest& request)> read_control_call;
  std::function<void(HttpExchange& exchange, const ControlAnswer& answer)>
      write_control_answer;

  // Reads the notice from the answer to a request of this VM's own.
  std::function<AnswerNotice(int status, const std::vector<Header>& headers)>
      read_notice;
  // Whether the answer to a request of this VM's own belongs to a caller's
  // call, which an endpoint may answer once more on the same connection.
  std::function<bool(const std::vector<Header>& headers)> answers_callers_call;
  std::function<EndpointCall(const LoadOrder& order)> write_order;
  std::function<OrderAnswer(int status)> read_order_answer;
  std::function<EndpointCall(const EndpointId& endpoint)> write_status_call;
  std::function<Result<EndpointStatus>(std::string_view body)> read_status;
  // Writes a query for a cache's changes since position `since`. If there is
  // none, the endpoint waits up to `wait` for one before it answers.
  std::function<EndpointCall(std::uint64_t since, Duration wait)>
      write_cache_call;
  std::function<Result<CacheUpdate>(std::string_view body)> read_cache_update;
};

}  // namespace baobabrun

#endif  // GATEWAY_DIALECT_H_
