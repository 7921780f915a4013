// What a caller gets, and how often its request runs, for each fault of a
// stream; and requests that crash the endpoints that run them.
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
  kSilence,
  kWrongAttemptId,
  kDoubledEnd,
  kRestart,
};

enum class Answer { kWhole, kUnknown, kBrokenOff };

struct Row {
  const char* name;
  Fault fault;
  bool repeatable;
  bool streamed;
  Answer answer;
  int runs;           // how often an endpoint began the request
  bool continuation;  // the last try continues what the caller has
};

constexpr Row kRows[] = {
    {"cut first, repeatable, streamed", Fault::kCutBeforeFirstByte, true, true,
     Answer::kWhole, 2, false},
    {"cut first, repeatable, whole", Fault::kCutBeforeFirstByte, true, false,
     Answer::kWhole, 2, false},
    {"cut first, once, streamed", Fault::kCutBeforeFirstByte, false, true,
     Answer::kUnknown, 1, false},
    {"cut first, once, whole", Fault::kCutBeforeFirstByte, false, false,
     Answer::kUnknown, 1, false},
    {"mid-event, repeatable, streamed", Fault::kCutMidEvent, true, true,
     Answer::kWhole, 1, true},
    {"mid-event, repeatable, whole", Fault::kCutMidEvent, true, false,
     Answer::kWhole, 2, false},
    {"mid-event, once, streamed", Fault::kCutMidEvent, false, true,
     Answer::kBrokenOff, 1, false},
    {"mid-event, once, whole", Fault::kCutMidEvent, false, false,
     Answer::kUnknown, 1, false},
    {"no marker, repeatable, streamed", Fault::kCutBeforeMarker, true, true,
     Answer::kWhole, 1, true},
    {"no marker, repeatable, whole", Fault::kCutBeforeMarker, true, false,
     Answer::kWhole, 2, false},
    {"no marker, once, streamed", Fault::kCutBeforeMarker, false, true,
     Answer::kBrokenOff, 1, false},
    {"no marker, once, whole", Fault::kCutBeforeMarker, false, false,
     Answer::kUnknown, 1, false},
    {"after marker, repeatable, streamed", Fault::kCutAfterMarker, true, true,
     Answer::kWhole, 1, false},
    {"after marker, repeatable, whole", Fault::kCutAfterMarker, true, false,
     Answer::kWhole, 1, false},
    {"after marker, once, streamed", Fault::kCutAfterMarker, false, true,
     Answer::kWhole, 1, false},
    {"after marker, once, whole", Fault::kCutAfterMarker, false, false,
     Answer::kWhole, 1, false},
    {"silence, repeatable, streamed", Fault::kSilence, true, true,
     Answer::kWhole, 1, true},
    {"silence, repeatable, whole", Fault::kSilence, true, false, Answer::kWhole,
     2, false},
    {"silence, once, streamed", Fault::kSilence, false, true,
     Answer::kBrokenOff, 1, false},
    {"silence, once, whole", Fault::kSilence, false, false, Answer::kUnknown, 1,
     false},
    {"wrong id, repeatable, streamed", Fault::kWrongAttemptId, true, true,
     Answer::kWhole, 2, false},
    {"wrong id, repeatable, whole", Fault::kWrongAttemptId, true, false,
     Answer::kWhole, 2, false},
    {"wrong id, once, streamed", Fault::kWrongAttemptId, false, true,
     Answer::kUnknown, 1, false},
    {"wrong id, once, whole", Fault::kWrongAttemptId, false, false,
     Answer::kUnknown, 1, false},
    {"doubled end, repeatable, streamed", Fault::kDoubledEnd, true, true,
     Answer::kWhole, 1, false},
    {"doubled end, repeatable, whole", Fault::kDoubledEnd, true, false,
     Answer::kWhole, 1, false},
    {"doubled end, once, streamed", Fault::kDoubledEnd, false, true,
     Answer::kWhole, 1, false},
    {"doubled end, once, whole", Fault::kDoubledEnd, false, false,
     Answer::kWhole, 1, false},
    {"restart, repeatable, streamed", Fault::kRestart, true, true,
     Answer::kWhole, 2, true},
    {"restart, repeatable, whole", Fault::kRestart, true, false, Answer::kWhole,
     2, false},
    {"restart, once, streamed", Fault::kRestart, false, true,
     Answer::kBrokenOff, 1, false},
    {"restart, once, whole", Fault::kRestart, false, false, Answer::kUnknown, 1,
     false},
};

