// Calls the operators' API with libcurl.
#include "cli/operator_call.h"

#include <curl/curl.h>
#include <fmt/core.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "base/time.h"
#include "cli/command.h"
#include "endpoints/connection_sockets.h"
#include "endpoints/response_reader.h"

namespace baobabrun::cli {
namespace {

using nlohmann::json;

constexpr int kMaxAttempts = 4;
constexpr milliseconds kCallRetryInterval{500};
// Longer than the longest time that the VM takes to answer.
constexpr long kAnswerTimeoutMs = 10'000;
constexpr long kConnectTimeoutMs = 3'000;
constexpr std::size_t kOperationIdBytes = 12;
constexpr int kJsonIndent = 2;

using CurlHandle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using CurlHeaders = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

struct Answer {
  ResponseReader response;
  std::string body;
};

std::size_t AddLine(char* data,
                    std::size_t size,
                    std::size_t count,
                    void* cls) {
  auto& answer = *static_cast<Answer*>(cls);
  return answer.response.AddLine({data, size * count}) ? size * count : 0;
}

std::size_t AddBytes(char* data,
                     std::size_t size,
                     std::size_t count,
                     void* cls) {
  auto& answer = *static_cast<Answer*>(cls);
  const bool good = answer.response.AddBytes(
      {data, size * count}, [&answer](std::string_view bytes) {
        const bool fits = answer.body.size() + bytes.size() <= kMaxAnswerBytes;
        answer.body.append(fits ? bytes : std::string_view());
        return fits;
      });
  return good ? size * count : 0;
}

// Returns whether curl failed before it sent any part of the request.
bool CertainlyNotSent(CURLcode code) {
  return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
         code == CURLE_URL_MALFORMAT;
}

int ExitCodeOf(int status) {
  constexpr int kHttpOk = 200;
  constexpr int kHttpBadRequest = 400;
  if (status == kHttpOk) {
    return kExitOk;
  }
  return status == kHttpBadRequest ? kExitBadInput : kExitFailed;
}

// Returns whether there is no answer, or one that says that the outcome isn't
// known yet.
bool OutcomeUnknown(const HttpReply& reply) {
  constexpr int kHttpGatewayTimeout = 504;
  return reply.status == 0 || reply.status == kHttpGatewayTimeout;
}

std::string DisplayText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

void PrintKeys(const json& keys) {
  for (const auto& it : keys) {
    fmt::print("{} {} {}\n", DisplayText(it["key"]),
               DisplayText(it["organisation"]),
               it["withdrawn"] == true ? "withdrawn" : "active");
  }
}

void PrintResult(const json& answer) {
  fmt::print("{}", DisplayText(answer["result"]));
  for (const char* it : {"version", "expected_version", "operation_id"}) {
    if (answer.contains(it)) {
      fmt::print(", {} {}", it, DisplayText(answer[it]));
    }
  }
  fmt::print("\n");
  if (answer.contains("message")) {
    fmt::print("{}\n", DisplayText(answer["message"]));
  }
  for (const auto& it : answer.value("changes", json::array())) {
    fmt::print("{}\n", DisplayText(it));
  }
  for (const auto& it : answer.value("unconfirmed", json::array())) {
    fmt::print("not confirmed by {}\n", DisplayText(it));
  }
}

}  // namespace

HttpReply SendOverHttp(const std::string& at,
                       const std::string& key,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body) {
  // Outlives the handle, which closes its connection.
  ConnectionSockets sockets;
  const CurlHandle curl(curl_easy_init(), &curl_easy_cleanup);
  const RequestConnection connection(curl.get(), sockets, {});
  Answer answer{
      ResponseReader(true,
                     [&] { return connection.RequestArrived(body.size()); }),
      ""};
  CurlHeaders headers(
      curl_slist_append(nullptr, ("Authorization: Bearer " + key).c_str()),
      &curl_slist_free_all);
  curl_slist_append(headers.get(), "Content-Type: application/json");
  const auto url = "http://" + at + path;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_PROXY, "");
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, kAnswerTimeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMs);
  curl_easy_setopt(curl.get(), CURLOPT_HTTP_TRANSFER_DECODING, 0L);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERFUNCTION, &AddLine);
  curl_easy_setopt(curl.get(), CURLOPT_HEADERDATA, &answer);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &AddBytes);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &answer);
  if (method == "POST") {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  const auto code = curl_easy_perform(curl.get());
  const bool whole = code == CURLE_OK && answer.response.AddEnd();
  const auto fault = answer.response.fault();
  HttpReply reply;
  reply.sent = !CertainlyNotSent(code);
  reply.body = std::move(answer.body);
  if (whole) {
    reply.status = answer.response.head().status();
  } else {
    reply.error = fmt::format("{}: {}", at,
                              fault.empty() ? curl_easy_strerror(code) : fault);
  }
  return reply;
}

