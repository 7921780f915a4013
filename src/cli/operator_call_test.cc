// Tests operators' calls against a fake VM: retries, exit codes, and that an
// unknown outcome is never reported as a failure.
#include "cli/operator_call.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "cli/command.h"
#include "endpoints/answer_forms_test.h"
#include "endpoints/scripted_endpoint_test.h"

namespace baobabrun::cli {

class OperatorCallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorCallTest);
  CPPUNIT_TEST(RepliesDecideExitCodeAndAttempts);
  CPPUNIT_TEST(RetriesSendTheSameBody);
  CPPUNIT_TEST(OptionsAreParsedAndUnknownOnesRefused);
  CPPUNIT_TEST(AnswerThatEndsInsideItsHeadIsNotDefinite);
  CPPUNIT_TEST(AnswerWithoutEndIsNotDefinite);
  CPPUNIT_TEST(AnswerThatRfc9112DoesNotAllowIsNotDefinite);
  CPPUNIT_TEST(SoundAnswersAreDefinite);
  CPPUNIT_TEST(AnswerThatEndsBeforeTheCallWasReadIsNotDefinite);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RepliesDecideExitCodeAndAttempts() {
    const HttpReply refused{0, false, "", "connection refused"};
    const HttpReply lost{0, true, "", "timed out"};
    const HttpReply unknown{504, true, "{}", ""};
    const HttpReply good{200, true, "{}", ""};
    const HttpReply conflict{409, true, "{}", ""};
    const HttpReply bad{400, true, "{}", ""};
    struct Row {
      const char* name;
      const char* method;
      std::vector<HttpReply> replies;  // the last one is repeated
      int exit_code;
      std::size_t attempts;
    };
    const Row rows[] = {
        {"done", "POST", {good}, kExitOk, 1},
        {"conflict", "POST", {conflict}, kExitFailed, 1},
        {"bad body", "POST", {bad}, kExitBadInput, 1},
        {"answer lost once", "POST", {lost, good}, kExitOk, 2},
        {"unknown, then known", "POST", {unknown, conflict}, kExitFailed, 2},
        {"never reached", "POST", {refused}, kExitFailed, 4},
        {"answers lost", "POST", {lost}, kExitUnknown, 4},
        {"lost, then unreachable", "POST", {lost, refused}, kExitUnknown, 4},
        {"unknown to the end", "POST", {unknown}, kExitUnknown, 4},
        {"a GET changes nothing", "GET", {lost}, kExitFailed, 4},
    };
    for (const auto& it : rows) {
      std::size_t n = 0;
      const auto outcome = CallOperator(
          [&](const auto&, const auto&, const auto&) {
            return it.replies[std::min(n++, it.replies.size() - 1)];
          },
          it.method, "/x", "{}", [] {});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.exit_code, outcome.exit_code);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.attempts, n);
    }
  }

  void RetriesSendTheSameBody() {
    std::vector<std::string> bodies;
    CallOperator(
        [&](const auto&, const auto&, const std::string& body) {
          bodies.push_back(body);
          return HttpReply{0, true, "", "lost"};
        },
        "POST", "/x", R"({"operation_id": "a"})", [] {});
    for (const auto& it : bodies) {
      CPPUNIT_ASSERT_EQUAL(bodies[0], it);
    }
    CPPUNIT_ASSERT(NewOperationId() != NewOperationId());
  }

  void OptionsAreParsedAndUnknownOnesRefused() {
    std::string text;
    bool flag = false;
    CommandLine line("test", "DIR");
    line.Add("text", 't', "a text", "TEXT", &text);
    line.AddFlag("flag", "a flag", &flag);
    const char* good[] = {"test", "--text=x", "dir", "--flag", nullptr};
    CPPUNIT_ASSERT(!line.Parse(4, good));
    CPPUNIT_ASSERT_EQUAL(std::string("x"), text);
    CPPUNIT_ASSERT(flag);
    CPPUNIT_ASSERT_EQUAL(std::string("dir"), line.arguments().at(0));
    const char* bad[] = {"test", "--nothing", nullptr};
    CPPUNIT_ASSERT_EQUAL(int{kExitBadInput},
                         CommandLine("test", "").Parse(2, bad).value_or(0));
  }

  void AnswerThatEndsInsideItsHeadIsNotDefinite() {
    CPPUNIT_ASSERT_EQUAL(
        200, Send({"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"}).status);
    for (const char* it :
         {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2"}) {
      const auto reply = Send({it});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 0, reply.status);
      CPPUNIT_ASSERT_MESSAGE(it, reply.sent);
      CPPUNIT_ASSERT_MESSAGE(it, !reply.error.empty());
    }
  }

  void AnswerWithoutEndIsNotDefinite() {
    for (const char* it : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n"}) {
      const auto reply = Send({it, ScriptedAnswer::End::kHold,
                               "X-A: " + std::string(1'000, 'a') + "\r\n"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it, 0, reply.status);
      CPPUNIT_ASSERT_MESSAGE(it, reply.sent);
      CPPUNIT_ASSERT_MESSAGE(it, reply.body.size() <= kMaxAnswerBytes);
    }
  }

  void AnswerThatRfc9112DoesNotAllowIsNotDefinite() {
    for (const auto& it : InvalidAnswers()) {
      const auto text = it.TextWith("");
      const auto reply = Send({text});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, 0, reply.status);
      CPPUNIT_ASSERT_MESSAGE(text, reply.sent);
      CPPUNIT_ASSERT_MESSAGE(text, !reply.error.empty());
    }
  }

  void SoundAnswersAreDefinite() {
    for (const auto& it : SoundAnswers()) {
      const auto text = it.TextWith("");
      const auto reply = Send({text});
      CPPUNIT_ASSERT_MESSAGE(text, reply.status >= 200);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, it.payload, reply.body);
    }
  }

  void AnswerThatEndsBeforeTheCallWasReadIsNotDefinite() {
    ScriptedAnswer unread{"HTTP/1.1 200 OK\r\n\r\n{}"};
    unread.reads = 0;
    unread.end = ScriptedAnswer::End::kHalfCloseThenReset;
    unread.reset_after = milliseconds(50);
    const auto reply = Send(unread, std::string(3'000'000, 'a'));
    CPPUNIT_ASSERT_EQUAL(0, reply.status);
    CPPUNIT_ASSERT(reply.sent);
    CPPUNIT_ASSERT(!reply.error.empty());
  }

 private:
  // Sends a call to a VM that gives `answer`.
  static HttpReply Send(ScriptedAnswer answer, const std::string& body = "") {
    ScriptedEndpoint vm({std::move(answer)});
    return SendOverHttp(ToString(vm.address()), "key",
                        body.empty() ? "GET" : "POST", "/x", body);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCallTest);

}  // namespace baobabrun::cli
