// Tests which answers of services count as complete, with an endpoint whose
// answers break off or don't end. The sockets are on loopback with ports that
// the system assigns.
#include "endpoints/endpoint_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <future>
#include <memory>
#include <string>
#include <utility>

#include "endpoints/answer_forms_test.h"
#include "endpoints/forward_body.h"
#include "endpoints/scripted_endpoint_test.h"

namespace baobabrun {
namespace {

using End = ScriptedAnswer::End;

constexpr AttemptId kAttempt(7);
constexpr std::size_t kMaxWholeBytes = 1'000;
constexpr std::size_t kNoBody = 0;
constexpr std::size_t kLongBody = 3'000'000;

// Returns an answer that carries the attempt's id.
std::string Answer(std::string_view rest) {
  return "HTTP/1.1 200 OK\r\nBaobabrun-Attempt: " + AttemptText(kAttempt) +
         "\r\n" + std::string(rest);
}

std::string OwnField() {
  return "Baobabrun-Attempt: " + AttemptText(kAttempt) + "\r\n";
}

std::shared_ptr<Request> ServiceRequest(std::size_t body = kNoBody) {
  auto request = std::make_shared<Request>();
  request->caller.kind = RequestKind::kService;
  request->caller.method = body == kNoBody ? "GET" : "POST";
  request->caller.path = "/x";
  request->caller.body =
      std::make_shared<const std::string>(std::string(body, 'u'));
  return request;
}

std::shared_ptr<Request> StreamRequest() {
  auto request = ServiceRequest();
  request->caller.kind = RequestKind::kChat;
  request->caller.method = "POST";
  request->caller.body = std::make_shared<const std::string>("{}");
  request->caller.call.stream = true;
  return request;
}

}  // namespace

class EndpointClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointClientTest);
  CPPUNIT_TEST(OnlyWholeAnswersAreComplete);
  CPPUNIT_TEST(AnswerThatEndsInsideItsHeadIsNotComplete);
  CPPUNIT_TEST(HeadWithoutEndIsCutOff);
  CPPUNIT_TEST(AnswerForwardedInPiecesIsNotReportedAsKept);
  CPPUNIT_TEST(StreamThatGoesOnWithoutEventsIsCutOff);
  CPPUNIT_TEST(EarlierRefusalThatComesAgainIsNotBelieved);
  CPPUNIT_TEST(AnswerThatDoesNotContinueTheStreamIsNotForwarded);
  CPPUNIT_TEST(AnswersThatRfc9112DoesNotAllowAreUnusable);
  CPPUNIT_TEST(SoundAnswersAreForwarded);
  CPPUNIT_TEST(AnswerThatEndsBeforeItsRequestWasReadIsUnusable);
  CPPUNIT_TEST(EarlyRefusalOfALongUploadIsForwarded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OnlyWholeAnswersAreComplete() {
    struct Row {
      const char* name;
      std::string rest;  // after the status line and the attempt's id
      End end;
      AttemptOutcome outcome;
    };
    const auto complete = AttemptOutcome::kComplete;
    const auto unusable = AttemptOutcome::kUnusableAnswer;
    const Row rows[] = {
        {"length", "Content-Length: 2\r\n\r\nab", End::kClose, complete},
        {"short", "Content-Length: 3\r\n\r\nab", End::kClose, unusable},
        {"no last chunk", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
         End::kClose, unusable},
        {"connection", "\r\nab", End::kClose, complete},
        {"connection, reset", "\r\nab", End::kReset, unusable},
    };
    for (const auto& it : rows) {
      const auto report = Call({Answer(it.rest), it.end});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(it.outcome),
                                   NameOf(report.outcome));
    }
  }

  void AnswerThatEndsInsideItsHeadIsNotComplete() {
    const std::string answers[] = {
        Answer(""),
        Answer("Content-Length: 0\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + Answer("Content-Length: 0\r\n"),
    };
    for (const auto& it : answers) {
      const auto report = Call({it});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, NameOf(AttemptOutcome::kUnusableAnswer),
                                   NameOf(report.outcome));
      CPPUNIT_ASSERT_MESSAGE(it, !report.answer_begun);
    }
  }

  void HeadWithoutEndIsCutOff() {
    const auto report = Call({Answer(""), End::kHold, "Etag: a\r\n"});
    CPPUNIT_ASSERT_EQUAL(NameOf(AttemptOutcome::kUnusableAnswer),
                         NameOf(report.outcome));
  }

  void AnswerForwardedInPiecesIsNotReportedAsKept() {
    for (const auto size : {kMaxWholeBytes, kMaxWholeBytes + 1}) {
      auto request = ServiceRequest();
      request->repeatable = false;
      request->organisation = OrganisationId("o");
      request->caller.idempotency_key = "k";
      const auto report =
          Call({Answer("\r\n" + std::string(size, 'a'))}, std::move(request));
      CPPUNIT_ASSERT_EQUAL(NameOf(AttemptOutcome::kComplete),
                           NameOf(report.outcome));
      CPPUNIT_ASSERT(report.answer != nullptr);
      CPPUNIT_ASSERT_EQUAL(size <= kMaxWholeBytes, report.answer->body_kept);
      CPPUNIT_ASSERT_EQUAL(report.answer->body_kept ? size : 0,
                           report.answer->body.size());
    }
  }

  void StreamThatGoesOnWithoutEventsIsCutOff() {
    struct Row {
      const char* name;
      std::string begin;
      std::string repeated;
      AttemptOutcome outcome;
    };
    const std::string event = "id: 1\ndata: {}\n\n";
    const std::string end = "data: [DONE]\n\n";
    const Row rows[] = {
        {"comments", event, ": a\n\n", AttemptOutcome::kUnusableAnswer},
        {"the same event", event, event, AttemptOutcome::kUnusableAnswer},
        {"no line end", event, std::string(1'000, 'a'),
         AttemptOutcome::kUnusableAnswer},
        {"after the end marker", event + end, event, AttemptOutcome::kComplete},
    };
    const std::string head = Answer("Content-Type: text/event-stream\r\n\r\n");
    for (const auto& it : rows) {
      const auto report =
          Call({head + it.begin, End::kHold, it.repeated}, StreamRequest());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(it.outcome),
                                   NameOf(report.outcome));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::uint64_t{1},
                                   report.delivered_events);
    }
  }

  void EarlierRefusalThatComesAgainIsNotBelieved() {
    constexpr std::string_view kRest = "Content-Length: 0\r\n\r\n";
    const auto refusal =
        fmt::format("HTTP/1.1 503 X\r\nBaobabrun-Attempt: {}\r\n{}",
                    AttemptText(kAttempt), kRest);
    const auto without_id = fmt::format("HTTP/1.1 503 X\r\n{}", kRest);
    for (const auto& late : {refusal, without_id}) {
      ScriptedEndpoint endpoint({{refusal, End::kKeep}, {late, End::kKeep}});
      Client client;
      CPPUNIT_ASSERT_EQUAL(
          NameOf(AttemptOutcome::kRefused),
          NameOf(client.Call(endpoint, kAttempt, ServiceRequest()).outcome));
      CPPUNIT_ASSERT_EQUAL(
          NameOf(AttemptOutcome::kWrongAttempt),
          NameOf(
              client.Call(endpoint, AttemptId(8), ServiceRequest()).outcome));
      CPPUNIT_ASSERT_EQUAL(1, endpoint.accepted());
    }
  }

  void AnswerThatDoesNotContinueTheStreamIsNotForwarded() {
    const auto id =
        fmt::format("Baobabrun-Attempt: {}\r\n", AttemptText(kAttempt));
    const std::string json =
        "Content-Type: application/json\r\nContent-Length: 12\r\n\r\n"
        "{\"error\":{}}";
    const std::string events = "Content-Type: text/event-stream\r\n";
    struct Row {
      const char* name;
      std::string answer;
    };
    const Row rows[] = {
        {"document", "HTTP/1.1 200 X\r\n" + id + json},
        {"redirection", "HTTP/1.1 302 X\r\n" + id + json},
        {"client error", "HTTP/1.1 400 X\r\n" + id + json},
        {"model not loaded", "HTTP/1.1 404 X\r\n" + id + json},
        {"refusal", "HTTP/1.1 503 X\r\n" + id + json},
        {"failure", "HTTP/1.1 500 X\r\n" + id + json},
        {"failure of events", "HTTP/1.1 500 X\r\n" + id + events +
                                  "\r\nid: 2\ndata: error\n\ndata: [DONE]\n\n"},
        {"no type", "HTTP/1.1 200 X\r\n" + id +
                        "Content-Length: 12\r\n\r\n{\"error\":{}}"},
        {"no content", "HTTP/1.1 204 X\r\n" + id + "\r\n"},
        {"empty stream",
         "HTTP/1.1 200 X\r\n" + id + events + "Content-Length: 0\r\n\r\n"},
        {"text", "HTTP/1.1 200 X\r\n" + id + events + "\r\nerror\n\n"},
        {"event without id",
         "HTTP/1.1 200 X\r\n" + id + events + "\r\nevent: error\ndata: {}\n\n"},
        {"no HTTP", "error\n\n"},
    };
    for (const auto& it : rows) {
      ScriptedEndpoint endpoint({{it.answer}});
      Client client;
      client.delivered_events = 1;
      const auto report = client.Call(endpoint, kAttempt, StreamRequest());
      CPPUNIT_ASSERT_MESSAGE(it.name,
                             report.outcome != AttemptOutcome::kComplete);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(), client.written);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 0, client.completed);
    }
  }

  void AnswersThatRfc9112DoesNotAllowAreUnusable() {
    for (const auto& it : InvalidAnswers()) {
      for (const auto body : {kNoBody, kLongBody}) {
        const auto text = it.TextWith(OwnField());
        ScriptedEndpoint endpoint({{text}});
        Client client;
        const auto report =
            client.Call(endpoint, kAttempt, ServiceRequest(body));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text,
                                     NameOf(AttemptOutcome::kUnusableAnswer),
                                     NameOf(report.outcome));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, client.completed);
      }
    }
  }

  void SoundAnswersAreForwarded() {
    for (const auto& it : SoundAnswers()) {
      for (const auto body : {kNoBody, kLongBody}) {
        const auto text = it.TextWith(OwnField());
        ScriptedEndpoint endpoint(
            {{text, it.ends_with_connection ? End::kClose : End::kHold}});
        Client client;
        const auto report =
            client.Call(endpoint, kAttempt, ServiceRequest(body));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, NameOf(AttemptOutcome::kComplete),
                                     NameOf(report.outcome));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, it.payload, client.written);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 1, client.completed);
      }
    }
  }

  // A short answer, and one that is forwarded as it arrives. The call before it
  // leaves a connection that is used once more.
  void AnswerThatEndsBeforeItsRequestWasReadIsUnusable() {
    for (const auto size : {std::size_t{2}, kMaxWholeBytes + 1}) {
      for (const bool reused : {false, true}) {
        for (const int delay : {0, 50}) {
          ScriptedAnswer unread{Answer("\r\n" + std::string(size, 'a'))};
          unread.reads = 0;
          unread.end = End::kHalfCloseThenReset;
          unread.reset_after = milliseconds(delay);
          ScriptedAnswer before{Answer("Content-Length: 0\r\n\r\n"),
                                End::kKeep};
          ScriptedEndpoint endpoint({reused ? before : unread, unread});
          Client client;
          if (reused) {
            client.Call(endpoint, kAttempt, ServiceRequest());
            client.completed = 0;
          }
          const auto report =
              client.Call(endpoint, kAttempt, ServiceRequest(kLongBody));
          CPPUNIT_ASSERT_EQUAL(NameOf(AttemptOutcome::kUnusableAnswer),
                               NameOf(report.outcome));
          CPPUNIT_ASSERT_EQUAL(0, client.completed);
          CPPUNIT_ASSERT_EQUAL(1, endpoint.accepted());
        }
      }
    }
  }

  void EarlyRefusalOfALongUploadIsForwarded() {
    for (const std::string rest : {"Content-Length: 2\r\n\r\nno", "\r\nno"}) {
      ScriptedAnswer refusal{"HTTP/1.1 413 X\r\nConnection: close\r\n" +
                             OwnField() + rest};
      refusal.reads = 0;
      refusal.end = End::kHalfCloseThenReset;
      refusal.reset_after = milliseconds(50);
      ScriptedEndpoint endpoint({refusal});
      Client client;
      const auto report =
          client.Call(endpoint, kAttempt, ServiceRequest(kLongBody));
      CPPUNIT_ASSERT_EQUAL(NameOf(AttemptOutcome::kComplete),
                           NameOf(report.outcome));
      CPPUNIT_ASSERT_EQUAL(std::string("no"), client.written);
    }
  }

 private:
  struct Client {
    Client() {
      EndpointClientOptions options;
      options.max_whole_bytes = kMaxWholeBytes;
      auto started =
          EndpointClient::Start(options, [this](AttemptReport report) {
            if (report.kind == AttemptReport::Kind::kEnded) {
              ended.set_value(std::move(report));
            }
          });
      CPPUNIT_ASSERT(started.ok());
      client = std::move(started.value());
    }
    AttemptReport Call(const ScriptedEndpoint& endpoint,
                       AttemptId attempt,
                       RequestPtr request) {
      ended = std::promise<AttemptReport>();
      Dispatch dispatch;
      dispatch.attempt = attempt;
      dispatch.request = std::move(request);
      dispatch.address = endpoint.address();
      dispatch.delivered_events = delivered_events;
      AnswerSink sink;
      sink.begin = [this](int, const std::vector<Header>&) { ++begun; };
      sink.write = [this](std::string_view bytes) {
        written += bytes;
        return true;
      };
      sink.end = [this] { ++completed; };
      CPPUNIT_ASSERT(client->Send(std::move(dispatch), std::move(sink)));
      return ended.get_future().get();
    }

    std::uint64_t delivered_events = 0;  // by earlier attempts
    // What the caller got.
    int begun = 0;
    std::string written;
    int completed = 0;
    std::promise<AttemptReport> ended;
    std::unique_ptr<EndpointClient> client;
  };

  // Sends a request to an endpoint that gives `answer` to it.
  static AttemptReport Call(ScriptedAnswer answer,
                            RequestPtr request = ServiceRequest()) {
    ScriptedEndpoint endpoint({std::move(answer)});
    Client client;
    return client.Call(endpoint, kAttempt, std::move(request));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndpointClientTest);

}  // namespace baobabrun
