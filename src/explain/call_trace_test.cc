// Tests that the cause of a call's end follows from its log lines.
#include "explain/call_trace.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace baobabrun {
namespace {

ParsedLogs Read(const std::string& lines) {
  std::istringstream in(lines);
  ParsedLogs logs;
  ReadLogLines(in, &logs);
  return logs;
}

constexpr char kSent[] =
    R"({"time":"2026-01-01T00:00:01.000Z","vm":"a","event":"CallSent",)"
    R"("call":"7","endpoint":"e1","sending":1,"text":"call 7 goes to e1"})"
    "\n";

std::string Failed(const std::string& outcome) {
  return R"({"time":"2026-01-01T00:00:02.000Z","vm":"a","event":"SendFailed",)"
         R"("call":"7","endpoint":"e1","took_ms":1000,"status":0,"outcome":")" +
         outcome + "\",\"text\":\"\"}\n";
}

std::string Refused(const std::string& reason,
                    const std::string& more = "\"not_run\":true") {
  return R"({"time":"2026-01-01T00:00:03.000Z","vm":"a","event":"CallRefused",)"
         R"("call":"7","retry_ms":250,"reason":")" +
         reason + "\"," + more + ",\"text\":\"why\"}\n";
}

}  // namespace

class CallTraceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallTraceTest);
  CPPUNIT_TEST(EventsAreOrderedByTime);
  CPPUNIT_TEST(SkippedAndDroppedLinesAreCounted);
  CPPUNIT_TEST(RefusalReasonDeterminesCause);
  CPPUNIT_TEST(FailedAttemptRefinesNoEndpoint);
  CPPUNIT_TEST(CausesWithoutRefusal);
  CPPUNIT_TEST(DescriptionStatesWhatTheCallerReceived);
  CPPUNIT_TEST(CallsAreCountedByCause);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EventsAreOrderedByTime() {
    const auto logs = Read(Refused("deadline") + Failed("broken") + kSent);
    const auto trace = TraceCall(logs, "7");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, trace.events.size());
    CPPUNIT_ASSERT_EQUAL(std::string("CallSent"), trace.events[0].event);
    CPPUNIT_ASSERT_EQUAL(std::string("CallRefused"), trace.events[2].event);
    CPPUNIT_ASSERT(TraceCall(logs, "8").events.empty());
  }

  void SkippedAndDroppedLinesAreCounted() {
    const auto logs =
        Read("   0.1 front-1 " + std::string(kSent) +
             "no json\n{\"broken\n\n{\"event\":\"X\",\"dropped\":12}\n[1]\n");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, logs.events.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, logs.skipped_lines);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, logs.dropped_lines);
  }

  void RefusalReasonDeterminesCause() {
    CPPUNIT_ASSERT(CauseOf(Refused("rate_exceeded")) == CallCause::kRateUsedUp);
    CPPUNIT_ASSERT(CauseOf(Refused("rate_exceeded",
                                   R"("not_run":true,"quota":"alone")")) ==
                   CallCause::kRateWithoutLeader);
    CPPUNIT_ASSERT(CauseOf(Refused("no_quorum")) == CallCause::kNoManifest);
    CPPUNIT_ASSERT(CauseOf(Refused("poison")) == CallCause::kPoison);
    CPPUNIT_ASSERT(CauseOf(Refused("unknown_route")) == CallCause::kNotAllowed);
  }

  void FailedAttemptRefinesNoEndpoint() {
    const auto refused = Refused("no_endpoint");
    CPPUNIT_ASSERT(CauseOf(refused) == CallCause::kNoEndpoint);
    CPPUNIT_ASSERT(CauseOf(Failed("not-sent") + refused) ==
                   CallCause::kUnreachable);
    CPPUNIT_ASSERT(CauseOf(Failed("not-run") + refused) ==
                   CallCause::kEndpointFull);
    // A failed attempt doesn't replace the cause "rate used up".
    CPPUNIT_ASSERT(CauseOf(Failed("not-run") + Refused("rate_exceeded")) ==
                   CallCause::kRateUsedUp);
  }

  void CausesWithoutRefusal() {
    const std::string ended =
        R"({"time":"2026-01-01T00:00:04.000Z","vm":"a","event":"SendEnded",)"
        R"("call":"7","endpoint":"e2","took_ms":5,"status":200})"
        "\n";
    CPPUNIT_ASSERT(CauseOf(kSent) == CallCause::kUnfinished);
    CPPUNIT_ASSERT(CauseOf(kSent + Failed("broken") + ended) ==
                   CallCause::kAnswered);
    CPPUNIT_ASSERT(CauseOf(kSent + Failed("failure")) ==
                   CallCause::kEndpointError);
    CPPUNIT_ASSERT(CauseOf(std::string(kSent) +
                           R"({"time":"2","event":"CallerGone","call":"7"})") ==
                   CallCause::kCallerDisconnected);
  }

  void DescriptionStatesWhatTheCallerReceived() {
    const auto trace = TraceCall(
        Read(kSent + Failed("broken") +
             Refused("endpoint_failed", R"("not_run":false,"cut":true)")),
        "7");
    CPPUNIT_ASSERT(trace.cause == CallCause::kAnswerBrokenOff);
    CPPUNIT_ASSERT(trace.may_have_run);
    for (const auto* it : {"broken-off at vm a", "it may have run", "part of",
                           "endpoint e1", "after 1000 ms", "in 250 ms"}) {
      CPPUNIT_ASSERT_MESSAGE(trace.description,
                             trace.description.find(it) != std::string::npos);
    }
  }

  void CallsAreCountedByCause() {
    const auto counts = CountCauses(Read(kSent + Refused("poison") +
                                         R"({"event":"CallSent","call":"8"})"
                                         "\n" +
                                         R"({"event":"VmStarted"})"
                                         "\n"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, counts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, counts.at(CallCause::kPoison));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, counts.at(CallCause::kUnfinished));
  }

 private:
  static CallCause CauseOf(const std::string& lines) {
    return TraceCall(Read(lines), "7").cause;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallTraceTest);

}  // namespace baobabrun