constexpr char kDelivered[] = "so far";

void Inject(DispatcherFixture& it, const Row& row) {
  const auto attempt = it.dispatches.at(0).attempt;
  const std::string text = row.streamed ? kDelivered : "";
  switch (row.fault) {
    case Fault::kCutBeforeFirstByte:
      return it.End(attempt, AttemptOutcome::kBroken);
    case Fault::kCutMidEvent:
    case Fault::kCutBeforeMarker:
      return it.End(attempt, AttemptOutcome::kBroken, text);
    case Fault::kCutAfterMarker:
      return it.End(attempt, AttemptOutcome::kComplete, text);
    case Fault::kSilence:
      return it.End(attempt, AttemptOutcome::kSilent, text);
    case Fault::kWrongAttemptId:
      return it.End(attempt, AttemptOutcome::kCrossed);
    case Fault::kDoubledEnd:
      it.End(attempt, AttemptOutcome::kComplete, text);
      return it.End(attempt, AttemptOutcome::kBroken, text);
    case Fault::kRestart:
      it.Announce(it.Engine(it.dispatches[0].endpoint.value(), 2));
      return it.End(it.cancels.at(0), AttemptOutcome::kCancelled, text);
  }
}

Answer AnswerOf(const RequestOver& over) {
  if (!over.refusal) {
    return Answer::kWhole;
  }
  return over.answer_begun ? Answer::kBrokenOff : Answer::kUnknown;
}

void Check(const Row& row) {
  DispatcherFixture it;
  it.Announce(it.Engine("e1"));
  it.Announce(it.Engine("e2"));
  auto call = it.Call(1, row.repeatable);
  call->caller.call.stream = row.streamed;
  it.Submit(call);
  Inject(it, row);
  // The next try, if there is one, ends well.
  if (it.overs.empty()) {
    it.End(it.dispatches.back().attempt, AttemptOutcome::kComplete, "whole");
  }
  int runs = 0;
  for (const auto& dispatch : it.dispatches) {
    runs += dispatch.resume_of == AttemptId() ? 1 : 0;
  }
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{1}, it.overs.size());
  CPPUNIT_ASSERT_MESSAGE(row.name, row.answer == AnswerOf(it.overs[0]));
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.runs, runs);
  CPPUNIT_ASSERT_MESSAGE(row.name,
                         !it.overs[0].refusal || !it.overs[0].refusal->not_run);
  const auto& last = it.dispatches.back();
  const bool continues =
      last.delivered != nullptr && *last.delivered == kDelivered &&
      last.delivered_events == std::string(kDelivered).size();
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.continuation, continues);
  CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t{0},
                               it.dispatcher->open_requests());
}

// Two VMs in front of the same four engines.
struct TwoVms {
  TwoVms() {
    for (const auto* name : {"e1", "e2", "e3", "e4"}) {
      Announce(first.Engine(name));
    }
  }

  void Announce(const Announcement& it) {
    first.Announce(it);
    second.Announce(it);
  }

  // Carries what the first VM told to the second.
  void Relay() {
    for (const auto& it : std::exchange(first.messages, {})) {
      second.dispatcher->Receive(VmId("first"), it, second.clock.Now());
    }
    second.Collect();
  }

  // The engine of the last try dies of it and comes back.
  void CrashLast(DispatcherFixture& it) {
    const auto last = it.dispatches.back();
    it.End(last.attempt, AttemptOutcome::kBroken);
    Announce(it.Engine(last.endpoint.value(), last.incarnation.value() + 1));
  }

  DispatcherFixture first;
  DispatcherFixture second;
};

}  // namespace

class FaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsTest);
  CPPUNIT_TEST(StreamFaults);
  CPPUNIT_TEST(NotSentMayBeRepeated);
  CPPUNIT_TEST(LostResumeContinuesElsewhere);
  CPPUNIT_TEST(PoisonCostsTwoEndpoints);
  CPPUNIT_TEST(PoisonIsKnownToOtherVms);
  CPPUNIT_TEST(HeartbeatsClearBrokenConnections);
  CPPUNIT_TEST(BystandersStayApart);
  CPPUNIT_TEST(EqualSuspectsRunOneAtATime);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StreamFaults() {
    for (const auto& it : kRows) {
      Check(it);
    }
  }

  void NotSentMayBeRepeated() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    it.Submit(it.Call(1, /*repeatable=*/false));
    for (std::size_t n = 0; n < 4; ++n) {
      it.End(it.dispatches.at(n).attempt, AttemptOutcome::kNotSent);
    }
    CPPUNIT_ASSERT(it.overs.at(0).refusal->not_run);
  }

  // The endpoint restarted, unseen, and doesn't know the try to resume.
  void LostResumeContinuesElsewhere() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    it.Announce(it.Engine("e2"));
    it.Submit(it.Call(1));
    it.End(it.dispatches[0].attempt, AttemptOutcome::kBroken, kDelivered);
    CPPUNIT_ASSERT_EQUAL(it.dispatches[0].attempt,
                         it.dispatches.at(1).resume_of);
    it.End(it.dispatches[1].attempt, AttemptOutcome::kFailed, "", 404);
    CPPUNIT_ASSERT(it.dispatches[0].endpoint != it.dispatches.at(2).endpoint);
    CPPUNIT_ASSERT_EQUAL(std::string(kDelivered), *it.dispatches[2].delivered);
    CPPUNIT_ASSERT_EQUAL(AttemptId(), it.dispatches[2].resume_of);
  }

  void PoisonCostsTwoEndpoints() {
    TwoVms vms;
    vms.first.Submit(vms.first.Call(1));
    vms.CrashLast(vms.first);
    vms.CrashLast(vms.first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, vms.first.dispatches.size());
    CPPUNIT_ASSERT(vms.first.overs.at(0).refusal->reason ==
                   RefusalReason::kPoison);
    CPPUNIT_ASSERT(!vms.first.overs[0].refusal->not_run);
    // Another request of the organisation is served.
    vms.first.Submit(vms.first.Call(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, vms.first.dispatches.size());
  }

  void PoisonIsKnownToOtherVms() {
    TwoVms vms;
    vms.first.Submit(vms.first.Call(1));
    vms.CrashLast(vms.first);
    vms.first.dispatcher->Abandon(RequestId(1), vms.first.clock.Now());
    vms.first.messages.clear();  // lost on the way
    vms.first.Step(milliseconds(100));
    vms.Relay();
    vms.second.Submit(vms.second.Call(1));
    vms.CrashLast(vms.second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, vms.second.dispatches.size());
    CPPUNIT_ASSERT(vms.second.overs.at(0).refusal->reason ==
                   RefusalReason::kPoison);
    // Sent again, it was handed to nobody.
    vms.second.Submit(vms.second.Call(1));
    CPPUNIT_ASSERT(vms.second.overs.at(1).refusal->not_run);
  }

  // Two connections broke while both engines live: the request waits for that
  // news, then runs.
  void HeartbeatsClearBrokenConnections() {
    TwoVms vms;
    auto& it = vms.first;
    it.Submit(it.Call(1));
    it.End(it.dispatches[0].attempt, AttemptOutcome::kBroken);
    it.End(it.dispatches.at(1).attempt, AttemptOutcome::kBroken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
    it.Step(milliseconds(400));
    // Sent too early to tell anything.
    it.Announce(it.Engine(it.dispatches[0].endpoint.value()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
    it.Step(milliseconds(200));
    it.Announce(it.Engine(it.dispatches[0].endpoint.value()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.dispatches.size());
  }

  // An engine died with four requests: which one did it is not known, so no
  // two of them meet at one engine before they have begun to answer.
  void BystandersStayApart() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    for (std::uint64_t n = 1; n <= 4; ++n) {
      it.Submit(it.Call(n));
    }
    it.Announce(it.Engine("e2"));
    it.Announce(it.Engine("e3"));
    for (std::size_t n = 0; n < 4; ++n) {
      it.End(it.dispatches[n].attempt, AttemptOutcome::kBroken);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, it.dispatches.size());
    CPPUNIT_ASSERT(it.dispatches[4].endpoint != it.dispatches[5].endpoint);
    AttemptReport begun;
    begun.kind = AttemptReport::Kind::kFirstByte;
    begun.attempt = it.dispatches[4].attempt;
    it.Report(begun);
    it.Step(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, it.dispatches.size());
    CPPUNIT_ASSERT_EQUAL(it.dispatches[4].endpoint, it.dispatches[6].endpoint);
  }

  void EqualSuspectsRunOneAtATime() {
    TwoVms vms;
    auto& it = vms.first;
    it.Submit(it.Call(1));
    it.End(it.dispatches[0].attempt, AttemptOutcome::kBroken);
    auto again = it.Call(1);
    again->caller.id = RequestId(2);
    it.Submit(again);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
    vms.CrashLast(it);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, it.dispatches.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsTest);

}  // namespace baobabrun
