// Tests that a call runs at most once when a VM crashes at any point and the
// caller retries through another VM, with and without a quorum. The log is
// represented by the control module's own table of records.
#include "once/once_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <string>

#include "control/once_table.h"

namespace baobabrun {
namespace {

// Where the first VM stops permanently, in the order of a call's steps.
enum class CrashPoint {
  kBeforeRecord,
  kAfterRecord,
  kAfterSend,
  kAfterAnswer,
  kBeforeOutcome,  // the outcome was proposed, and the proposal was lost
  kNone,
};

// The log and the endpoint that all VMs share.
struct SharedBackend {
  OnceTable table{OnceLimits{}};
  bool quorum = true;
  int runs = 0;

  ProposalResult Propose(const Proposal& proposal) {
    ProposalResult lost;
    lost.outcome = ProposalOutcome::kNotAccepted;
    if (!quorum) {
      return lost;
    }
    const auto* begin = std::get_if<OnceBegin>(&proposal);
    return begin != nullptr ? table.Begin(*begin, 0)
                            : table.End(std::get<OnceEnd>(proposal));
  }
};

// What the caller received.
struct CallerResult {
  int answers = 0;
  int status = 0;  // 0: refused
  RefusalReason reason = RefusalReason::kInternal;
  bool not_run = false;
  std::string body;
  bool body_stored = false;  // of the answer to an earlier call
};

// One VM: a guard, and a driver that performs its actions up to the crash
// point.
class Vm {
 public:
  Vm(SharedBackend& backend, const char* name, std::uint64_t first_attempt)
      : backend_(backend), guard_({VmId(name), first_attempt}) {}

  CallerResult Call(CrashPoint crash = CrashPoint::kNone,
                    const char* body = "pay") {
    crash_ = crash;
    caller_result_ = {};
    CallerRequest request;
    request.body = std::make_shared<std::string>(body);
    guard_.Begin({RequestId(++requests_), OrganisationId("hall-a"), "key-1",
                  OnceFingerprint(request), Instant(seconds(100))},
                 Instant(seconds(1)));
    PerformActions();
    return caller_result_;
  }

  void PerformActions() {
    for (auto actions = guard_.TakeActions(); !actions.empty() && !crashed_;
         actions = guard_.TakeActions()) {
      for (const auto& it : actions) {
        std::visit([this](const auto& action) { Perform(action); }, it);
      }
    }
  }

  OnceGuard& guard() { return guard_; }
  OnceOutcome outcome{true, true, 200, "text/plain", "paid"};
  ProposalOutcome forced_begin_outcome = ProposalOutcome::kOnceStarted;

 private:
  bool CrashAt(CrashPoint point) {
    crashed_ |= crash_ == point;
    return crashed_;
  }
  void Perform(const ProposeBegin& it) {
    if (CrashAt(CrashPoint::kBeforeRecord)) {
      return;
    }
    auto result = backend_.Propose(it.proposal);
    if (forced_begin_outcome != ProposalOutcome::kOnceStarted) {
      result.outcome = forced_begin_outcome;
    }
    guard_.OnBegun(it.request, result);
  }
  void Perform(const SendToEndpoint& it) {
    if (CrashAt(CrashPoint::kAfterRecord)) {
      return;
    }
    backend_.runs += outcome.handed_over ? 1 : 0;
    if (CrashAt(CrashPoint::kAfterSend)) {
      return;
    }
    ++caller_result_.answers;
    caller_result_.status = outcome.status;
    caller_result_.body = outcome.body;
    if (CrashAt(CrashPoint::kAfterAnswer)) {
      return;
    }
    guard_.OnEnded(it.request, outcome, Instant(seconds(1)));
  }
  void Perform(const ProposeEnd& it) {
    if (!CrashAt(CrashPoint::kBeforeOutcome)) {
      guard_.OnRecorded(it.record, backend_.Propose(it.proposal));
    }
  }
  void Perform(const RefuseOnce& it) {
    ++caller_result_.answers;
    caller_result_.reason = it.refusal.reason;
    caller_result_.not_run = it.refusal.not_run;
  }
  void Perform(const ReplayStoredAnswer& it) {
    ++caller_result_.answers;
    caller_result_.status = it.stored.status;
    caller_result_.body = it.stored.body;
    caller_result_.body_stored = it.stored.body_stored;
  }

