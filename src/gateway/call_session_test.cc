// Tests how answers of endpoints reach callers, with scripted endpoints that
// break off their answers. The sockets are on loopback with ports that the
// system assigns.
#include "gateway/call_session.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"
#include "relay/scripted_endpoint_test.h"

namespace baobabrun {
namespace {

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
  dialect.read_answer = [](const EndpointAttempt&, int,
                           const std::vector<Header>&) {
    AnswerHead head;
    head.owner = AnswerHead::Owner::kThisCall;
    head.signed_by_endpoint = true;
    return head;
  };
  return dialect;
}

}  // namespace

class CallSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallSessionTest);
  CPPUNIT_TEST(StreamThatEndsInsideAnEventIsNotDeliveredAsComplete);
  CPPUNIT_TEST(CompleteStreamIsDeliveredInAnyFraming);
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
        const auto answer = Call({Framed(framing, event + it)});
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
        const auto answer = Call({Framed(framing, it)});
        CPPUNIT_ASSERT_MESSAGE(it, answer.ends_with(kEndMarker));
        CPPUNIT_ASSERT_MESSAGE(it, result_.outcome == SendOutcome::kAnswered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::string("2"), result_.last_event);
      }
    }
  }

 private:
  // Sends a call to an endpoint that gives `answer`, and returns what the
  // caller received when its connection ended. The result of the attempt is
  // then in result_.
  std::string Call(ScriptedAnswer answer) {
    ScriptedEndpoint endpoint({std::move(answer)});
    attempt_.address = endpoint.address();
    std::promise<AttemptResult> ended;
    on_end_ = [&ended](AttemptResult end) { ended.set_value(std::move(end)); };
    RawConnection caller(server_->address());
    caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    result_ = ended.get_future().get();
    if (result_.outcome != SendOutcome::kAnswered) {
      session_->Abort();
    }
    return caller.ReadAll();
  }

  void Handle(HttpExchangePtr exchange) {
    session_ = std::make_shared<CallSession>(
        RequestId(1), std::move(exchange), dialect_, draining_,
        CallSessionHooks{[](RequestId, AttemptId) {}, on_end_});
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
  CallSessionPtr session_;
  std::unique_ptr<RelayClient> client_;
  std::unique_ptr<HttpServer> server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallSessionTest);

}  // namespace baobabrun
