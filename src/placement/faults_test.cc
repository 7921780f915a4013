// Tests what a caller receives and how often its request runs for each fault of
// an answer, and the handling of requests that crash endpoints.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "placement/dispatcher_fixture.h"

namespace baobabrun {
namespace {

enum class Fault {
  kCutBeforeFirstByte,
  kCutMidEvent,
  kCutBeforeMarker,
  kCutAfterMarker,
  kIdleTimeoutReached,
  kWrongAttemptId,
  kDuplicateEnd,
  kRestart,
};

enum class Answer { kComplete, kUnknown, kTruncated };

struct Row {
  const char* name;
  Fault fault;
  bool repeatable;
  bool streamed;
  Answer answer;
  int runs;           // how often an endpoint started the request
  bool continuation;  // the last attempt continues the delivered text
};

constexpr Row kRows[] = {
    {"cut before first byte, repeatable, streamed", Fault::kCutBeforeFirstByte,
     true, true, Answer::kComplete, 2, false},
    {"cut before first byte, repeatable, not streamed",
     Fault::kCutBeforeFirstByte, true, false, Answer::kComplete, 2, false},
    {"cut before first byte, at most once, streamed",
     Fault::kCutBeforeFirstByte, false, true, Answer::kUnknown, 1, false},
    {"cut before first byte, at most once, not streamed",
     Fault::kCutBeforeFirstByte, false, false, Answer::kUnknown, 1, false},
    {"cut mid-event, repeatable, streamed", Fault::kCutMidEvent, true, true,
     Answer::kComplete, 1, true},
    {"cut mid-event, repeatable, not streamed", Fault::kCutMidEvent, true,
     false, Answer::kComplete, 2, false},
    {"cut mid-event, at most once, streamed", Fault::kCutMidEvent, false, true,
     Answer::kTruncated, 1, false},
    {"cut mid-event, at most once, not streamed", Fault::kCutMidEvent, false,
     false, Answer::kUnknown, 1, false},
    {"cut before marker, repeatable, streamed", Fault::kCutBeforeMarker, true,
     true, Answer::kComplete, 1, true},
    {"cut before marker, repeatable, not streamed", Fault::kCutBeforeMarker,
     true, false, Answer::kComplete, 2, false},
    {"cut before marker, at most once, streamed", Fault::kCutBeforeMarker,
     false, true, Answer::kTruncated, 1, false},
    {"cut before marker, at most once, not streamed", Fault::kCutBeforeMarker,
     false, false, Answer::kUnknown, 1, false},
    {"cut after marker, repeatable, streamed", Fault::kCutAfterMarker, true,
     true, Answer::kComplete, 1, false},
    {"cut after marker, repeatable, not streamed", Fault::kCutAfterMarker, true,
     false, Answer::kComplete, 1, false},
    {"cut after marker, at most once, streamed", Fault::kCutAfterMarker, false,
     true, Answer::kComplete, 1, false},
    {"cut after marker, at most once, not streamed", Fault::kCutAfterMarker,
     false, false, Answer::kComplete, 1, false},
    {"idle timeout, repeatable, streamed", Fault::kIdleTimeoutReached, true,
     true, Answer::kComplete, 1, true},
    {"idle timeout, repeatable, not streamed", Fault::kIdleTimeoutReached, true,
     false, Answer::kComplete, 2, false},
    {"idle timeout, at most once, streamed", Fault::kIdleTimeoutReached, false,
     true, Answer::kTruncated, 1, false},
    {"idle timeout, at most once, not streamed", Fault::kIdleTimeoutReached,
     false, false, Answer::kUnknown, 1, false},
    {"wrong attempt id, repeatable, streamed", Fault::kWrongAttemptId, true,
     true, Answer::kComplete, 2, false},
    {"wrong attempt id, repeatable, not streamed", Fault::kWrongAttemptId, true,
     false, Answer::kComplete, 2, false},
    {"wrong attempt id, at most once, streamed", Fault::kWrongAttemptId, false,
     true, Answer::kUnknown, 1, false},
    {"wrong attempt id, at most once, not streamed", Fault::kWrongAttemptId,
     false, false, Answer::kUnknown, 1, false},
    {"duplicate end, repeatable, streamed", Fault::kDuplicateEnd, true, true,
     Answer::kComplete, 1, false},
    {"duplicate end, repeatable, not streamed", Fault::kDuplicateEnd, true,
     false, Answer::kComplete, 1, false},
    {"duplicate end, at most once, streamed", Fault::kDuplicateEnd, false, true,
     Answer::kComplete, 1, false},
    {"duplicate end, at most once, not streamed", Fault::kDuplicateEnd, false,
     false, Answer::kComplete, 1, false},
    {"restart, repeatable, streamed", Fault::kRestart, true, true,
     Answer::kComplete, 2, true},
    {"restart, repeatable, not streamed", Fault::kRestart, true, false,
     Answer::kComplete, 2, false},
    {"restart, at most once, streamed", Fault::kRestart, false, true,
     Answer::kTruncated, 1, false},
    {"restart, at most once, not streamed", Fault::kRestart, false, false,
     Answer::kUnknown, 1, false},
};

constexpr char kDelivered[] = "so far";

void Inject(DispatcherFixture& it, const Row& row) {
  const auto attempt = it.dispatches.at(0).attempt;
  const std::string text = row.streamed ? kDelivered : "";
  switch (row.fault) {
    case Fault::kCutBeforeFirstByte:
      return it.EndAttempt(attempt, AttemptOutcome::kUnusableAnswer);
    case Fault::kCutMidEvent:
    case Fault::kCutBeforeMarker:
      return it.EndAttempt(attempt, AttemptOutcome::kUnusableAnswer, text);
    case Fault::kCutAfterMarker:
      return it.EndAttempt(attempt, AttemptOutcome::kComplete, text);
    case Fault::kIdleTimeoutReached:
      return it.EndAttempt(attempt, AttemptOutcome::kIdleTimeout, text);
    case Fault::kWrongAttemptId:
      return it.EndAttempt(attempt, AttemptOutcome::kWrongAttempt);
    case Fault::kDuplicateEnd:
      it.EndAttempt(attempt, AttemptOutcome::kComplete, text);
      return it.EndAttempt(attempt, AttemptOutcome::kUnusableAnswer, text);
    case Fault::kRestart:
      it.Announce(it.EngineAnnouncement(it.dispatches[0].endpoint.value(), 2));
      return it.EndAttempt(it.cancels.at(0), AttemptOutcome::kCancelled, text);
  }
}

Answer AnswerOf(const RequestResult& result) {
  if (!result.refusal) {
    return Answer::kComplete;
  }
  return result.answer_begun ? Answer::kTruncated : Answer::kUnknown;
}

void Check(const Row& row) {
  DispatcherFixture it;
  it.Announce(it.EngineAnnouncement("e1"));
  it.Announce(it.EngineAnnouncement("e2"));
  auto call = it.MakeRequest(1, row.repeatable);
  call->caller.call.stream = row.streamed;
  it.Submit(call);
  Inject(it, row);
  // The next attempt, if there is one, completes.
  if (it.results.empty()) {
    it.EndAttempt(it.dispatches.back().attempt, AttemptOutcome::kComplete,
                  "whole");
  }
  int runs = 0;
  for (const auto& dispatch : it.dispatches) {
    runs += dispatch.resume_of == AttemptId() ? 1 : 0;
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{1}, it.results.size());
  CPPUNIT_ASSERT_MESSAGE(row.name, row.answer == AnswerOf(it.results[0]));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.runs, runs);
  CPPUNIT_ASSERT_MESSAGE(
      row.name, !it.results[0].refusal || !it.results[0].refusal->not_run);
  const auto& last = it.dispatches.back();
  const bool continues =
      last.delivered != nullptr && *last.delivered == kDelivered &&
      last.delivered_events == std::string(kDelivered).size();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.continuation, continues);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{0},
                               it.dispatcher->open_requests());
}

