// Tests which answers on a kept connection are believed, with scripted
// endpoints that write an earlier answer once more. The sockets are on loopback
// with ports that the system assigns.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"
#include "endpoints/scripted_endpoint_test.h"
#include "gateway/call_session.h"

namespace baobabrun {
namespace {

constexpr auto kKeep = ScriptedAnswer::End::kKeep;
// Says in these tests that the endpoint didn't run the call.
constexpr int kNotRunStatus = 503;
constexpr int kOk = 200;

// Returns an answer to the call with that id; without an id if it is empty.
std::string Answer(int status, std::string_view id) {
  const auto line = id.empty() ? std::string() : fmt::format("id: {}\r\n", id);
  return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: 2\r\n\r\nab", status,
                     line);
}

AnswerHead ReadAnswer(const EndpointAttempt& send,
                      int status,
                      const std::vector<Header>& headers) {
  AnswerHead head;
  const auto it = std::find_if(headers.begin(), headers.end(),
                               [](const auto& it) { return it.name == "id"; });
  if (it != headers.end()) {
    head.owner = it->value == send.call->caller_id
                     ? AnswerHead::Owner::kThisCall
                     : AnswerHead::Owner::kOtherCall;
  }
  head.signed_by_endpoint = true;
  head.not_run = status == kNotRunStatus;
  return head;
}

Dialect TestDialect() {
  Dialect dialect;
  dialect.read_answer = &ReadAnswer;
  return dialect;
}

}  // namespace

class LateAnswerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LateAnswerTest);
  CPPUNIT_TEST(EarlierAnswerThatComesAgainIsNotBelieved);
  CPPUNIT_TEST(RefusalThatAnswersTheCallIsBelievedOnAnyConnection);
  CPPUNIT_TEST(RefusalWithoutIdIsBelievedOnAFreshConnection);
  CPPUNIT_TEST(ConnectionWithUnaskedBytesIsNotReused);
  CPPUNIT_TEST(SurplusBytesOfAnAnswerAreDropped);
  CPPUNIT_TEST(EarlierRefusalOfTheSameCallDoesNotMeetTheNextAttempt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    auto client = RelayClient::Start();
    CPPUNIT_ASSERT(client.ok());
    client_ = std::move(client.value());
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.name = "test";
    options.threads = 1;
    auto server = HttpServer::Start(
        options, [this](const HttpExchangePtr& it) { Handle(it); },
        [](HttpExchange&) {});
    CPPUNIT_ASSERT(server.ok());
    server_ = std::move(server.value());
  }
  void tearDown() override {
    server_.reset();
    client_.reset();
    session_.reset();
  }

  void EarlierAnswerThatComesAgainIsNotBelieved() {
    struct Row {
      const char* name;
      std::string late;  // comes at the point of the second answer
    };
    const Row rows[] = {
        {"refusal of the first call", Answer(kNotRunStatus, "1")},
        {"refusal without id", Answer(kNotRunStatus, "")},
        {"success of the first call", Answer(kOk, "1")},
        {"success without id", Answer(kOk, "")},
        {"failure without id", Answer(500, "")},
    };
    for (const auto& it : rows) {
      Start({{Answer(kNotRunStatus, "1"), kKeep},
             {it.late + Answer(kOk, "2"), kKeep}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(SendOutcome::kNotRun),
                                   NameOf(Call("1")));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(SendOutcome::kBroken),
                                   NameOf(Call("2")));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 1, endpoint_->accepted());
      CPPUNIT_ASSERT_MESSAGE(it.name, answer_.empty());
    }
  }

  void RefusalThatAnswersTheCallIsBelievedOnAnyConnection() {
    Start({{Answer(kNotRunStatus, "1"), kKeep},
           {Answer(kNotRunStatus, "2"), kKeep},
           {Answer(kOk, "3"), kKeep}});
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kNotRun), NameOf(Call("1")));
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kNotRun), NameOf(Call("2")));
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kAnswered), NameOf(Call("3")));
    CPPUNIT_ASSERT_EQUAL(1, endpoint_->accepted());
  }

  void RefusalWithoutIdIsBelievedOnAFreshConnection() {
    Start({{Answer(kNotRunStatus, "")}});
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kNotRun), NameOf(Call("1")));
  }

  void ConnectionWithUnaskedBytesIsNotReused() {
    for (const auto& it : {Answer(kNotRunStatus, "1"), Answer(kOk, "2"),
                           std::string("x"), std::string("\r\n")}) {
      Start({{Answer(kOk, "1"), kKeep, "", false, it},
             {Answer(kOk, "2"), kKeep}});
      CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kAnswered), NameOf(Call("1")));
      endpoint_->SendUnasked();
      CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kAnswered), NameOf(Call("2")));
      CPPUNIT_ASSERT_EQUAL(2, endpoint_->accepted());
    }
  }

  // They come together with the end of the answer.
  void SurplusBytesOfAnAnswerAreDropped() {
    const std::string chunked =
        "HTTP/1.1 200 X\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nab\r\n0\r\n\r\n";
    const std::string empty = "HTTP/1.1 204 X\r\nid: 1\r\n\r\n";
    for (const auto& first : {Answer(kOk, "1"), chunked, empty}) {
      for (const auto& surplus :
           {Answer(kNotRunStatus, "1"), Answer(kNotRunStatus, ""),
            Answer(kOk, "2"), std::string("x")}) {
        Start({{first + surplus, kKeep}, {Answer(kOk, "2"), kKeep}});
        CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kAnswered), NameOf(Call("1")));
        CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kAnswered), NameOf(Call("2")));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, endpoint_->requests().size());
      }
    }
  }

  void EarlierRefusalOfTheSameCallDoesNotMeetTheNextAttempt() {
    const auto refusal = Answer(kNotRunStatus, "1");
    Start({{refusal, kKeep}, {Answer(kOk, "1"), kKeep}});
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kNotRun), NameOf(Call("1")));
    attempt_.fresh_connection = true;
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kAnswered), NameOf(Call("1")));
    CPPUNIT_ASSERT_EQUAL(2, endpoint_->accepted());
  }

 private:
  void Start(std::vector<ScriptedAnswer> answers) {
    endpoint_ = std::make_unique<ScriptedEndpoint>(std::move(answers));
  }

  // Makes one attempt at the endpoint. What the caller received is then in
  // answer_.
  SendOutcome Call(const std::string& id) {
    std::promise<SendOutcome> reported;
    std::promise<void> finished;
    on_end_ = [&](const AttemptResult& end) {
      reported.set_value(end.outcome);
    };
    on_transfer_end_ = [&] { finished.set_value(); };
    auto call = std::make_shared<GatewayCall>();
    call->caller_id = id;
    attempt_.call = call;
    RawConnection caller(server_->address());
    caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto outcome = reported.get_future().get();
    // The connection can be reused from now on.
    finished.get_future().get();
    session_->Abort();
    answer_ = caller.ReadAll();
    return outcome;
  }

  void Handle(const HttpExchangePtr& exchange) {
    session_ = std::make_shared<CallSession>(
        RequestId(1), exchange, dialect_, draining_,
        CallSessionHooks{[](const AttemptProgress&) {}, on_end_});
    attempt_.attempt = AttemptId(attempt_.attempt.value() + 1);
    RelayRequest request;
    request.attempt = attempt_.attempt;
    request.address = endpoint_->address();
    request.method = "GET";
    request.target = "/x";
    request.fresh_connection = attempt_.fresh_connection;
    auto hooks = session_->HooksFor(attempt_);
    hooks.on_end = [this, on_end = hooks.on_end](const RelayResult& end) {
      on_end(end);
      on_transfer_end_();
    };
    client_->Send(std::move(request), std::move(hooks));
  }

  const Dialect dialect_ = TestDialect();
  const std::atomic<bool> draining_{false};
  EndpointAttempt attempt_;
  std::function<void(AttemptResult)> on_end_;
  std::function<void()> on_transfer_end_;
  std::string answer_;
  CallSessionPtr session_;
  std::unique_ptr<ScriptedEndpoint> endpoint_;
  std::unique_ptr<RelayClient> client_;
  std::unique_ptr<HttpServer> server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(LateAnswerTest);

}  // namespace baobabrun