  SharedBackend& backend_;
  OnceGuard guard_;
  std::uint64_t requests_ = 0;
  CrashPoint crash_ = CrashPoint::kNone;
  bool crashed_ = false;
  CallerResult caller_result_;
};

}  // namespace

class OnceGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OnceGuardTest);
  CPPUNIT_TEST(CallRunsAtMostOnceAtEveryCrashPoint);
  CPPUNIT_TEST(RunningCallIsNotStartedAgain);
  CPPUNIT_TEST(UndecidedRecordContinuesOnTheSameVm);
  CPPUNIT_TEST(OutcomeIsRecordedWhenTheQuorumReturns);
  CPPUNIT_TEST(OutcomeDecidesWhatTheNextCallGets);
  CPPUNIT_TEST(KeyUsedForAnotherCallIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CallRunsAtMostOnceAtEveryCrashPoint() {
    constexpr auto kNoQuorum = RefusalReason::kNoQuorum;
    constexpr auto kStillRunning = RefusalReason::kStillRunning;
    struct Row {
      const char* name;
      CrashPoint crash;
      bool quorum;  // when the caller retries
      int status;   // that the caller gets for the retry; 0: refused
      RefusalReason reason;
      int runs;  // on both VMs together
    };
    const Row rows[] = {
        {"before record", CrashPoint::kBeforeRecord, true, 200, kStillRunning,
         1},
        {"after record", CrashPoint::kAfterRecord, true, 0, kStillRunning, 0},
        {"after hand-over", CrashPoint::kAfterSend, true, 0, kStillRunning, 1},
        {"after answer", CrashPoint::kAfterAnswer, true, 0, kStillRunning, 1},
        {"before outcome", CrashPoint::kBeforeOutcome, true, 0, kStillRunning,
         1},
        {"no crash", CrashPoint::kNone, true, 200, kStillRunning, 1},
        {"before record, no quorum", CrashPoint::kBeforeRecord, false, 0,
         kNoQuorum, 0},
        {"after record, no quorum", CrashPoint::kAfterRecord, false, 0,
         kNoQuorum, 0},
        {"after hand-over, no quorum", CrashPoint::kAfterSend, false, 0,
         kNoQuorum, 1},
        {"after answer, no quorum", CrashPoint::kAfterAnswer, false, 0,
         kNoQuorum, 1},
        {"before outcome, no quorum", CrashPoint::kBeforeOutcome, false, 0,
         kNoQuorum, 1},
        {"no crash, no quorum", CrashPoint::kNone, false, 0, kNoQuorum, 1},
    };
    for (const auto& it : rows) {
      SharedBackend backend;
      Vm first(backend, "vm-1", 100);
      Vm second(backend, "vm-2", 500);
      first.Call(it.crash);
      backend.quorum = it.quorum;
      const auto caller_result = second.Call();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 1, caller_result.answers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status, caller_result.status);
      CPPUNIT_ASSERT_MESSAGE(
          it.name, it.status != 0 || it.reason == caller_result.reason);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.runs, backend.runs);
      CPPUNIT_ASSERT_MESSAGE(it.name,
                             !caller_result.not_run || backend.runs == 0);
      CPPUNIT_ASSERT_MESSAGE(
          it.name, caller_result.status == 0 || caller_result.body == "paid");
      // Another retry changes nothing.
      second.Call();
      CPPUNIT_ASSERT_MESSAGE(it.name, backend.runs <= 1);
    }
  }

  void RunningCallIsNotStartedAgain() {
    OnceGuard guard({VmId("vm-1"), 1});
    const OnceCall call{RequestId(1), OrganisationId("a"), "k", 7,
                        Instant(seconds(9))};
    auto again = call;
    again.request = RequestId(2);
    guard.Begin(call, Instant());
    guard.TakeActions();
    guard.Begin(again, Instant());
    auto actions = guard.TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    const auto& refuse = std::get<RefuseOnce>(actions[0]);
    CPPUNIT_ASSERT(refuse.refusal.reason == RefusalReason::kStillRunning);
    ProposalResult started;
    started.outcome = ProposalOutcome::kOnceStarted;
    guard.OnBegun(RequestId(1), started);
    guard.OnBegun(RequestId(1), started);  // a duplicate
    guard.OnBegun(RequestId(2), started);  // for a call that isn't open
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.TakeActions().size());
  }

  // The record was committed, but the result was lost. Only the VM that knows
  // that it never sent the call may continue.
  void UndecidedRecordContinuesOnTheSameVm() {
    SharedBackend backend;
    Vm first(backend, "vm-1", 100);
    Vm second(backend, "vm-2", 500);
    first.forced_begin_outcome = ProposalOutcome::kUnknown;
    auto caller_result = first.Call();
    CPPUNIT_ASSERT(caller_result.reason == RefusalReason::kNoQuorum &&
                   !caller_result.not_run);
    caller_result = second.Call();
    CPPUNIT_ASSERT(caller_result.reason == RefusalReason::kStillRunning &&
                   !caller_result.not_run);
    CPPUNIT_ASSERT_EQUAL(0, backend.runs);
    first.forced_begin_outcome = ProposalOutcome::kNotAccepted;
    CPPUNIT_ASSERT(first.Call().reason == RefusalReason::kNoQuorum);
    first.forced_begin_outcome = ProposalOutcome::kOnceStarted;
    CPPUNIT_ASSERT_EQUAL(200, first.Call().status);
    CPPUNIT_ASSERT_EQUAL(200, first.Call().status);
    CPPUNIT_ASSERT_EQUAL(200, second.Call().status);
    CPPUNIT_ASSERT_EQUAL(1, backend.runs);
  }

  void OutcomeIsRecordedWhenTheQuorumReturns() {
    SharedBackend backend;
    Vm first(backend, "vm-1", 100);
    // The quorum is lost between the two records.
    const OnceCall call{RequestId(50), OrganisationId("hall-a"), "key-2", 7,
                        Instant(seconds(100))};
    first.guard().Begin(call, Instant(seconds(2)));
    const auto actions = first.guard().TakeActions();
    const auto& begin = std::get<ProposeBegin>(actions.at(0));
    first.guard().OnBegun(RequestId(50), backend.Propose(begin.proposal));
    first.guard().TakeActions();
    backend.quorum = false;
    first.guard().OnEnded(RequestId(50), first.outcome, Instant(seconds(3)));
    first.PerformActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.guard().unrecorded());
    auto again = call;
    again.request = RequestId(51);
    first.guard().Begin(again, Instant(seconds(3)));
    CPPUNIT_ASSERT(std::holds_alternative<ReplayStoredAnswer>(
        first.guard().TakeActions()[0]));
    backend.quorum = true;
    first.guard().Advance(Instant(seconds(5)));
    first.PerformActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first.guard().unrecorded());
    CPPUNIT_ASSERT(backend.table.Records().at(0).end->known);
  }

  void OutcomeDecidesWhatTheNextCallGets() {
    struct Row {
      const char* name;
      OnceOutcome outcome;
      // Of the second call; 0: refused because the outcome is unknown.
      int status;
      const char* body;
      bool body_stored;
    };
    const Row rows[] = {
        {"answered", {true, true, 201, "t", "done"}, 201, "done", true},
        {"error answered", {true, true, 500, "t", "no"}, 500, "no", true},
        {"broken", {true, false, 0, "", ""}, 0, "", false},
        {"never sent", {false, false, 0, "", ""}, 503, "did not run", true},
        {"too large",
         {true, true, 200, "t", std::string(65 << 10, 'x')},
         200,
         "",
         false},
        {"forwarded in pieces",
         {true, true, 200, "t", "", false},
         200,
         "",
         false},
    };
    for (const auto& it : rows) {
      SharedBackend backend;
      Vm first(backend, "vm-1", 100);
      Vm second(backend, "vm-2", 500);
      first.outcome = it.outcome;
      first.Call();
      const auto caller_result = second.Call();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status, caller_result.status);
      CPPUNIT_ASSERT_MESSAGE(
          it.name, caller_result.body.find(it.body) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          it.name, it.status != 0 ||
                       caller_result.reason == RefusalReason::kOutcomeUnknown);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.body_stored,
                                   caller_result.body_stored);
      CPPUNIT_ASSERT_MESSAGE(it.name, backend.runs <= 1);
      CPPUNIT_ASSERT_MESSAGE(it.name, caller_result.body.size() < (64 << 10));
    }
  }

  void KeyUsedForAnotherCallIsRefused() {
    SharedBackend backend;
    Vm first(backend, "vm-1", 100);
    Vm second(backend, "vm-2", 500);
    first.Call();
    const auto caller_result =
        second.Call(CrashPoint::kNone, "pay something else");
    CPPUNIT_ASSERT(caller_result.reason == RefusalReason::kBadRequest &&
                   caller_result.not_run);
    CPPUNIT_ASSERT_EQUAL(1, backend.runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OnceGuardTest);

}  // namespace baobabrun