CallOutcome CallOperator(const HttpSend& send,
                         const std::string& method,
                         const std::string& path,
                         const std::string& body,
                         const std::function<void()>& wait) {
  bool may_have_run = false;
  HttpReply reply;
  for (int n = 0; n < kMaxAttempts; ++n) {
    if (n > 0) {
      wait();
    }
    reply = send(method, path, body);
    if (!OutcomeUnknown(reply)) {
      return {ExitCodeOf(reply.status), reply.body, ""};
    }
    may_have_run |= reply.sent;
  }
  const bool changes = method != "GET";
  return {changes && may_have_run ? kExitUnknown : kExitFailed, reply.body,
          reply.error};
}

void OperatorArguments::AddTo(CommandLine& line) {
  line.Add("at", 0, "operators' address of any VM (default 127.0.0.1:8081)",
           "HOST:PORT", &at);
  line.Add("operator-key-file", 0, "file that contains the operators' key",
           "FILE", &key_file);
  line.AddFlag("json", "print the answer as JSON", &json);
}

Result<HttpSend> MakeHttpSend(const OperatorArguments& arguments) {
  std::ifstream in(arguments.key_file);
  std::string key;
  if (!(in >> key)) {
    return Error{std::make_error_code(std::errc::invalid_argument),
                 "--operator-key-file: '" + arguments.key_file +
                     "' can't be read or contains no key"};
  }
  return HttpSend([at = arguments.at, key](const std::string& method,
                                           const std::string& path,
                                           const std::string& body) {
    return SendOverHttp(at, key, method, path, body);
  });
}

void PrintOutcome(const CallOutcome& outcome, bool as_json) {
  if (!outcome.error.empty()) {
    fmt::print(stderr, "{}\n", outcome.error);
  }
  const auto answer = json::parse(outcome.body, nullptr, false);
  if (as_json || answer.is_discarded()) {
    fmt::print("{}{}", outcome.body, outcome.body.empty() ? "" : "\n");
  } else if (answer.is_object() && answer.contains("result")) {
    PrintResult(answer);
  } else if (answer.is_object() && answer.contains("keys")) {
    PrintKeys(answer["keys"]);
  } else {
    fmt::print("{}\n", answer.dump(kJsonIndent));
  }
}

int RunOperatorCall(const OperatorArguments& arguments,
                    const std::string& method,
                    const std::string& path,
                    const std::string& body) {
  const auto send = MakeHttpSend(arguments);
  if (!send.ok()) {
    fmt::print(stderr, "{}\n", send.error().message);
    return kExitBadInput;
  }
  const auto outcome = CallOperator(send.value(), method, path, body, [] {
    std::this_thread::sleep_for(kCallRetryInterval);
  });
  PrintOutcome(outcome, arguments.json);
  return outcome.exit_code;
}

std::string NewOperationId() {
  return ToHex(RandomBytes(kOperationIdBytes));
}

}  // namespace baobabrun::cli
