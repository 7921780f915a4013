// Tests of the stand-ins' HTTP servers over loopback, and of the parsing of
// their options.
#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "endpoints/event_splitter.h"
#include "endpoints/stream_guard.h"
#include "standin/answer_text.h"
#include "standin/engine_server.h"
#include "standin/http_call.h"
#include "standin/service_server.h"

namespace baobabrun::standin {
namespace {

constexpr char kPrompt[] = "hello [answer-tokens=6]";
constexpr std::int64_t kTokens = 6;
constexpr char kAttempt[] = "00000000000000a1";

EngineServerOptions EngineOptionsForTest() {
  EngineServerOptions options;
  options.listen = {"127.0.0.1", 0};
  options.name = EndpointId("engine-1");
  options.zone = ZoneId("ikeja");
  options.models = {{ModelId("tagger"), "v3", ""}};
  options.engine.decode_step = milliseconds(1);
  options.engine.prefill_per_token = Duration(1);
  options.poison_marker = "POISON";
  options.key_marker = "sk-";
  options.restart_time = milliseconds(10);
  return options;
}

std::unique_ptr<EngineServer> StartEngine(
    EngineServerOptions options = EngineOptionsForTest()) {
  auto server = EngineServer::Start(std::move(options));
  CPPUNIT_ASSERT(server.ok());
  return std::move(server.value());
}

HttpCall ModelCallTo(const EngineServer& server, bool stream) {
  const nlohmann::json body = {{"model", "tagger"},
                               {"prompt", kPrompt},
                               {"max_tokens", 50},
                               {"stream", stream},
                               {"user", "tag-1"}};
  HttpCall call;
  call.method = "POST";
  call.address = server.address();
  call.path = "/v1/completions";
  call.headers = {{"Baobabrun-Attempt", kAttempt}};
  call.body = body.dump();
  return call;
}

HttpAnswer Post(const Address& address, std::string path, std::string body) {
  HttpCall call;
  call.method = "POST";
  call.address = address;
  call.path = std::move(path);
  call.body = std::move(body);
  return PerformCall(call);
}

nlohmann::json Runs(const Address& address) {
  HttpCall call;
  call.address = address;
  call.path = "/runs";
  return nlohmann::json::parse(PerformCall(call).body);
}

// Polls `condition` until it is true. The number of polls is so large that only
// a hung test reaches it.
bool Eventually(const std::function<bool()>& condition) {
  constexpr int kPolls = 6000;
  for (int n = 0; n < kPolls; ++n) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

// The content of a stream's body, and what was wrong with it.
struct StreamContent {
  std::string text;
  std::uint64_t events = 0;
  int duplicates = 0;
  bool valid = true;
  bool whole = false;
};

StreamContent ReadStream(const std::string& body, std::uint64_t after = 0) {
  EventSplitter splitter;
  StreamGuard guard(after, "");
  StreamContent out;
  for (const auto& it : splitter.Push(body)) {
    const auto verdict = guard.Accept(it);
    out.valid = out.valid && verdict != StreamGuard::Verdict::kInvalid;
    out.duplicates += verdict == StreamGuard::Verdict::kDuplicate ? 1 : 0;
  }
  out.text = guard.delivered();
  out.events = guard.delivered_events();
  out.whole = guard.complete();
  return out;
}

}  // namespace

class ServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerTest);
  CPPUNIT_TEST(AnswersAreComplete);
  CPPUNIT_TEST(ContinuationProducesTheSameText);
  CPPUNIT_TEST(CutStreamIsResumed);
  CPPUNIT_TEST(StreamsShowInjectedFaults);
  CPPUNIT_TEST(UnstreamedAnswersShowInjectedFaults);
  CPPUNIT_TEST(ServicesShowInjectedFaults);
  CPPUNIT_TEST(ClosedConnectionCancelsTheRequest);
  CPPUNIT_TEST(EngineRestartsAfterPoisonPrompt);
  CPPUNIT_TEST(CallerKeysAreDetected);
  CPPUNIT_TEST(OutdatedFencingNumbersAreRefused);
  CPPUNIT_TEST(FaultOptionsAreParsed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswersAreComplete() {
    const auto server = StartEngine();
    const auto streamed = PerformCall(ModelCallTo(*server, true));
    CPPUNIT_ASSERT_EQUAL(200, streamed.status);
    CPPUNIT_ASSERT(streamed.HeaderValue("baobabrun-attempt") == kAttempt);
    const auto reading = ReadStream(streamed.body);
    CPPUNIT_ASSERT(reading.whole);
    CPPUNIT_ASSERT_EQUAL(AnswerText(kPrompt, 50), reading.text);
    const auto whole = PerformCall(ModelCallTo(*server, false));
    const auto json = nlohmann::json::parse(whole.body);
    CPPUNIT_ASSERT_EQUAL(AnswerText(kPrompt, 50),
                         json["choices"][0]["text"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(
        2, Runs(server->address())["runs"]["tag-1"]["finished"].get<int>());
  }

  void ContinuationProducesTheSameText() {
    const auto server = StartEngine();
    auto call = ModelCallTo(*server, true);
    auto body = nlohmann::json::parse(call.body);
    const auto id = PromptId(kPrompt);
    const auto delivered = TokenText(id, 1) + TokenText(id, 2);
    body["continue_from"] = {{"text", delivered}, {"events", 2}};
    call.body = body.dump();
    const auto reading = ReadStream(PerformCall(call).body, 2);
    CPPUNIT_ASSERT(reading.whole && reading.valid);
    CPPUNIT_ASSERT_EQUAL(AnswerText(kPrompt, 50), delivered + reading.text);
    CPPUNIT_ASSERT_EQUAL(
        1, Runs(server->address())["runs"]["tag-1"]["continued"].get<int>());
  }

  void CutStreamIsResumed() {
    const auto server = StartEngine();
    Post(server->address(), "/fault",
         R"({"fault": "cut-mid-event", "after": 2})");
    const auto cut = PerformCall(ModelCallTo(*server, true));
    CPPUNIT_ASSERT(!cut.complete);
    const auto before = ReadStream(cut.body);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, before.events);
    const auto resumed =
        Post(server->address(), "/v1/resume",
             std::string(R"({"attempt": ")") + kAttempt + R"(", "after": 2})");
    const auto after = ReadStream(resumed.body, 2);
    CPPUNIT_ASSERT(resumed.complete && after.whole);
    CPPUNIT_ASSERT_EQUAL(AnswerText(kPrompt, 50), before.text + after.text);
    const auto earlier =
        Post(server->address(), "/v1/resume",
             std::string(R"({"attempt": ")") + kAttempt + R"(", "after": 1})");
    CPPUNIT_ASSERT_EQUAL(
        AnswerText(kPrompt, 50),
        TokenText(PromptId(kPrompt), 1) + ReadStream(earlier.body, 1).text);
    CPPUNIT_ASSERT_EQUAL(404,
                         Post(server->address(), "/v1/resume",
                              R"({"attempt": "00000000000000ff", "after": 2})")
                             .status);
    CPPUNIT_ASSERT_EQUAL(
        1, Runs(server->address())["runs"]["tag-1"]["started"].get<int>());
  }

  void StreamsShowInjectedFaults() {
    struct Row {
      const char* fault;
      int status;
      bool framed;  // ends as HTTP's framing requires
      bool valid;   // the events have no gap
      bool marker;
      std::uint64_t events;
      int duplicates;
    };
    constexpr Row kRows[] = {
        {"cut-before-first-byte", 0, false, true, false, 0, 0},
        {"cut-mid-event", 200, false, true, false, 3, 0},
        {"cut-before-marker", 200, true, true, false, kTokens + 1, 0},
        {"cut-after-marker", 200, false, true, true, kTokens + 1, 0},
        {"doubled-event", 200, true, true, true, kTokens + 1, 1},
        {"skipped-event", 200, true, false, false, 3, 0},
        {"silent", 200, false, true, false, 3, 0},
        {"refuse-500", 500, true, true, false, 0, 0},
        {"refuse-503", 503, true, true, false, 0, 0},
    };
    const auto server = StartEngine();
    for (const auto& row : kRows) {
      Post(server->address(), "/fault",
           std::string(R"({"fault": ")") + row.fault + R"(", "after": 3})");
      auto call = ModelCallTo(*server, true);
      call.timeout = milliseconds(500);
      const auto answer = PerformCall(call);
      const auto reading = ReadStream(answer.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.status, answer.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.framed, answer.complete);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.valid, reading.valid);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.marker, reading.whole);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.events, reading.events);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.duplicates,
                                   reading.duplicates);
    }
  }

  void UnstreamedAnswersShowInjectedFaults() {
    struct Row {
      const char* fault;
      int status;
      bool framed;
    };
    constexpr Row kRows[] = {
        {"cut-before-first-byte", 0, false}, {"cut-mid-event", 200, false},
        {"wrong-attempt", 200, true},        {"fail-after-run", 500, true},
        {"refuse-500", 500, true},
    };
    const auto server = StartEngine();
    for (const auto& row : kRows) {
      Post(server->address(), "/fault",
           std::string(R"({"fault": ")") + row.fault + R"("})");
      const auto answer = PerformCall(ModelCallTo(*server, false));
      const bool echoed = answer.HeaderValue("baobabrun-attempt") == kAttempt;
      const bool expect_echo =
          row.status != 0 && std::string_view(row.fault) != "wrong-attempt";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.status, answer.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.framed, answer.complete);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, expect_echo, echoed);
    }
  }

