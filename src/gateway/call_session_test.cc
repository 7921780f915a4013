// Tests how answers of endpoints reach callers, with scripted endpoints that
// break off their answers. The sockets are on loopback with ports that the
// system assigns.
#include "gateway/call_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"
#include "endpoints/scripted_endpoint_test.h"

namespace baobabrun {
namespace {

// An endpoint whose answer is cut off can't send more than this: the bound on
// what is kept of an answer and what fits into the buffers of both sockets.
constexpr std::size_t kMaxSentUntilClosed = std::size_t{16} << 20;
// Says in these tests that the endpoint didn't run the call.
constexpr int kNotRunStatus = 503;
constexpr std::string_view kLeavingHeader = "leaving";
constexpr std::string_view kOtherCallHeader = "other-call";
constexpr std::string_view kEndMarker = "\r\n0\r\n\r\n";

// How an endpoint marks the end of its answer's body.
enum class Framing { kLength, kChunks, kConnection };

// Returns an answer whose framing is intact.
std::string Framed(Framing framing,
                   std::string_view body,
                   std::string_view type = "text/event-stream") {
  const auto head =
      fmt::format("HTTP/1.1 200 OK\r\nContent-Type: {}\r\n", type);
  switch (framing) {
    case Framing::kLength:
      return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(),
                         body);
    case Framing::kChunks:
      return fmt::format(
          "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head,
          body.size(), body);
    case Framing::kConnection:
      break;
  }
  return fmt::format("{}\r\n{}", head, body);
}

Dialect TestDialect() {
  Dialect dialect;
  dialect.read_answer = [](const EndpointAttempt&, int status,
                           const std::vector<Header>& headers) {
    const auto has = [&headers](std::string_view name) {
      return std::any_of(headers.begin(), headers.end(),
                         [name](const auto& it) { return it.name == name; });
    };
    AnswerHead head;
    head.owner = has(kOtherCallHeader) ? AnswerHead::Owner::kOtherCall
                                       : AnswerHead::Owner::kThisCall;
    head.notice.leaving = has(kLeavingHeader);
    head.signed_by_endpoint = true;
    head.not_run = status == kNotRunStatus;
    return head;
  };
  return dialect;
}

}  // namespace

class CallSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallSessionTest);
  CPPUNIT_TEST(StreamThatEndsInsideAnEventIsNotDeliveredAsComplete);
  CPPUNIT_TEST(CompleteStreamIsDeliveredInAnyFraming);
  CPPUNIT_TEST(StreamWhoseConnectionIsResetIsNotDeliveredAsComplete);
  CPPUNIT_TEST(StreamWithoutEventsIsCompleteOnlyIfItsEndIsMarked);
  CPPUNIT_TEST(StreamThatEndsInsideAnEventIsContinuedByTheNextAttempt);
  CPPUNIT_TEST(DocumentOnARouteForStreamsIsDelivered);
  CPPUNIT_TEST(EventWithoutEndIsCutOff);
  CPPUNIT_TEST(FailureWithoutEndIsCutOff);
  CPPUNIT_TEST(CallThatDidNotRunGoesOnBeforeTheAnswerEnds);
  CPPUNIT_TEST(NoticeOfAnyAnswerComesBeforeItsResult);
  CPPUNIT_TEST(NoticeInTheAnswerToAnotherCallIsIgnored);
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
        options, [this](HttpExchangePtr it) { Handle(std::move(it)); },
        [](HttpExchange&) {});
    CPPUNIT_ASSERT(server.ok());
    server_ = std::move(server.value());
  }
  void tearDown() override {
    server_.reset();
    client_.reset();
    session_.reset();
  }

  void StreamThatEndsInsideAnEventIsNotDeliveredAsComplete() {
    const std::string event = "id: 1\ndata: a\n\n";
    const std::string rests[] = {"i",
                                 "id: 2\n",
                                 "id: 2\ndata: b",
                                 "id: 2\ndata: b\n",
                                 "id: 2\r\ndata: b\r\n",
                                 "data"};
    for (const auto framing :
         {Framing::kConnection, Framing::kChunks, Framing::kLength}) {
      for (const auto& it : rests) {
        const auto answer = Call(Framed(framing, event + it));
        CPPUNIT_ASSERT_MESSAGE(it, !answer.ends_with(kEndMarker));
        CPPUNIT_ASSERT_MESSAGE(it, result_.outcome == SendOutcome::kBroken);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::string("1"), result_.last_event);
      }
    }
  }

  void CompleteStreamIsDeliveredInAnyFraming() {
    const std::string bodies[] = {
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
    };
    for (const auto framing :
         {Framing::kConnection, Framing::kChunks, Framing::kLength}) {
      for (const auto& it : bodies) {
        const auto answer = Call(Framed(framing, it));
        CPPUNIT_ASSERT_MESSAGE(it, answer.ends_with(kEndMarker));
        CPPUNIT_ASSERT_MESSAGE(it, result_.outcome == SendOutcome::kAnswered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::string("2"), result_.last_event);
      }
    }
  }

  void StreamWhoseConnectionIsResetIsNotDeliveredAsComplete() {
    const auto answer = Call(std::vector<ScriptedAnswer>{
        {Framed(Framing::kConnection, "id: 1\ndata: a\n\n"),
         ScriptedAnswer::End::kReset}});
    CPPUNIT_ASSERT(!answer.ends_with(kEndMarker));
    CPPUNIT_ASSERT(result_.outcome == SendOutcome::kBroken);
  }

  void StreamWithoutEventsIsCompleteOnlyIfItsEndIsMarked() {
    struct Row {
      Framing framing;
      const char* body;
      bool complete;
    };
    const Row rows[] = {
        {Framing::kConnection, "", false},
        {Framing::kConnection, ": ping\n", false},
        {Framing::kLength, "", true},
        {Framing::kLength, ": ping\n", true},
        {Framing::kChunks, ": ping\n", true},
    };
    for (const auto& it : rows) {
      const auto answer = Call(Framed(it.framing, it.body));
      CPPUNIT_ASSERT_EQUAL(it.complete, answer.ends_with(kEndMarker));
      CPPUNIT_ASSERT_EQUAL(it.complete,
                           result_.outcome == SendOutcome::kAnswered);
    }
  }

  void StreamThatEndsInsideAnEventIsContinuedByTheNextAttempt() {
    const std::string first = "id: 1\ndata: a\n\n";
    const std::string second = "id: 2\ndata: b\n\n";
    const auto answer =
        Call(Framed(Framing::kConnection, first + "id: 2\ndata: x"),
             Framed(Framing::kConnection, second));
    CPPUNIT_ASSERT(result_.outcome == SendOutcome::kAnswered);
    CPPUNIT_ASSERT(answer.ends_with(kEndMarker));
    CPPUNIT_ASSERT(answer.find("data: a\n\n") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("data: b\n\n") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("data: x") == std::string::npos);
  }

  void DocumentOnARouteForStreamsIsDelivered() {
    const auto answer =
        Call(Framed(Framing::kLength, "{}", "application/json"));
    CPPUNIT_ASSERT(result_.outcome == SendOutcome::kAnswered);
    CPPUNIT_ASSERT(answer.ends_with("\r\n\r\n{}"));
  }

  void EventWithoutEndIsCutOff() {
    const std::string begin = Framed(Framing::kConnection, "id: 1\n\n");
    const std::string endless[] = {std::string(1'000, 'a'), "data: a\n",
                                   ": a\n"};
    for (const auto& it : endless) {
      const auto answer = Call(
          std::vector<ScriptedAnswer>{{begin, ScriptedAnswer::End::kHold, it}});
      CPPUNIT_ASSERT(result_.outcome == SendOutcome::kBroken);
      CPPUNIT_ASSERT(!answer.ends_with(kEndMarker));
      CPPUNIT_ASSERT_EQUAL(std::string("1"), result_.last_event);
      CPPUNIT_ASSERT(bytes_sent_ < kMaxSentUntilClosed);
    }
  }

  void FailureWithoutEndIsCutOff() {
    struct Row {
      int status;
      SendOutcome outcome;
    };
    const Row rows[] = {
        {500, SendOutcome::kBroken},
        {404, SendOutcome::kBroken},
        {kNotRunStatus, SendOutcome::kNotRun},
    };
    wait_for_endpoint_ = true;
    for (const auto& it : rows) {
      Call(std::vector<ScriptedAnswer>{
          {fmt::format("HTTP/1.1 {} No\r\n\r\n", it.status),
           ScriptedAnswer::End::kHold, std::string(1'000, 'a')}});
      CPPUNIT_ASSERT_EQUAL(NameOf(it.outcome), NameOf(result_.outcome));
      CPPUNIT_ASSERT(bytes_sent_ < kMaxSentUntilClosed);
    }
  }

  void CallThatDidNotRunGoesOnBeforeTheAnswerEnds() {
    const auto answer = Call(std::vector<ScriptedAnswer>{
        {fmt::format("HTTP/1.1 {} No\r\nContent-Length: 2\r\n\r\n",
                     kNotRunStatus),
         ScriptedAnswer::End::kHold},
    });
    CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kNotRun), NameOf(result_.outcome));
  }

  void NoticeOfAnyAnswerComesBeforeItsResult() {
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n",
        "HTTP/1.1 404 No\r\n", "HTTP/1.1 500 No\r\n",
        fmt::format("HTTP/1.1 {} No\r\n", kNotRunStatus)};
    attempt_.endpoint = EndpointId("e");
    attempt_.incarnation = Incarnation(3);
    for (const auto& it : heads) {
      notices_.clear();
      Call(fmt::format("{}{}: 1\r\nContent-Length: 9\r\n\r\ndata: a\n\n", it,
                       kLeavingHeader));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::size_t{1}, notices_.size());
      CPPUNIT_ASSERT(notices_[0].notice.leaving);
      CPPUNIT_ASSERT(notices_[0].endpoint == attempt_.endpoint);
      CPPUNIT_ASSERT(notices_[0].incarnation == attempt_.incarnation);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::size_t{1}, notices_before_result_);
    }
  }

  void NoticeInTheAnswerToAnotherCallIsIgnored() {
    Call(
        fmt::format("HTTP/1.1 200 OK\r\n{}: 1\r\n{}: 1\r\n"
                    "Content-Length: 1\r\n\r\na",
                    kLeavingHeader, kOtherCallHeader));
    CPPUNIT_ASSERT(notices_.empty());
  }

 private:
  std::string Call(const std::string& answer) {
    return Call(std::vector<ScriptedAnswer>{{answer}});
  }
  std::string Call(const std::string& first, const std::string& second) {
    return Call(std::vector<ScriptedAnswer>{{first}, {second}});
  }
  // Sends a call to an endpoint, which gives the first answer to the first
  // attempt. An attempt that fails is followed by another one until all answers
  // were given. Returns what the caller received when its connection ended. The
  // result of the last attempt is then in result_.
  std::string Call(std::vector<ScriptedAnswer> answers) {
    auto left = answers.size();
    ScriptedEndpoint endpoint(std::move(answers));
    attempt_.address = endpoint.address();
    attempt_.resume_after.clear();
    std::promise<void> ended;
    on_end_ = [this, &ended, &left](AttemptResult end) {
      result_ = std::move(end);
      notices_before_result_ = notices_.size();
      if (result_.outcome != SendOutcome::kAnswered && --left > 0) {
        attempt_.resume_after = result_.last_event;
        SendAttempt();
      } else {
        ended.set_value();
      }
    };
    RawConnection caller(server_->address());
    caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    ended.get_future().get();
    if (result_.outcome != SendOutcome::kAnswered) {
      session_->Abort();
    }
    while (wait_for_endpoint_ && endpoint.ended() == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    bytes_sent_ = endpoint.bytes_sent();
    return caller.ReadAll();
  }

  void Handle(HttpExchangePtr exchange) {
    session_ = std::make_shared<CallSession>(
        RequestId(1), std::move(exchange), dialect_, draining_,
        CallSessionHooks{
            [](const AttemptProgress&) {}, on_end_,
            [this](EndpointNotice it) { notices_.push_back(std::move(it)); }});
    SendAttempt();
  }

  void SendAttempt() {
    attempt_.attempt = AttemptId(attempt_.attempt.value() + 1);
    RelayRequest request;
    request.attempt = attempt_.attempt;
    request.address = attempt_.address;
    request.method = "GET";
    request.target = "/x";
    client_->Send(std::move(request), session_->HooksFor(attempt_));
  }

  static EndpointAttempt StreamAttempt() {
    EndpointAttempt attempt;
    attempt.stream = true;
    return attempt;
  }

  const Dialect dialect_ = TestDialect();
  const std::atomic<bool> draining_{false};
  EndpointAttempt attempt_ = StreamAttempt();
  std::function<void(AttemptResult)> on_end_;
  AttemptResult result_;
  std::vector<EndpointNotice> notices_;
  std::size_t notices_before_result_ = 0;
  // Whether Call returns only when the connection to the endpoint has ended.
  bool wait_for_endpoint_ = false;
  std::size_t bytes_sent_ = 0;  // by the endpoint of the last call
  CallSessionPtr session_;
  std::unique_ptr<RelayClient> client_;
  std::unique_ptr<HttpServer> server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallSessionTest);

}  // namespace baobabrun
