// Parses callers' requests and writes refusals.
#include "callers/caller_front.h"

#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "callers/body_reader.h"

namespace baobabrun {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kCompletionPath = "/v1/completions";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 512;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::size_t kMaxPathBytes = 4096;

// Only these request headers are forwarded to endpoints.
constexpr std::string_view kForwardedHeaders[] = {
    "accept",     "accept-language", "content-type",
    "if-match",   "if-none-match",   "traceparent",
    "tracestate", "x-request-id",    "x-request-tag",
};

// Names of query parameters in which callers tend to send keys.
constexpr std::string_view kKeyParameters[] = {
    "key", "api_key", "api-key", "apikey", "access_token", "token",
};

Refusal BadRequest(std::string message) {
  return {RefusalReason::kBadRequest, std::move(message), true, {}};
}

bool HasControlCharacter(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](unsigned char c) {
    return std::iscntrl(c) != 0 && c != '\t';
  });
}

bool HasParentSegment(std::string_view path) {
  return path.find("/../") != std::string_view::npos || path.ends_with("/..") ||
         path.find("%2e") != std::string_view::npos ||
         path.find("%2E") != std::string_view::npos ||
         path.find("%00") != std::string_view::npos;
}

bool HasKeyParameter(std::string_view query) {
  while (!query.empty()) {
    const auto parameter = query.substr(0, query.find('&'));
    const auto name = parameter.substr(0, parameter.find('='));
    if (std::find(std::begin(kKeyParameters), std::end(kKeyParameters), name) !=
        std::end(kKeyParameters)) {
      return true;
    }
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
  }
  return false;
}

// Copies the key from the Authorization header to `request`. Returns a refusal
// if there is more than one such header or its value is malformed. Without the
// header, the key stays empty.
std::optional<Refusal> ReadKey(const HttpRequest& http,
                               CallerRequest* request) {
  if (http.CountHeaders("authorization") > 1) {
    return BadRequest("more than one Authorization header");
  }
  const auto value = http.HeaderValue("authorization");
  if (value.empty()) {
    return std::nullopt;
  }
  if (!value.starts_with(kBearer)) {
    return Refusal{RefusalReason::kKeyMissing,
                   "Authorization must be 'Bearer KEY'",
                   true,
                   {}};
  }
  const auto key = value.substr(kBearer.size());
  if (key.empty() || key.size() > kMaxKeyBytes || HasControlCharacter(key) ||
      key.find(' ') != std::string_view::npos) {
    return Refusal{
        RefusalReason::kKeyUnknown, "the key is malformed", true, {}};
  }
  request->key = key;
  return std::nullopt;
}

std::optional<Refusal> CheckRequestTarget(const HttpRequest& http) {
  if (http.path.size() > kMaxPathBytes || http.query.size() > kMaxPathBytes) {
    return BadRequest("the path or query is too long");
  }
  if (!http.path.starts_with('/') || HasControlCharacter(http.path) ||
      HasControlCharacter(http.query) || HasParentSegment(http.path)) {
    return BadRequest("the path is malformed");
  }
  if (HasKeyParameter(http.query)) {
    return BadRequest(
        "a key belongs in the Authorization header, not in the query");
  }
  return std::nullopt;
}

std::optional<Refusal> ReadHeaders(const HttpRequest& http,
                                   CallerRequest* request) {
  for (const auto& it : http.headers) {
    if (std::find(std::begin(kForwardedHeaders), std::end(kForwardedHeaders),
                  it.name) == std::end(kForwardedHeaders)) {
      continue;
    }
    if (HasControlCharacter(it.value)) {
      return BadRequest("header " + it.name + " holds control characters");
    }
    request->headers.push_back(it);
  }
  const auto idempotency_key = http.HeaderValue("idempotency-key");
  if (idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return BadRequest("the Idempotency-Key is too long");
  }
  request->idempotency_key = idempotency_key;
  return std::nullopt;
}

// Refuses a request that repeats its key outside the Authorization header,
// because that copy would be forwarded and no endpoint may see the key.
std::optional<Refusal> CheckKeyNotRepeated(const CallerRequest& request) {
  const auto& key = request.key;
  if (key.empty()) {
    return std::nullopt;
  }
  const auto holds = [&key](std::string_view text) {
    return text.find(key) != std::string_view::npos;
  };
  const bool in_headers =
      std::any_of(request.headers.begin(), request.headers.end(),
                  [&](const auto& it) { return holds(it.value); });
  if (in_headers || holds(request.path) || holds(request.query) ||
      holds(request.idempotency_key) || holds(*request.body)) {
    return BadRequest("the key may stand in the Authorization header only");
  }
  return std::nullopt;
}

std::optional<Refusal> ReadKind(CallerRequest* request) {
  if (request->path == kChatPath) {
    request->kind = RequestKind::kChat;
  } else if (request->path == kCompletionPath) {
    request->kind = RequestKind::kCompletion;
  } else {
    request->kind = RequestKind::kService;
    return std::nullopt;
  }
  if (request->method != "POST") {
    return BadRequest("use POST");
  }
  auto call = ReadModelCall(request->kind, *request->body);
  if (!call.ok()) {
    return BadRequest(call.error().message);
  }
  request->call = std::move(call.value());
  return std::nullopt;
}

std::vector<Header> RefusalHeaders(const Refusal& refusal) {
  std::vector<Header> headers = {
      {"Content-Type", "application/json"},
      {"Baobabrun-Not-Run", refusal.not_run ? "true" : "false"}};
  if (refusal.retry_after > Duration::zero()) {
    const auto n = std::chrono::ceil<seconds>(refusal.retry_after).count();
    headers.push_back({"Retry-After", std::to_string(n)});
  }
  return headers;
}

}  // namespace

ReadOutcome ReadCallerRequest(const HttpRequest& http,
                              RequestId id,
                              Instant now,
                              Duration deadline) {
  auto request = std::make_shared<CallerRequest>();
  request->id = id;
  request->method = http.method;
  request->path = http.path;
  request->query = http.query;
  request->arrived = now;
  request->deadline = now + deadline;
  request->body = std::make_shared<const std::string>(http.body);
  auto refusal = CheckRequestTarget(http);
  if (!refusal) {
    refusal = ReadKey(http, request.get());
  }
  if (!refusal) {
    refusal = ReadHeaders(http, request.get());
  }
  if (!refusal) {
    refusal = CheckKeyNotRepeated(*request);
  }
  if (!refusal) {
    refusal = ReadKind(request.get());
  }
  if (refusal) {
    return {nullptr, *refusal};
  }
  return {std::move(request), {}};
}

std::string RefusalJson(const Refusal& refusal) {
  const auto& entry = RefusalEntryOf(refusal.reason);
  nlohmann::json error = {{"code", entry.code},
                          {"type", entry.type},
                          {"message", refusal.message},
                          {"not_run", refusal.not_run}};
  if (refusal.retry_after > Duration::zero()) {
    error["retry_after_ms"] =
        std::chrono::ceil<milliseconds>(refusal.retry_after).count();
  }
  const nlohmann::json out = {{"error", std::move(error)}};
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void WriteRefusal(HttpExchange& exchange, const Refusal& refusal, bool stream) {
  if (!exchange.begun()) {
    exchange.Respond(RefusalEntryOf(refusal.reason).status,
                     RefusalHeaders(refusal), RefusalJson(refusal));
    return;
  }
  if (stream) {
    exchange.Write(
        fmt::format("event: error\ndata: {}\n\n", RefusalJson(refusal)));
  }
  exchange.End(stream);
}

}  // namespace baobabrun