  void ServicesShowInjectedFaults() {
    ServiceServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.name = EndpointId("bookings-1");
    options.zone = ZoneId("ikeja");
    options.service = "bookings";
    auto started = ServiceServer::Start(options);
    CPPUNIT_ASSERT(started.ok());
    const auto address = started.value()->address();
    struct Row {
      const char* fault;
      int status;
      bool framed;
      int runs;  // including those of the rows above
    };
    constexpr Row kRows[] = {
        {nullptr, 200, true, 1},
        {"fail-after-run", 500, true, 2},
        {"refuse-503", 503, true, 2},
        {"cut-before-first-byte", 0, false, 3},
        {"cut-mid-event", 200, false, 4},
    };
    for (const auto& row : kRows) {
      const std::string label = row.fault == nullptr ? "none" : row.fault;
      if (row.fault != nullptr) {
        Post(address, "/fault",
             std::string(R"({"fault": ")") + row.fault + R"("})");
      }
      const auto answer = Post(address, "/bookings/?tag=b1", "two seats");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, row.status, answer.status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, row.framed, answer.complete);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          label, row.runs, Runs(address)["runs"]["b1"]["started"].get<int>());
    }
  }

  void ClosedConnectionCancelsTheRequest() {
    const auto server = StartEngine();
    Post(server->address(), "/fault",
         R"({"fault": "slow", "value": 10000000})");
    auto call = ModelCallTo(*server, false);
    call.timeout = milliseconds(20);
    CPPUNIT_ASSERT_EQUAL(0, PerformCall(call).status);
    CPPUNIT_ASSERT(Eventually([&] {
      const auto runs = Runs(server->address())["runs"];
      return runs.contains("tag-1") && runs["tag-1"]["cancelled"] == 1;
    }));
    CPPUNIT_ASSERT(server->Idle());
  }

  void EngineRestartsAfterPoisonPrompt() {
    const auto server = StartEngine();
    auto call = ModelCallTo(*server, true);
    auto body = nlohmann::json::parse(call.body);
    body["prompt"] = "a POISON prompt";
    call.body = body.dump();
    CPPUNIT_ASSERT_EQUAL(0, PerformCall(call).status);
    CPPUNIT_ASSERT(Eventually(
        [&] { return PerformCall(ModelCallTo(*server, true)).status == 200; }));
  }

  void CallerKeysAreDetected() {
    const auto server = StartEngine();
    auto call = ModelCallTo(*server, false);
    PerformCall(call);
    CPPUNIT_ASSERT_EQUAL(0, Runs(server->address())["keys_seen"].get<int>());
    call.headers.push_back({"X-Other", "sk-12345"});
    PerformCall(call);
    CPPUNIT_ASSERT_EQUAL(1, Runs(server->address())["keys_seen"].get<int>());
    call.headers.back() = {"Authorization", "Bearer whatever"};
    PerformCall(call);
    CPPUNIT_ASSERT_EQUAL(2, Runs(server->address())["keys_seen"].get<int>());
  }

  void OutdatedFencingNumbersAreRefused() {
    const LoadedModel old{ModelId("tagger"), "v3", ""};
    const LoadedModel renewed{ModelId("tagger"), "v4", ""};
    const Instant start{seconds(1)};
    for (const bool checks : {true, false}) {
      OrderHandlerOptions options;
      options.checks_fencing = checks;
      options.load_time = seconds(2);
      OrderHandler handler(options, {old});
      CPPUNIT_ASSERT(handler.Apply({5, OrderKind::kLoad, renewed}, start));
      CPPUNIT_ASSERT(handler.Models(start).front() == old);
      CPPUNIT_ASSERT(handler.Models(start + seconds(2)).front() == renewed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, handler.Models(start).size());
      CPPUNIT_ASSERT_EQUAL(
          !checks, handler.Apply({4, OrderKind::kUnload, renewed}, start));
      CPPUNIT_ASSERT_EQUAL(checks,
                           handler.Serves(ModelId("tagger"), "", start));
    }
  }

  void FaultOptionsAreParsed() {
    const auto scheduled = ParseFaultOption("cut-mid-event:3:2");
    CPPUNIT_ASSERT(scheduled.ok());
    CPPUNIT_ASSERT(scheduled.value().fault.kind == FaultKind::kCutMidEvent);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, scheduled.value().count);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, scheduled.value().fault.after);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{250},
                         ParseFaultOption("slow:250").value().fault.value);
    for (const char* text : {"", "other", "silent:x", "silent:1:2:3"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !ParseFaultOption(text).ok());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerTest);

}  // namespace baobabrun::standin
