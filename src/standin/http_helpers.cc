// Helper functions that both kinds of stand-ins use.
#include "standin/http_helpers.h"

#include <charconv>
#include <chrono>
#include <utility>

#include "standin/answer_format.h"

namespace baobabrun::standin {
namespace {

constexpr std::size_t kHttpThreads = 1;
constexpr Duration kIdleTimeout = seconds(60);

}  // namespace

HttpServerOptions EndpointHttpOptions(const Address& listen, std::string name) {
  HttpServerOptions options;
  options.listen = listen;
  options.name = std::move(name);
  options.threads = kHttpThreads;
  options.idle_timeout = kIdleTimeout;
  return options;
}

void RefuseTooLarge(HttpExchange& exchange) {
  exchange.Respond(413, JsonHeaders(exchange.request()),
                   ErrorAnswer("too_large", "the body is too large"));
}

std::vector<Header> JsonHeaders(const HttpRequest& request) {
  std::vector<Header> headers = {{"Content-Type", "application/json"}};
  const auto attempt = request.HeaderValue("baobabrun-attempt");
  if (!attempt.empty()) {
    headers.push_back({"Baobabrun-Attempt", std::string(attempt)});
  }
  return headers;
}

int RefusalStatus(const std::optional<Fault>& fault) {
  if (fault && fault->kind == FaultKind::kRefuse500) {
    return 500;
  }
  if (fault && fault->kind == FaultKind::kRefuse503) {
    return 503;
  }
  return 0;
}

std::uint64_t ParseHex(std::string_view text) {
  constexpr int kHexadecimal = 16;
  std::uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n, kHexadecimal);
  return n;
}

std::uint64_t FirstIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count());
}

}  // namespace baobabrun::standin
