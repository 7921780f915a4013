// Tests after the incident "a stream that broke off reached its caller as
// complete": what a caller gets when attempts at scripted endpoints break off
// and are continued. The sockets are on loopback with ports that the system
// assigns.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"
#include "endpoints/scripted_endpoint_test.h"
#include "gateway/call_session.h"

namespace baobabrun {
namespace {

constexpr std::string_view kEndMarker = "\r\n0\r\n\r\n";
constexpr std::string_view kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

// Only the end of the connection marks the end of this stream.
std::string Unframed(std::string_view events) {
  return fmt::format("{}\r\n{}", kStreamHead, events);
}

std::string Chunked(std::string_view events) {
  return fmt::format(
      "{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
      kStreamHead, events.size(), events);
}

// Breaks off, since the end of the chunks is missing.
std::string BrokenChunks(std::string_view events) {
  return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n",
                     kStreamHead, events.size(), events);
}

std::size_t Count(std::string_view text, std::string_view part) {
  std::size_t n = 0;
  for (auto at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + part.size())) {
    ++n;
  }
  return n;
}

// Returns a body without its chunks' sizes.
std::string Unchunked(std::string_view answer) {
  std::string body;
  auto at = answer.find("\r\n\r\n") + 4;
  while (at < answer.size()) {
    const auto size =
        std::stoul(std::string(answer.substr(at, 16)), nullptr, 16);
    at = answer.find("\r\n", at) + 2;
    body += answer.substr(at, size);
    at += size + 2;
  }
  return body;
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

class BrokenStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BrokenStreamTest);
  CPPUNIT_TEST(CommentsThatEndWithTheirConnectionAreNotAWholeStream);
  CPPUNIT_TEST(StreamIsNotJoinedToADocumentThatBrokeOff);
  CPPUNIT_TEST(ResumedStreamWhoseIdsAreNoNumbersLosesNoEvent);
  CPPUNIT_TEST(ResumedStreamWithoutIdsRepeatsNoEvent);
  CPPUNIT_TEST(ResumedStreamThatBeginsAgainRepeatsNoEvent);
  CPPUNIT_TEST(ResumedStreamThatIsShorterIsNotDeliveredAsComplete);
  CPPUNIT_TEST(SlowCallerGetsEveryByteOfAResumedStream);
  CPPUNIT_TEST(BrokenStreamOfADrainingVmIsNotDeliveredAsComplete);
  CPPUNIT_TEST(StreamCancelledInTheMiddleGetsNoLateByte);
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

  void CommentsThatEndWithTheirConnectionAreNotAWholeStream() {
    for (const std::string body : {": ping\n\n", ": ping\n\n: ping\n\n"}) {
      const auto answer = Call({{Unframed(body)}});
      CPPUNIT_ASSERT_EQUAL(NameOf(SendOutcome::kBroken),
                           NameOf(result_.outcome));
      CPPUNIT_ASSERT(!answer.ends_with(kEndMarker));
    }
  }

  void StreamIsNotJoinedToADocumentThatBrokeOff() {
    const auto document = fmt::format(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        "Content-Length: 3000000\r\n\r\n{}",
        std::string(2'000'000, 'j'));
    const auto answer =
        Call({{document}, {Chunked("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")}});
    CPPUNIT_ASSERT(answer.find("jjj") != std::string::npos);
    CPPUNIT_ASSERT(answer.find("data: a") == std::string::npos);
    CPPUNIT_ASSERT(!answer.ends_with(kEndMarker));
  }

  void ResumedStreamWhoseIdsAreNoNumbersLosesNoEvent() {
    const auto answer = Call({{BrokenChunks("id: x-1\ndata: a\n\n")},
                              {Chunked("id: x-2\ndata: b\n\n")}});
    CPPUNIT_ASSERT_EQUAL(std::string("x-1"), resumed_after_);
    CPPUNIT_ASSERT(!answer.ends_with(kEndMarker) ||
                   answer.find("data: b\n\n") != std::string::npos);
  }

  void ResumedStreamWithoutIdsRepeatsNoEvent() {
    const auto answer = Call(
        {{BrokenChunks("data: a\n\n")}, {Chunked("data: a\n\ndata: b\n\n")}});
    CPPUNIT_ASSERT(!answer.ends_with(kEndMarker) ||
                   Count(answer, "data: a\n\n") == 1);
  }

  void ResumedStreamThatBeginsAgainRepeatsNoEvent() {
    const auto answer =
        Call({{BrokenChunks("id: 1\ndata: a\n\n")},
              {Chunked("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(answer, "data: a\n\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(answer, "data: b\n\n"));
    CPPUNIT_ASSERT(answer.ends_with(kEndMarker));
  }

  void ResumedStreamThatIsShorterIsNotDeliveredAsComplete() {
    const auto answer =
        Call({{BrokenChunks("id: 1\ndata: a\n\nid: 2\ndata: b\n\n")},
              {Unframed("id: 1\ndata: a\n\n")}});
    CPPUNIT_ASSERT(!answer.ends_with(kEndMarker));
  }

  void SlowCallerGetsEveryByteOfAResumedStream() {
    slow_ = true;
    std::string parts[2];
    constexpr int kEvents = 6'000;
    for (int n = 1; n <= kEvents; ++n) {
      parts[n > kEvents / 2 ? 1 : 0] +=
          fmt::format("id: {}\ndata: {}\n\n", n, std::string(4'000, 'd'));
    }
    for (const bool framed : {true, false}) {
      const auto answer =
          Call({{BrokenChunks(parts[0] + "id: 9\ndata")},
                {framed ? Chunked(parts[1]) : Unframed(parts[1])}});
      CPPUNIT_ASSERT(answer.ends_with(kEndMarker));
      CPPUNIT_ASSERT(Unchunked(answer) == parts[0] + parts[1]);
    }
  }

  void BrokenStreamOfADrainingVmIsNotDeliveredAsComplete() {
    draining_ = true;
    const auto cut = Call({{Unframed("id: 1\ndata: a\n\nid: 2\nda")}});
    CPPUNIT_ASSERT(cut.find("Transfer-Encoding: chunked") != std::string::npos);
    CPPUNIT_ASSERT(!cut.ends_with(kEndMarker));
    CPPUNIT_ASSERT(
        Call({{Unframed("id: 1\ndata: a\n\n")}}).ends_with(kEndMarker));
  }

  void StreamCancelledInTheMiddleGetsNoLateByte() {
    constexpr int kRounds = 30;
    for (int round = 0; round < kRounds; ++round) {
      cancel_after_ = milliseconds(round % 6);
      const auto answer =
          Call({{Unframed("id: 1\ndata: a\n\n"), ScriptedAnswer::End::kHold,
                 "id: 2\ndata: old\n\nid: 2\nda"},
                {Chunked("id: 2\ndata: new\n\n")}});
      CPPUNIT_ASSERT(answer.ends_with(kEndMarker));
      const auto old = answer.rfind("data: old");
      const auto fresh = answer.find("data: new");
      CPPUNIT_ASSERT(old == std::string::npos || fresh == std::string::npos ||
                     old < fresh);
      // The new run's event has the id of the last old one, if any came.
      CPPUNIT_ASSERT_EQUAL(old == std::string::npos,
                           fresh != std::string::npos);
    }
  }

 private:
  // Plays the gateway: each attempt that fails is followed by the next one.
  // Returns what the caller received.
  std::string Call(std::vector<ScriptedAnswer> answers) {
    auto left = answers.size();
    ScriptedEndpoint endpoint(std::move(answers));
    attempt_.address = endpoint.address();
    attempt_.resume_after.clear();
    resumed_after_.clear();
    std::promise<void> ended;
    on_end_ = [this, &ended, &left](AttemptResult end) {
      result_ = std::move(end);
      if (result_.outcome != SendOutcome::kAnswered && --left > 0) {
        attempt_.resume_after = result_.last_event;
        resumed_after_ = result_.last_event;
        SendAttempt();
        return;
      }
      if (result_.outcome != SendOutcome::kAnswered) {
        session_->Abort();
      }
      ended.set_value();
    };
    RawConnection caller(server_->address());
    caller.Send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::string begin;
    if (cancel_after_) {
      begin = caller.ReadTo("data: a\n\n");
      std::this_thread::sleep_for(*cancel_after_);
      client_->Cancel(AttemptId(first_attempt_));
    }
    if (slow_) {
      std::this_thread::sleep_for(milliseconds(300));
      auto answer = caller.ReadAll();
      ended.get_future().get();
      return answer;
    }
    ended.get_future().get();
    return begin + caller.ReadAll();
  }

  void Handle(const HttpExchangePtr& exchange) {
    session_ = std::make_shared<CallSession>(
        RequestId(1), exchange, dialect_, draining_,
        CallSessionHooks{[](const AttemptProgress&) {}, on_end_});
    exchange->SetHooks([] {},
                       [this, session = std::weak_ptr(session_)] {
                         if (const auto it = session.lock()) {
                           client_->Resume(it->attempt());
                         }
                       });
    first_attempt_ = attempt_.attempt.value() + 1;
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
  std::atomic<bool> draining_{false};
  EndpointAttempt attempt_ = StreamAttempt();
  std::function<void(AttemptResult)> on_end_;
  AttemptResult result_;
  std::string resumed_after_;  // by the last attempt
  bool slow_ = false;          // the caller begins to read late
  std::optional<Duration> cancel_after_;
  std::atomic<std::uint64_t> first_attempt_{0};
  CallSessionPtr session_;
  std::unique_ptr<RelayClient> client_;
  std::unique_ptr<HttpServer> server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamTest);

}  // namespace baobabrun
