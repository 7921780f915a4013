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
// Says in these tests that the endpoint didn't run the call.
constexpr int kNotRunStatus = 503;
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

std::string Failure(int status) {
  return fmt::format(
      "HTTP/1.1 {} X\r\nConnection: close\r\nContent-Length: 5\r\n\r\nerror",
      status);
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
  dialect.write_refusal = [](HttpExchange& exchange, const Refusal&) {
    exchange.Respond(503, {}, "error");
  };
  dialect.read_answer = [](const EndpointAttempt&, int status,
                           const std::vector<Header>&) {
    AnswerHead head;
    head.not_run = status == kNotRunStatus;
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
  CPPUNIT_TEST(AnswerThatDoesNotContinueTheStreamCutsIt);
  CPPUNIT_TEST(StreamThatBrokeOffIsCutNotRefused);
  CPPUNIT_TEST(AnswerThatEndsInsideItsHeadReachesNoCaller);
  CPPUNIT_TEST(AnswerFramedByItsConnectionIsWholeOnlyIfThatEndsInOrder);
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

  // Each row is the answer of the attempt after a stream that broke off.
  void AnswerThatDoesNotContinueTheStreamCutsIt() {
    struct Row {
      const char* name;
      std::string answer;
    };
    const std::string type = "Content-Type: text/event-stream\r\n";
    const std::string typed = "HTTP/1.1 500 X\r\n" + type;
    const Row rows[] = {
        {"failure", "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror"},
        {"failure in chunks",
         "HTTP/1.1 502 X\r\nTransfer-Encoding: chunked\r\n\r\n"
         "5\r\nerror\r\n0\r\n\r\n"},
        {"failure up to the connection's end", "HTTP/1.1 500 X\r\n\r\nerror"},
        {"failure of events", typed + "Content-Length: 22\r\n\r\n"
                                      "id: 2\ndata: error\n\n\n\n\n"},
        {"client error",
         "HTTP/1.1 404 X\r\nContent-Length: 7\r\n\r\nerror\n\n"},
        {"redirection",
         "HTTP/1.1 302 X\r\nLocation: /error\r\n"
         "Content-Length: 0\r\n\r\n"},
        {"not modified", "HTTP/1.1 304 X\r\n\r\n"},
        {"refusal", "HTTP/1.1 503 X\r\nContent-Length: 5\r\n\r\nerror"},
        {"refusal without end",
         "HTTP/1.1 503 X\r\nContent-Length: 9\r\n\r\nerror"},
        {"document",
         "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
         "Content-Length: 9\r\n\r\n{\"error\"}"},
        {"no type", "HTTP/1.1 200 X\r\nContent-Length: 7\r\n\r\nerror\n\n"},
        {"no type, an event",
         "HTTP/1.1 200 X\r\nContent-Length: 20\r\n\r\nid: 2\ndata: error\n\n"},
        {"no type, a comment",
         "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n: error\n\n"},
        {"no type, no body", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"},
        {"no content", "HTTP/1.1 204 X\r\n\r\n"},
        {"no content, with type", "HTTP/1.1 204 X\r\n" + type + "\r\n"},
        {"accepted", "HTTP/1.1 202 X\r\n" + type + "Content-Length: 0\r\n\r\n"},
        {"partial content", "HTTP/1.1 206 X\r\n" + type +
                                "Content-Length: 20\r\n\r\n"
                                "id: 2\ndata: error\n\n"},
        {"encoded", "HTTP/1.1 200 X\r\n" + type +
                        "Content-Encoding: gzip\r\nContent-Length: 9\r\n\r\n"
                        ": error\n\n"},
        {"interim answer only", "HTTP/1.1 100 X\r\n\r\n"},
        {"interim answer, then failure",
         "HTTP/1.1 103 X\r\nLink: error\r\n\r\n"
         "HTTP/1.1 500 X\r\nContent-Length: 5\r\n\r\nerror"},
        {"other protocol", "HTTP/1.1 101 X\r\nUpgrade: error\r\n\r\nerror\n\n"},
        {"no HTTP", "error\n\n"},
        {"nothing", ""},
        {"broken head", "HTTP/1.1 200 X\r\n" + type},
        {"invalid length",
         "HTTP/1.1 200 X\r\n" + type + "Content-Length: x\r\n\r\nerror\n\n"},
        {"invalid chunk", "HTTP/1.1 200 X\r\n" + type +
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "HTTP/1.1 500 X\r\n\r\nerror\n\n"},
        {"text", Chunked("error\n\n")},
        {"event without id", Chunked("data: error\n\n")},
        {"event of another stream", Chunked("error: x\ndata: error\n\n")},
    };
    for (const std::string version : {"1.1", "1.0"}) {
      version_ = version;
      for (const auto& it : rows) {
        const auto answer =
            Call({{BrokenChunks("id: 1\ndata: a\n\nid: 2\nda")}, {it.answer}});
        const auto name = fmt::format("{}, HTTP/{}", it.name, version);
        CPPUNIT_ASSERT_MESSAGE(name, result_.outcome != SendOutcome::kAnswered);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1},
                                     Count(answer, "data: a\n\n"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{0},
                                     Count(answer, "error"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1},
                                     Count(answer, "HTTP/"));
        CPPUNIT_ASSERT_MESSAGE(name, !answer.ends_with(kEndMarker));
        if (version == "1.0") {
          CPPUNIT_ASSERT_MESSAGE(name, !ended_in_good_order_);
        }
      }
      // An attempt that does continue the stream may follow.
      const auto whole = Call({{BrokenChunks("id: 1\ndata: a\n\n")},
                               {Failure(500)},
                               {Failure(kNotRunStatus)},
                               {Chunked("id: 2\ndata: b\n\n")}});
      CPPUNIT_ASSERT(result_.outcome == SendOutcome::kAnswered);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(whole, "error"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(whole, "data: b\n\n"));
      CPPUNIT_ASSERT(version == "1.0" ? ended_in_good_order_
                                      : whole.ends_with(kEndMarker));
    }
  }

  // The gateway refuses the call or delivers a failure that it kept.
  void StreamThatBrokeOffIsCutNotRefused() {
    for (const std::string version : {"1.1", "1.0"}) {
      version_ = version;
      for (const auto last : {Last::kRefuse, Last::kDeliverFailure}) {
        last_ = last;
        const auto answer =
            Call({{Failure(500)}, {BrokenChunks("id: 1\ndata: a\n\n")}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(answer, "data: a\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Count(answer, "error"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Count(answer, "HTTP/"));
        CPPUNIT_ASSERT(!answer.ends_with(kEndMarker));
        CPPUNIT_ASSERT(version == "1.1" || !ended_in_good_order_);
      }
    }
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

  void AnswerThatEndsInsideItsHeadReachesNoCaller() {
    const std::string heads[] = {
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    };
    for (const auto& head : heads) {
      for (const bool stream : {true, false}) {
        attempt_.stream = stream;
        for (std::size_t n = 0; n < head.size(); ++n) {
          const auto begin = head.substr(0, n);
          const auto end = n % 2 == 0 ? ScriptedAnswer::End::kClose
                                      : ScriptedAnswer::End::kReset;
          const auto answer = Call({{begin, end}});
          CPPUNIT_ASSERT_EQUAL_MESSAGE(begin, NameOf(SendOutcome::kBroken),
                                       NameOf(result_.outcome));
          CPPUNIT_ASSERT_EQUAL_MESSAGE(begin, std::size_t{0},
                                       Count(answer, " 200 "));
        }
      }
    }
  }

  void AnswerFramedByItsConnectionIsWholeOnlyIfThatEndsInOrder() {
    struct Row {
      bool stream;
      std::string body;
      ScriptedAnswer::End end;
      bool whole;
    };
    const auto close = ScriptedAnswer::End::kClose;
    const auto reset = ScriptedAnswer::End::kReset;
    const Row rows[] = {
        {true, "id: 1\ndata: a\n\n", close, true},
        {true, "id: 1\ndata: a\n\n", reset, false},
        {true, "id: 1\ndata: a\n\nid: 2\nda", close, false},
        {true, "id: 1\ndata: a\n", close, false},
        {true, "", close, false},
        {false, "text", close, true},
        {false, "text", reset, false},
    };
    for (const auto& it : rows) {
      attempt_.stream = it.stream;
      const auto answer = Call({{Unframed(it.body), it.end}});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, it.whole,
                                   result_.outcome == SendOutcome::kAnswered);
      if (it.whole) {
        CPPUNIT_ASSERT(answer.find(it.body) != std::string::npos);
      } else {
        CPPUNIT_ASSERT_MESSAGE(answer, !answer.ends_with(kEndMarker));
        CPPUNIT_ASSERT_MESSAGE(
            answer, answer.find("Content-Length") == std::string::npos);
      }
    }
  }

 private:
  // How the gateway ends a call for which no attempt succeeded.
  enum class Last { kAbort, kRefuse, kDeliverFailure };

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
        EndSession();
      }
      ended.set_value();
    };
    RawConnection caller(server_->address());
    caller.Send(fmt::format(
        "GET /x HTTP/{}\r\nHost: h\r\nConnection: close\r\n\r\n", version_));
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
    const auto rest = caller.ReadAll();
    ended_in_good_order_ = caller.ended_in_good_order();
    return begin + rest;
  }

  void EndSession() {
    switch (last_) {
      case Last::kAbort:
        session_->Abort();
        break;
      case Last::kRefuse:
        session_->Refuse({});
        break;
      case Last::kDeliverFailure:
        session_->DeliverFailure();
        break;
    }
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
  std::string resumed_after_;         // by the last attempt
  std::string version_ = "1.1";       // of the caller's HTTP
  bool ended_in_good_order_ = false;  // the caller's connection
  Last last_ = Last::kAbort;
  bool slow_ = false;  // the caller begins to read late
  std::optional<Duration> cancel_after_;
  std::atomic<std::uint64_t> first_attempt_{0};
  CallSessionPtr session_;
  std::unique_ptr<RelayClient> client_;
  std::unique_ptr<HttpServer> server_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(BrokenStreamTest);

}  // namespace baobabrun