// Two VMs that use the same four engines.
struct TwoVms {
  TwoVms() {
    for (const auto* name : {"e1", "e2", "e3", "e4"}) {
      Announce(first.EngineAnnouncement(name));
    }
  }

  void Announce(const Announcement& it) {
    first.Announce(it);
    second.Announce(it);
  }

  // Delivers the messages of the first VM to the second.
  void DeliverMessages() {
    for (const auto& it : std::exchange(first.messages, {})) {
      second.dispatcher->Receive(VmId("first"), it, second.clock.Now());
    }
    second.Collect();
  }

  // The engine of the last attempt crashes and restarts.
  void CrashLastEndpoint(DispatcherFixture& it) {
    const auto last = it.dispatches.back();
    it.EndAttempt(last.attempt, AttemptOutcome::kUnusableAnswer);
    Announce(it.EngineAnnouncement(last.endpoint.value(),
                                   last.incarnation.value() + 1));
  }

  DispatcherFixture first;
  DispatcherFixture second;
};

}  // namespace

class FaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsTest);
  CPPUNIT_TEST(AnswerFaults);
  CPPUNIT_TEST(UnsentAttemptIsRetried);
  CPPUNIT_TEST(FailedResumeContinuesAtOtherEndpoint);
  CPPUNIT_TEST(PoisonRequestCrashesAtMostTwoEndpoints);
  CPPUNIT_TEST(PoisonRequestIsReportedToOtherVms);
  CPPUNIT_TEST(HeartbeatRemovesSuspectedCrash);
  CPPUNIT_TEST(SuspectsRunOnSeparateEndpoints);
  CPPUNIT_TEST(DuplicatesOfSuspectRunOneAtATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnswerFaults() {
    for (const auto& it : kRows) {
      Check(it);
    }
  }

  void UnsentAttemptIsRetried() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    it.Submit(it.MakeRequest(1, /*repeatable=*/false));
    for (std::size_t n = 0; n < 4; ++n) {
      it.EndAttempt(it.dispatches.at(n).attempt, AttemptOutcome::kNotSent);
    }
    CPPUNIT_ASSERT(it.results.at(0).refusal->not_run);
  }

  // The endpoint restarted unnoticed and doesn't know the attempt to resume.
  void FailedResumeContinuesAtOtherEndpoint() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    it.Announce(it.EngineAnnouncement("e2"));
    it.Submit(it.MakeRequest(1));
    it.EndAttempt(it.dispatches[0].attempt, AttemptOutcome::kUnusableAnswer,
                  kDelivered);
    CPPUNIT_ASSERT_EQUAL(it.dispatches[0].attempt,
                         it.dispatches.at(1).resume_of);
    it.EndAttempt(it.dispatches[1].attempt, AttemptOutcome::kFailed, "", 404);
    CPPUNIT_ASSERT(it.dispatches[0].endpoint != it.dispatches.at(2).endpoint);
    CPPUNIT_ASSERT_EQUAL(std::string(kDelivered), *it.dispatches[2].delivered);
    CPPUNIT_ASSERT_EQUAL(AttemptId(), it.dispatches[2].resume_of);
  }

  void PoisonRequestCrashesAtMostTwoEndpoints() {
    TwoVms vms;
    vms.first.Submit(vms.first.MakeRequest(1));
    vms.CrashLastEndpoint(vms.first);
    vms.CrashLastEndpoint(vms.first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, vms.first.dispatches.size());
    CPPUNIT_ASSERT(vms.first.results.at(0).refusal->reason ==
                   RefusalReason::kPoison);
    CPPUNIT_ASSERT(!vms.first.results[0].refusal->not_run);
    // Another request of the same organisation runs.
    vms.first.Submit(vms.first.MakeRequest(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, vms.first.dispatches.size());
  }

  void PoisonRequestIsReportedToOtherVms() {
    TwoVms vms;
    vms.first.Submit(vms.first.MakeRequest(1));
    vms.CrashLastEndpoint(vms.first);
    vms.first.dispatcher->Abandon(RequestId(1), vms.first.clock.Now());
    vms.first.messages.clear();  // these messages are lost
    vms.first.AdvanceClock(milliseconds(100));
    vms.DeliverMessages();
    vms.second.Submit(vms.second.MakeRequest(1));
    vms.CrashLastEndpoint(vms.second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vms.second.dispatches.size());
    CPPUNIT_ASSERT(vms.second.results.at(0).refusal->reason ==
                   RefusalReason::kPoison);
    // When the request is submitted again, it is sent to no endpoint.
    vms.second.Submit(vms.second.MakeRequest(1));
    CPPUNIT_ASSERT(vms.second.results.at(1).refusal->not_run);
  }

  // Two connections broke, but neither engine crashed. The request waits until
  // a heartbeat shows this and then runs.
  void HeartbeatRemovesSuspectedCrash() {
    TwoVms vms;
    auto& it = vms.first;
    it.Submit(it.MakeRequest(1));
    it.EndAttempt(it.dispatches[0].attempt, AttemptOutcome::kUnusableAnswer);
    it.EndAttempt(it.dispatches.at(1).attempt, AttemptOutcome::kUnusableAnswer);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
    it.AdvanceClock(milliseconds(400));
    // This heartbeat is too early: it may have been sent before a crash.
    it.Announce(it.EngineAnnouncement(it.dispatches[0].endpoint.value()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
    it.AdvanceClock(milliseconds(200));
    it.Announce(it.EngineAnnouncement(it.dispatches[0].endpoint.value()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.dispatches.size());
  }

  // An engine crashed while it ran four requests. Any of them may be the cause,
  // so no two of them run at one engine until one of the two has a first byte.
  void SuspectsRunOnSeparateEndpoints() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    for (std::uint64_t n = 1; n <= 4; ++n) {
      it.Submit(it.MakeRequest(n));
    }
    it.Announce(it.EngineAnnouncement("e2"));
    it.Announce(it.EngineAnnouncement("e3"));
    for (std::size_t n = 0; n < 4; ++n) {
      it.EndAttempt(it.dispatches[n].attempt, AttemptOutcome::kUnusableAnswer);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, it.dispatches.size());
    CPPUNIT_ASSERT(it.dispatches[4].endpoint != it.dispatches[5].endpoint);
    AttemptReport begun;
    begun.kind = AttemptReport::Kind::kFirstByte;
    begun.attempt = it.dispatches[4].attempt;
    it.Report(begun);
    it.AdvanceClock(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, it.dispatches.size());
    CPPUNIT_ASSERT_EQUAL(it.dispatches[4].endpoint, it.dispatches[6].endpoint);
  }

  void DuplicatesOfSuspectRunOneAtATime() {
    TwoVms vms;
    auto& it = vms.first;
    it.Submit(it.MakeRequest(1));
    it.EndAttempt(it.dispatches[0].attempt, AttemptOutcome::kUnusableAnswer);
    auto again = it.MakeRequest(1);
    again->caller.id = RequestId(2);
    it.Submit(again);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
    vms.CrashLastEndpoint(it);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsTest);

}  // namespace baobabrun
