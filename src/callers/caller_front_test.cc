// Tables of malformed requests and the refusals that they get. Also tests which
// parts of a valid request are forwarded to endpoints.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "callers/caller_front.h"

namespace baobabrun {
namespace {

constexpr char kChat[] = "/v1/chat/completions";

std::string Nested(std::size_t depth) {
  return R"({"model":"m","messages":)" + std::string(depth, '[') +
         std::string(depth, ']') + "}";
}

HttpRequest Post(std::string path, std::string body) {
  HttpRequest http;
  http.method = "POST";
  http.path = std::move(path);
  http.headers = {{"authorization", "Bearer key-1"}};
  http.body = std::move(body);
  return http;
}

ReadOutcome Read(const HttpRequest& http) {
  return ReadCallerRequest(http, RequestId(1), Instant(), seconds(1));
}

}  // namespace

class CallerFrontTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerFrontTest);
  CPPUNIT_TEST(MalformedBodiesAreRefused);
  CPPUNIT_TEST(MalformedTargetsAndHeadersAreRefused);
  CPPUNIT_TEST(OnlyAllowedHeadersAreForwarded);
  CPPUNIT_TEST(PromptJoinsRolesAndContents);
  CPPUNIT_TEST(RefusalJsonHoldsNotRunAndRetryAfter);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MalformedBodiesAreRefused() {
    struct Row {
      const char* name;
      std::string path;
      std::string body;
      const char* message;
    };
    const Row rows[] = {
        {"empty", kChat, "", "not valid JSON"},
        {"broken JSON", kChat, R"({"model": )", "not valid JSON"},
        {"not UTF-8", kChat, "{\"model\": \"\xff\"}", "not valid JSON"},
        {"control character", kChat, "{\"model\": \"\x01\"}", "not valid JSON"},
        {"not an object", kChat, "[1]", "must be a JSON object"},
        {"nested too deeply", kChat, Nested(100'000), "nested too deeply"},
        {"no model", kChat, "{}", "model must be a string"},
        {"model is a number", kChat, R"({"model": 1})",
         "model must be a string"},
        {"no messages", kChat, R"({"model": "m"})", "messages must be"},
        {"messages empty", kChat, R"({"model":"m","messages":[]})",
         "messages must be"},
        {"message without role", kChat,
         R"({"model":"m","messages":[{"content":"x"}]})", "role and content"},
        {"content is a number", kChat,
         R"({"model":"m","messages":[{"role":"user","content":7}]})",
         "content must be"},
        {"part without text", kChat,
         R"({"model":"m","messages":[{"role":"user","content":[{}]}]})",
         "content part"},
        {"stream is text", kChat, R"({"model":"m","stream":"yes"})",
         "stream must be"},
        {"max_tokens is zero", kChat, R"({"model":"m","max_tokens":0})",
         "max_tokens must be"},
        {"max_tokens is negative", kChat, R"({"model":"m","max_tokens":-5})",
         "max_tokens must be"},
        {"max_tokens is huge", kChat,
         R"({"model":"m","max_tokens":18446744073709551615})",
         "max_tokens must be"},
        {"several answers", kChat, R"({"model":"m","n":2})", "n must be 1"},
        {"prompt is a list", "/v1/completions", R"({"model":"m","prompt":[]})",
         "prompt must be a string"},
        {"key in the body", "/v1/completions",
         R"({"model":"m","prompt":"key-1"})", "Authorization header only"},
    };
    for (const auto& it : rows) {
      const auto outcome = Read(Post(it.path, it.body));
      CPPUNIT_ASSERT_MESSAGE(it.name, outcome.request == nullptr);
      CPPUNIT_ASSERT_MESSAGE(it.name, outcome.refusal.not_run);
      CPPUNIT_ASSERT_MESSAGE(
          it.name + std::string(": ") + outcome.refusal.message,
          outcome.refusal.message.find(it.message) != std::string::npos);
    }
  }

  void MalformedTargetsAndHeadersAreRefused() {
    struct Row {
      const char* name;
      std::string path;
      std::string query;
      std::vector<Header> headers;
      RefusalReason reason;
    };
    const Header key{"authorization", "Bearer key-1"};
    constexpr auto kBad = RefusalReason::kBadRequest;
    const Row rows[] = {
        {"two keys", "/s/", "", {key, key}, kBad},
        {"not a bearer",
         "/s/",
         "",
         {{"authorization", "Basic a2V5"}},
         RefusalReason::kKeyMissing},
        {"empty key",
         "/s/",
         "",
         {{"authorization", "Bearer "}},
         RefusalReason::kKeyUnknown},
        {"two words",
         "/s/",
         "",
         {{"authorization", "Bearer a b"}},
         RefusalReason::kKeyUnknown},
        {"long key",
         "/s/",
         "",
         {{"authorization", "Bearer " + std::string(600, 'k')}},
         RefusalReason::kKeyUnknown},
        {"control character in key",
         "/s/",
         "",
         {{"authorization", "Bearer a\x01"}},
         RefusalReason::kKeyUnknown},
        {"key in the query", "/s/", "api_key=x", {key}, kBad},
        {"key as second parameter", "/s/", "a=1&token=x", {key}, kBad},
        {"own key under another name", "/s/", "a=key-1", {key}, kBad},
        {"own key in the path", "/s/key-1", "", {key}, kBad},
        {"own key in a forwarded header",
         "/s/",
         "",
         {key, {"x-request-id", "key-1"}},
         kBad},
        {"own key as idempotency key",
         "/s/",
         "",
         {key, {"idempotency-key", "key-1"}},
         kBad},
        {"parent segment", "/s/../admin", "", {key}, kBad},
        {"encoded parent segment", "/s/%2e%2e/admin", "", {key}, kBad},
        {"encoded zero byte", "/s/%00", "", {key}, kBad},
        {"no leading slash", "s/", "", {key}, kBad},
        {"long path", "/" + std::string(5000, 'p'), "", {key}, kBad},
        {"long idempotency key",
         "/s/",
         "",
         {key, {"idempotency-key", std::string(300, 'i')}},
         kBad},
        {"control character in header",
         "/s/",
         "",
         {key, {"accept", "a\x7f"}},
         kBad},
    };
    for (const auto& it : rows) {
      HttpRequest http = Post(it.path, "{}");
      http.query = it.query;
      http.headers = it.headers;
      const auto outcome = Read(http);
      CPPUNIT_ASSERT_MESSAGE(it.name, outcome.request == nullptr);
      CPPUNIT_ASSERT_MESSAGE(it.name, outcome.refusal.reason == it.reason);
      CPPUNIT_ASSERT_MESSAGE(it.name, outcome.refusal.not_run);
    }
  }

  void OnlyAllowedHeadersAreForwarded() {
    HttpRequest http = Post("/bookings/1", "{}");
    http.headers.push_back({"accept", "text/plain"});
    http.headers.push_back({"x-api-key", "other"});
    http.headers.push_back({"cookie", "session=1"});
    http.headers.push_back({"baobabrun-attempt", "00"});
    const auto outcome = Read(http);
    CPPUNIT_ASSERT(outcome.request != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcome.request->headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("accept"),
                         outcome.request->headers[0].name);
  }

  void PromptJoinsRolesAndContents() {
    const auto outcome = Read(
        Post(kChat, R"({"model":"m","stream":true,"max_completion_tokens":9,
                   "messages":[{"role":"system","content":"a"},
                   {"role":"user","content":[{"type":"text","text":"b"}]}]})"));
    CPPUNIT_ASSERT(outcome.request != nullptr);
    const auto& call = outcome.request->call;
    CPPUNIT_ASSERT_EQUAL(std::string("system\na\nuser\nb\n"), *call.prompt);
    CPPUNIT_ASSERT(call.stream);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, call.max_tokens);
  }

  void RefusalJsonHoldsNotRunAndRetryAfter() {
    const auto json = RefusalJson(
        {RefusalReason::kRateExceeded, "slow\xff", false, milliseconds(1500)});
    CPPUNIT_ASSERT(json.find(R"("not_run":false)") != std::string::npos);
    CPPUNIT_ASSERT(json.find(R"("retry_after_ms":1500)") != std::string::npos);
    CPPUNIT_ASSERT(json.find(R"("code":"rate_exceeded")") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerFrontTest);

}  // namespace baobabrun
