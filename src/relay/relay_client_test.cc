// Tests which responses count as complete, with an endpoint whose responses
// break off, are no HTTP, don't end, or go on behind their end. The sockets are
// on loopback with ports that the system assigns.
#include "relay/relay_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/memory_budget.h"
#include "endpoints/answer_forms_test.h"
#include "endpoints/scripted_endpoint_test.h"

namespace baobabrun {
namespace {

using End = ScriptedAnswer::End;

// An endpoint whose answer is cut off can't send more than this: the bound on a
// head and what fits into the buffers of both sockets.
constexpr std::size_t kMaxSentUntilClosed = std::size_t{16} << 20;
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif
constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n";
// Longer than what libcurl reads at once.
const std::string kUnreadPart(100'000, 'x');
// Bytes of a response's body that a test looks at.
constexpr std::size_t kMaxKept = 64 * 1024;

std::string Response(std::string_view rest) {
  return std::string(kHead) + std::string(rest);
}

}  // namespace

class RelayClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayClientTest);
  CPPUNIT_TEST(OnlyWholeResponsesAreComplete);
  CPPUNIT_TEST(ResponseThatEndsInsideItsHeadIsNotComplete);
  CPPUNIT_TEST(ResponseWithAnInvalidLengthIsNotComplete);
  CPPUNIT_TEST(HeadWithoutEndIsCutOff);
  CPPUNIT_TEST(BodyWithoutEndIsCutOffWhenItsTimeIsOver);
  CPPUNIT_TEST(EndpointMayBeSilentForASecondAtAnyTime);
  CPPUNIT_TEST(ResponseWithAMalformedHeadIsNotComplete);
  CPPUNIT_TEST(AnswerLongerThanItsLengthIsReported);
  CPPUNIT_TEST(AnswersOfSoundEndpointsAreNotReported);
  CPPUNIT_TEST(BytesOnAnIdleConnectionEndIt);
  CPPUNIT_TEST(EndlessBytesAfterAnAnswerEndTheConnection);
  CPPUNIT_TEST(AnswerOnAConnectionThatJustCarriedAnotherIsNotCut);
  CPPUNIT_TEST(SurplusAfterTheSecondAnswerOfAConnectionEndsIt);
  CPPUNIT_TEST(EndpointThatClosesAfterItsAnswerIsNotReported);
  CPPUNIT_TEST(SurplusIsReportedOnceThoughAnotherRequestWaits);
  CPPUNIT_TEST(ManyHeadsWithoutEndDoNotFillTheProcess);
  CPPUNIT_TEST(ResponsesThatRfc9112DoesNotAllowAreBroken);
  CPPUNIT_TEST(SoundResponsesAreComplete);
  CPPUNIT_TEST(NoBytesOfABodyComeBeforeItsHead);
  CPPUNIT_TEST(ResponseThatEndsBeforeItsRequestWasReadIsBroken);
  CPPUNIT_TEST(ResponseResetBeforeItsRequestWasReadIsBroken);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    auto client = RelayClient::Start([this](const Surplus& it) {
      found_ = it.found;
      ++surplus_;
    });
    CPPUNIT_ASSERT(client.ok());
    client_ = std::move(client.value());
  }
  void tearDown() override {
    client_.reset();
    surplus_ = 0;
  }

  void OnlyWholeResponsesAreComplete() {
    struct Row {
      const char* name;
      std::string rest;  // after the status line
      End end;
      RelayOutcome outcome;
      BodyFraming framing;
    };
    const auto complete = RelayOutcome::kComplete;
    const auto broken = RelayOutcome::kBroken;
    const Row rows[] = {
        {"length", "Content-Length: 2\r\n\r\nab", End::kClose, complete,
         BodyFraming::kLength},
        {"length, then reset", "Content-Length: 2\r\n\r\nab", End::kReset,
         complete, BodyFraming::kLength},
        {"shorter than its length", "Content-Length: 3\r\n\r\nab", End::kClose,
         broken, BodyFraming::kLength},
        {"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
         End::kClose, complete, BodyFraming::kChunked},
        {"no last chunk", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
         End::kClose, broken, BodyFraming::kChunked},
        {"inside a chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
         End::kClose, broken, BodyFraming::kChunked},
        {"no chunk size", "Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
         End::kClose, broken, BodyFraming::kChunked},
        {"connection", "\r\nab", End::kClose, complete,
         BodyFraming::kConnection},
        {"connection, reset", "\r\nab", End::kReset, broken,
         BodyFraming::kConnection},
    };
    for (const auto& it : rows) {
      const auto result = Call({Response(it.rest), it.end});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(it.outcome),
                                   NameOf(result.outcome));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(it.framing),
                                   NameOf(result.framing));
    }
  }

  void ResponseThatEndsInsideItsHeadIsNotComplete() {
    const std::string responses[] = {
        "",
        "HTT",
        "HTTP/1.1 200",
        Response(""),
        Response("Content-Length: 0"),
        Response("Content-Length: 0\r\n"),
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + Response("Content-Length: 0\r\n"),
    };
    for (const auto& it : responses) {
      const auto result = Call({it});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, NameOf(RelayOutcome::kBroken),
                                   NameOf(result.outcome));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 0, result.status);
    }
  }

  void ResponseWithAnInvalidLengthIsNotComplete() {
    const std::string rests[] = {
        "Content-Length: -1\r\n\r\nab",
        "Content-Length: x\r\n\r\nab",
        "Content-Length: 2x\r\n\r\nab",
        "Content-Length: 99999999999999999999\r\n\r\nab",
        "Content-Length: 2, 3\r\n\r\nab",
        "Content-Length: 3\r\nContent-Length: 2\r\n\r\nab",
        "Content-Length:\r\n\r\nab",
    };
    for (const auto& it : rests) {
      const auto result = Call({Response(it)});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, NameOf(RelayOutcome::kBroken),
                                   NameOf(result.outcome));
    }
  }

  void HeadWithoutEndIsCutOff() {
    struct Row {
      const char* name;
      std::string begin;
      std::string repeated;
    };
    const Row rows[] = {
        {"header lines", Response(""),
         "X-A: " + std::string(500, 'a') + "\r\n"},
        {"one header line", Response("X-A: "), std::string(1'000, 'a')},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim responses with headers", "",
         "HTTP/1.1 103 Early Hints\r\nX-A: " + std::string(500, 'a') +
             "\r\n\r\n"},
        {"no HTTP", "", std::string(1'000, 'a')},
        {"no HTTP, lines", "", std::string(100, 'a') + "\r\n"},
        {"trailers",
         Response("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"),
         "X-A: " + std::string(500, 'a') + "\r\n"},
    };
    for (const auto& it : rows) {
      const auto result = Call({it.begin, End::kHold, it.repeated});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, NameOf(RelayOutcome::kBroken),
                                   NameOf(result.outcome));
      CPPUNIT_ASSERT_MESSAGE(it.name, bytes_sent_ < kMaxSentUntilClosed);
    }
  }

  void BodyWithoutEndIsCutOffWhenItsTimeIsOver() {
    total_timeout_ = milliseconds(100);
    const auto result =
        Call({Response("\r\n"), End::kHold, std::string(1'000, 'a')});
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kSilent), NameOf(result.outcome));
  }

  // A caller that read the same head otherwise would find another body.
  void ResponseWithAMalformedHeadIsNotComplete() {
    const std::string length = "Content-Length: 2\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n2\r\nab\r\n0\r\n\r\n";
    const std::string rests[] = {
        length + chunked + chunks,
        chunked + length + chunks,
        chunked + chunked + chunks,
        length + "Transfer-Encoding : chunked\r\n" + chunks,
        "Content-Length : 2\r\n\r\nab",
        "Transfer-Encoding: gzip, chunked\r\n" + chunks,
        "Transfer-Encoding: chunked, gzip\r\n" + chunks,
        "Transfer-Encoding: xchunked\r\n" + chunks,
        "Transfer-Encoding:\r\n chunked\r\n" + chunks,
        length + "X-A: b\r\n c\r\n\r\nab",
        length + "X-A\r\n\r\nab",
        length + "X A: b\r\n\r\nab",
        length + ": b\r\n\r\nab",
        length + "X-A: b\x01\r\n\r\nab",
        length + "HTTP/1.1 200 OK\r\n\r\nab",
    };
    for (const auto& it : rests) {
      const auto result = Call({Response(it)});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, NameOf(RelayOutcome::kBroken),
                                   NameOf(result.outcome));
    }
  }

  void AnswerLongerThanItsLengthIsReported() {
    const std::string rests[] = {
        "Content-Length: 2\r\n\r\nabcd",
        "Content-Length: 2\r\n\r\nab" + Response("Content-Length: 0\r\n\r\n"),
    };
    int reported = 0;
    for (const auto& it : rests) {
      const auto result = Call({Response(it), End::kKeep});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, NameOf(RelayOutcome::kComplete),
                                   NameOf(result.outcome));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::uint64_t{2}, result.body_bytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, ++reported, surplus_.load());
      CPPUNIT_ASSERT_EQUAL(NameOf(SurplusFound::kAtEnd), NameOf(found_));
    }
  }

  void AnswersOfSoundEndpointsAreNotReported() {
    const std::string answers[] = {
        Response("Content-Length: 2\r\n\r\nab"),
        Response("Content-Length: 0\r\n\r\n"),
        Response("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"),
        Response("Connection: close\r\nContent-Length: 2\r\n\r\nab"),
        Response("\r\nab"),
        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" +
            Response("Content-Length: 2\r\n\r\nab"),
    };
    for (const auto& it : answers) {
      for (const auto end : {End::kKeep, End::kClose}) {
        const bool framed_by_end = it == Response("\r\nab");
        const auto result = Call({it, framed_by_end ? End::kClose : end});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it, NameOf(RelayOutcome::kComplete),
                                     NameOf(result.outcome));
      }
    }
    CPPUNIT_ASSERT_EQUAL(0, surplus_.load());
  }

  void BytesOnAnIdleConnectionEndIt() {
    ScriptedAnswer answer{Response("Content-Length: 2\r\n\r\nab"), End::kKeep};
    answer.unasked = "xyz";
    ScriptedEndpoint endpoint({answer});
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                         NameOf(CallTo(endpoint).outcome));
    endpoint.SendUnasked();
    AssertCut(endpoint);
    CPPUNIT_ASSERT_EQUAL(NameOf(SurplusFound::kIdle), NameOf(found_));
  }

  // The bytes without end wait in the connection's buffers until it is ended.
  void EndlessBytesAfterAnAnswerEndTheConnection() {
    ScriptedEndpoint endpoint({{Response("Content-Length: 2\r\n\r\nab"),
                                End::kHold, std::string(1'000, 'x')}});
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                         NameOf(CallTo(endpoint).outcome));
    AssertCut(endpoint);
    CPPUNIT_ASSERT(endpoint.bytes_sent() < kMaxSentUntilClosed);
  }

  void AnswerOnAConnectionThatJustCarriedAnotherIsNotCut() {
    ScriptedEndpoint endpoint({InTwoParts("ab", "cd", End::kKeep),
                               InTwoParts(kUnreadPart, "ef", End::kKeep)});
    const auto [first, second] = CallInTheSameMoment(endpoint);
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                         NameOf(first.outcome));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(second.detail, NameOf(RelayOutcome::kComplete),
                                 NameOf(second.outcome));
    CPPUNIT_ASSERT(second.reused);
    CPPUNIT_ASSERT_EQUAL(1, endpoint.accepted());
    CPPUNIT_ASSERT_EQUAL(0, surplus_.load());
  }

  void SurplusAfterTheSecondAnswerOfAConnectionEndsIt() {
    ScriptedEndpoint endpoint({InTwoParts("ab", "cd", End::kKeep),
                               InTwoParts("ef", "ghxyz", End::kKeep)});
    const auto [first, second] = CallInTheSameMoment(endpoint);
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                         NameOf(second.outcome));
    CPPUNIT_ASSERT(second.reused);
    AssertCut(endpoint);
    CPPUNIT_ASSERT_EQUAL(NameOf(SurplusFound::kIdle), NameOf(found_));
  }

  void EndpointThatClosesAfterItsAnswerIsNotReported() {
    ScriptedEndpoint endpoint({InTwoParts("ab", "cd", End::kClose),
                               InTwoParts("ef", "gh", End::kClose)});
    const auto [first, second] = CallInTheSameMoment(endpoint);
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                         NameOf(first.outcome));
    CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                         NameOf(second.outcome));
    CPPUNIT_ASSERT_EQUAL(2, endpoint.accepted());
    CPPUNIT_ASSERT_EQUAL(0, surplus_.load());
  }

  void SurplusIsReportedOnceThoughAnotherRequestWaits() {
    struct Row {
      ScriptedAnswer first;
      SurplusFound found;
    };
    const std::string head = "Content-Length: 4\r\n\r\n";
    const Row rows[] = {
        {{Response(head + "ab"), End::kKeep, "", false, "cdxyz"},
         SurplusFound::kOnReuse},
        // libcurl reads the surplus with the rest of the head.
        {{Response(""), End::kKeep, "", false, head + "abcdxyz"},
         SurplusFound::kAtEnd},
    };
    int reported = 0;
    for (const auto& it : rows) {
      ScriptedEndpoint endpoint({it.first, InTwoParts("ef", "gh", End::kKeep)});
      const auto [first, second] = CallInTheSameMoment(endpoint);
      CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                           NameOf(first.outcome));
      CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kComplete),
                           NameOf(second.outcome));
      CPPUNIT_ASSERT_EQUAL(std::string("abcdefgh"), received_);
      CPPUNIT_ASSERT_EQUAL(++reported, surplus_.load());
      CPPUNIT_ASSERT_EQUAL(NameOf(it.found), NameOf(found_));
      CPPUNIT_ASSERT_EQUAL(2, endpoint.accepted());
    }
  }

  void ManyHeadsWithoutEndDoNotFillTheProcess() {
    constexpr int kEndpoints = 100;
    // What one call may hold: a head within its bound, a line of libcurl's, and
    // the buffers of the transfer.
    constexpr std::size_t kMostOfACall = 256'000;
    std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
    for (int n = 0; n < kEndpoints; ++n) {
      const auto begin =
          n % 2 == 0 ? Response("X-A: " + std::string(30'000, 'a') + "\r\n")
                     : Response("X-A: ") + std::string(90'000, 'a');
      endpoints.push_back(std::make_unique<ScriptedEndpoint>(
          std::vector<ScriptedAnswer>{{begin, End::kHold}}));
    }
    const auto before = ReadProcessMemory().resident;
    total_timeout_ = seconds(2);
    std::vector<std::future<RelayResult>> results;
    results.reserve(endpoints.size());
    for (const auto& it : endpoints) {
      results.push_back(Send(*it));
    }
    std::this_thread::sleep_for(seconds(1));
    const auto during = ReadProcessMemory().resident;
    for (auto& it : results) {
      CPPUNIT_ASSERT(it.get().outcome != RelayOutcome::kComplete);
    }
    if (kMeasuresMemory) {
      CPPUNIT_ASSERT_LESS(before + kEndpoints * kMostOfACall, during);
    }
  }

  // Before it reads the request and inside its answer.
  void EndpointMayBeSilentForASecondAtAnyTime() {
    constexpr std::size_t kLongBody = 200'000;
    for (const std::size_t size : {std::size_t{0}, kLongBody}) {
      body_ = std::string(size, 'a');
      ScriptedAnswer answer{Response("Content-Length: 2\r\n\r\na")};
      answer.silence = milliseconds(1'900);
      answer.rest = "b";
      const auto result = Call(std::move(answer));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(size) + " " + result.detail,
                                   NameOf(RelayOutcome::kComplete),
                                   NameOf(result.outcome));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, result.body_bytes);
    }
  }

  void ResponsesThatRfc9112DoesNotAllowAreBroken() {
    for (const auto& it : InvalidAnswers()) {
      const auto text = it.TextWith("");
      const auto result = Call({text});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, NameOf(RelayOutcome::kBroken),
                                   NameOf(result.outcome));
    }
  }

  void SoundResponsesAreComplete() {
    for (const auto& it : SoundAnswers()) {
      const auto text = it.TextWith("");
      const auto end = it.ends_with_connection ? End::kClose : End::kHold;
      const auto result = Call({text, end});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, NameOf(RelayOutcome::kComplete),
                                   NameOf(result.outcome));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, it.payload, received_);
    }
  }

  void NoBytesOfABodyComeBeforeItsHead() {
    for (const auto& it : InvalidStatusLines()) {
      const auto text = it.TextWith("");
      Call({text});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::string(), received_);
    }
  }

  void ResponseThatEndsBeforeItsRequestWasReadIsBroken() {
    for (int n = 0; n < 10; ++n) {
      for (const auto& it : UnreadRequests(ScriptedAnswer::kAfterTheCall)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.detail, 200, it.status);
      }
    }
  }

  void ResponseResetBeforeItsRequestWasReadIsBroken() {
    for (const int delay : {0, 1, 50}) {
      for (int n = 0; n < 10; ++n) {
        for (const auto& it : UnreadRequests(milliseconds(delay))) {
          // Zero if the reset came before the head was read.
          CPPUNIT_ASSERT_MESSAGE(it.detail, it.status == 200 || it.status == 0);
        }
      }
    }
  }

 private:
  // Sends a long request on a connection of its own, and one on a connection
  // that carried another request, to an endpoint that answers without reading
  // the body. Returns the results, both broken and without a byte of a body.
  std::vector<RelayResult> UnreadRequests(milliseconds reset_after) {
    ScriptedAnswer unread{Response("\r\nab"), End::kHalfCloseThenReset};
    unread.reads = 0;
    unread.reset_after = reset_after;
    const ScriptedAnswer before{Response("Content-Length: 0\r\n\r\n"),
                                End::kKeep};
    std::vector<RelayResult> results;
    for (const bool reused : {false, true}) {
      ScriptedEndpoint endpoint({reused ? before : unread, unread});
      body_.clear();
      if (reused) {
        CallTo(endpoint);
      }
      body_ = std::string(3'000'000, 'a');
      results.push_back(CallTo(endpoint));
      CPPUNIT_ASSERT_EQUAL(NameOf(RelayOutcome::kBroken),
                           NameOf(results.back().outcome));
      CPPUNIT_ASSERT_EQUAL(std::string(), received_);
      CPPUNIT_ASSERT_EQUAL(1, endpoint.accepted());
    }
    return results;
  }
  // An answer whose `rest` is sent by SendUnasked. Its body ends with the first
  // two bytes of it.
  static ScriptedAnswer InTwoParts(std::string_view begin,
                                   std::string_view rest,
                                   End end) {
    ScriptedAnswer answer{
        Response("Content-Length: " + std::to_string(begin.size() + 2) +
                 "\r\n\r\n" + std::string(begin)),
        end};
    answer.unasked = rest;
    return answer;
  }
  // Sends two requests to an endpoint whose answers are InTwoParts. The second
  // one looks for a connection in the moment in which the first answer ends.
  // Its own answer is read no further than its begin until idle connections
  // have been looked at.
  std::pair<RelayResult, RelayResult> CallInTheSameMoment(
      ScriptedEndpoint& endpoint) {
    // Longer than between two looks at idle connections.
    constexpr milliseconds kLooked{1'200};
    received_.clear();
    auto first = Send(endpoint);
    while (endpoint.bytes_sent() == 0) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    // The client's thread stands still while the first answer ends and the
    // second request is added. Then libcurl runs the transfers in the order in
    // which they were added.
    std::future<RelayResult> second;
    std::atomic<bool> second_begun = false;
    ScriptedEndpoint other({{Response("Content-Length: 0\r\n\r\n")}});
    Send(other, nullptr, [&] {
      endpoint.SendUnasked();
      endpoint.WaitUntilAnswered(1);
      second = Send(endpoint, [&] {
        second_begun = true;
        return RelayHooks::BodyAction::kPause;
      });
    }).get();
    const AttemptId second_attempt(last_attempt_);
    auto end = first.get();
    while (!second_begun &&
           second.wait_for(milliseconds(1)) != std::future_status::ready) {
    }
    std::this_thread::sleep_for(kLooked);
    endpoint.SendUnasked();
    client_->Resume(second_attempt);
    return {std::move(end), second.get()};
  }
  // Sends a request to an endpoint that gives `answer` to it.
  RelayResult Call(ScriptedAnswer answer) {
    ScriptedEndpoint endpoint({std::move(answer)});
    return CallTo(endpoint);
  }
  RelayResult CallTo(ScriptedEndpoint& endpoint) {
    received_.clear();
    auto result = Send(endpoint).get();
    bytes_sent_ = endpoint.bytes_sent();
    return result;
  }
  // `on_begin`, if set, is called on the client's thread with the first bytes
  // of the body, and `on_head` with the response's head.
  std::future<RelayResult> Send(
      const ScriptedEndpoint& endpoint,
      std::function<RelayHooks::BodyAction()> on_begin = nullptr,
      std::function<void()> on_head = nullptr) {
    RelayRequest request;
    request.attempt = AttemptId(++last_attempt_);
    request.address = endpoint.address();
    request.method = "GET";
    request.target = "/x";
    if (!body_.empty()) {
      request.method = "POST";
      request.body = std::make_shared<const std::string>(body_);
    }
    request.total_timeout = total_timeout_;
    auto ended = std::make_shared<std::promise<RelayResult>>();
    RelayHooks hooks;
    hooks.on_head = [on_head = std::move(on_head)](int,
                                                   const std::vector<Header>&) {
      if (on_head) {
        on_head();
      }
      return true;
    };
    hooks.on_body =
        [this, on_begin = std::move(on_begin)](std::string_view bytes) mutable {
          received_ += bytes.substr(0, kMaxKept - received_.size());
          const auto begun = std::exchange(on_begin, nullptr);
          return begun ? begun() : RelayHooks::BodyAction::kContinue;
        };
    hooks.on_end = [ended](const RelayResult& end) { ended->set_value(end); };
    CPPUNIT_ASSERT(client_->Send(std::move(request), std::move(hooks)));
    return ended->get_future();
  }
  // The endpoint's connection ends and is reported. Idle connections are looked
  // at while the client has something to do.
  void AssertCut(const ScriptedEndpoint& endpoint) {
    for (int n = 0; n < 200 && (surplus_ == 0 || endpoint.ended() == 0); ++n) {
      Call({Response("Content-Length: 0\r\n\r\n")});
      std::this_thread::sleep_for(milliseconds(50));
    }
    CPPUNIT_ASSERT_EQUAL(1, surplus_.load());
    CPPUNIT_ASSERT_EQUAL(1, endpoint.ended());
  }

  std::optional<Duration> total_timeout_;
  std::string body_;      // of the requests
  std::string received_;  // body of the last call's response
  std::uint64_t last_attempt_ = 0;
  std::size_t bytes_sent_ = 0;   // by the endpoint of the last call
  std::atomic<int> surplus_{0};  // reports of it
  std::atomic<SurplusFound> found_{SurplusFound::kAtEnd};  // in the last one
  std::unique_ptr<RelayClient> client_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(RelayClientTest);

}  // namespace baobabrun
