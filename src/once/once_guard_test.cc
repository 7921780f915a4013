// At-most-once calls under every crash point, with the caller coming back
// through another VM, with and without a quorum. The log is the control slice's
// own table of records.
#include "once/once_guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <string>

#include "control/once_table.h"

namespace baobabrun {
namespace {

// Where the first VM stops for good, in the order of a call's life.
enum class CrashPoint {
  kBeforeRecord,
  kAfterRecord,
  kAfterHandOver,
  kAfterAnswer,
  kBeforeOutcome,  // the outcome was proposed and got lost
  kNone,
};

// The log and the endpoint that all VMs share.
struct World {
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

// What the caller was told.
struct Told {
  int answers = 0;
  int status = 0;  // 0: refused
  RefusalReason reason = RefusalReason::kInternal;
  bool not_run = false;
  std::string body;
};

// One VM: a guard, and a driver that carries its actions out up to a point.
class Vm {
 public:
  Vm(World& world, const char* name, std::uint64_t first_attempt)
      : world_(world), guard_({VmId(name), first_attempt}) {}

  Told Call(CrashPoint crash = CrashPoint::kNone, const char* body = "pay") {
    crash_ = crash;
    told_ = {};
    CallerRequest request;
    request.body = std::make_shared<std::string>(body);
    guard_.Begin({RequestId(++requests_), OrganisationId("hall-a"), "key-1",
                  OnceFingerprint(request), Instant(seconds(100))},
                 Instant(seconds(1)));
    Work();
    return told_;
  }

  void Work() {
    for (auto actions = guard_.TakeActions(); !actions.empty() && !crashed_;
         actions = guard_.TakeActions()) {
      for (const auto& it : actions) {
        std::visit([this](const auto& action) { Do(action); }, it);
      }
    }
  }

  OnceGuard& guard() { return guard_; }
  OnceOutcome outcome{true, true, 200, "text/plain", "paid"};
  ProposalOutcome lie_about_begin = ProposalOutcome::kOnceStarted;

 private:
  bool CrashAt(CrashPoint point) {
    crashed_ |= crash_ == point;
    return crashed_;
  }
  void Do(const ProposeBegin& it) {
    if (CrashAt(CrashPoint::kBeforeRecord)) {
      return;
    }
    auto result = world_.Propose(it.proposal);
    if (lie_about_begin != ProposalOutcome::kOnceStarted) {
      result.outcome = lie_about_begin;
    }
    guard_.OnBegun(it.request, result);
  }
  void Do(const HandOver& it) {
    if (CrashAt(CrashPoint::kAfterRecord)) {
      return;
    }
    world_.runs += outcome.handed_over ? 1 : 0;
    if (CrashAt(CrashPoint::kAfterHandOver)) {
      return;
    }
    ++told_.answers;
    told_.status = outcome.status;
    told_.body = outcome.body;
    if (CrashAt(CrashPoint::kAfterAnswer)) {
      return;
    }
    guard_.OnEnded(it.request, outcome, Instant(seconds(1)));
  }
  void Do(const ProposeEnd& it) {
    if (!CrashAt(CrashPoint::kBeforeOutcome)) {
      guard_.OnRecorded(it.record, world_.Propose(it.proposal));
    }
  }
  void Do(const RefuseOnce& it) {
    ++told_.answers;
    told_.reason = it.refusal.reason;
    told_.not_run = it.refusal.not_run;
  }
  void Do(const AnswerStored& it) {
    ++told_.answers;
    told_.status = it.stored.status;
    told_.body = it.stored.body;
  }

  World& world_;
  OnceGuard guard_;
  std::uint64_t requests_ = 0;
  CrashPoint crash_ = CrashPoint::kNone;
  bool crashed_ = false;
  Told told_;
};

}  // namespace

class OnceGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OnceGuardTest);
  CPPUNIT_TEST(CrashPointsByTable);
  CPPUNIT_TEST(SameCallWhileItRunsIsNotRunTwice);
  CPPUNIT_TEST(UnknownRecordGoesOnThroughTheSameVm);
  CPPUNIT_TEST(OutcomeIsRecordedOnceTheQuorumIsBack);
  CPPUNIT_TEST(OutcomesByTable);
  CPPUNIT_TEST(KeyOfAnotherCallIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CrashPointsByTable() {
    constexpr auto kNoQuorum = RefusalReason::kNoQuorum;
    constexpr auto kRunning = RefusalReason::kRunning;
    struct Row {
      const char* name;
      CrashPoint crash;
      bool quorum;  // when the caller comes back
      int status;   // that the caller gets then; 0: refused
      RefusalReason reason;
      int runs;  // over both VMs
    };
    const Row rows[] = {
        {"before record", CrashPoint::kBeforeRecord, true, 200, kRunning, 1},
        {"after record", CrashPoint::kAfterRecord, true, 0, kRunning, 0},
        {"after hand-over", CrashPoint::kAfterHandOver, true, 0, kRunning, 1},
        {"after answer", CrashPoint::kAfterAnswer, true, 0, kRunning, 1},
        {"before outcome", CrashPoint::kBeforeOutcome, true, 0, kRunning, 1},
        {"no crash", CrashPoint::kNone, true, 200, kRunning, 1},
        {"before record, no quorum", CrashPoint::kBeforeRecord, false, 0,
         kNoQuorum, 0},
        {"after record, no quorum", CrashPoint::kAfterRecord, false, 0,
         kNoQuorum, 0},
        {"after hand-over, no quorum", CrashPoint::kAfterHandOver, false, 0,
         kNoQuorum, 1},
        {"after answer, no quorum", CrashPoint::kAfterAnswer, false, 0,
         kNoQuorum, 1},
        {"before outcome, no quorum", CrashPoint::kBeforeOutcome, false, 0,
         kNoQuorum, 1},
        {"no crash, no quorum", CrashPoint::kNone, false, 0, kNoQuorum, 1},
    };
    for (const auto& it : rows) {
      World world;
      Vm first(world, "vm-1", 100);
      Vm second(world, "vm-2", 500);
      first.Call(it.crash);
      world.quorum = it.quorum;
      const auto told = second.Call();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, 1, told.answers);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status, told.status);
      CPPUNIT_ASSERT_MESSAGE(it.name,
                             it.status != 0 || it.reason == told.reason);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.runs, world.runs);
      CPPUNIT_ASSERT_MESSAGE(it.name, !told.not_run || world.runs == 0);
      CPPUNIT_ASSERT_MESSAGE(it.name, told.status == 0 || told.body == "paid");
      // Coming back again changes nothing.
      second.Call();
      CPPUNIT_ASSERT_MESSAGE(it.name, world.runs <= 1);
    }
  }

  void SameCallWhileItRunsIsNotRunTwice() {
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
    CPPUNIT_ASSERT(refuse.refusal.reason == RefusalReason::kRunning);
    ProposalResult started;
    started.outcome = ProposalOutcome::kOnceStarted;
    guard.OnBegun(RequestId(1), started);
    guard.OnBegun(RequestId(1), started);  // doubled
    guard.OnBegun(RequestId(2), started);  // of nobody
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, guard.TakeActions().size());
  }

  // The record was committed, but its answer got lost. Only the VM that knows
  // that it never handed the call over may go on.
  void UnknownRecordGoesOnThroughTheSameVm() {
    World world;
    Vm first(world, "vm-1", 100);
    Vm second(world, "vm-2", 500);
    first.lie_about_begin = ProposalOutcome::kUnknown;
    auto told = first.Call();
    CPPUNIT_ASSERT(told.reason == RefusalReason::kNoQuorum && !told.not_run);
    told = second.Call();
    CPPUNIT_ASSERT(told.reason == RefusalReason::kRunning && !told.not_run);
    CPPUNIT_ASSERT_EQUAL(0, world.runs);
    first.lie_about_begin = ProposalOutcome::kNotAccepted;
    CPPUNIT_ASSERT(first.Call().reason == RefusalReason::kNoQuorum);
    first.lie_about_begin = ProposalOutcome::kOnceStarted;
    CPPUNIT_ASSERT_EQUAL(200, first.Call().status);
    CPPUNIT_ASSERT_EQUAL(200, first.Call().status);
    CPPUNIT_ASSERT_EQUAL(200, second.Call().status);
    CPPUNIT_ASSERT_EQUAL(1, world.runs);
  }

  void OutcomeIsRecordedOnceTheQuorumIsBack() {
    World world;
    Vm first(world, "vm-1", 100);
    // The quorum goes between the two records.
    const OnceCall call{RequestId(50), OrganisationId("hall-a"), "key-2", 7,
                        Instant(seconds(100))};
    first.guard().Begin(call, Instant(seconds(2)));
    const auto actions = first.guard().TakeActions();
    const auto& begin = std::get<ProposeBegin>(actions.at(0));
    first.guard().OnBegun(RequestId(50), world.Propose(begin.proposal));
    first.guard().TakeActions();
    world.quorum = false;
    first.guard().OnEnded(RequestId(50), first.outcome, Instant(seconds(3)));
    first.Work();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.guard().unrecorded());
    auto again = call;
    again.request = RequestId(51);
    first.guard().Begin(again, Instant(seconds(3)));
    CPPUNIT_ASSERT(
        std::holds_alternative<AnswerStored>(first.guard().TakeActions()[0]));
    world.quorum = true;
    first.guard().Advance(Instant(seconds(5)));
    first.Work();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, first.guard().unrecorded());
    CPPUNIT_ASSERT(world.table.Records().at(0).end->known);
  }

  void OutcomesByTable() {
    struct Row {
      const char* name;
      OnceOutcome outcome;
      int status;  // of the second call; 0: refused as unknown
      const char* body;
    };
    const Row rows[] = {
        {"answered", {true, true, 201, "t", "done"}, 201, "done"},
        {"error answered", {true, true, 500, "t", "no"}, 500, "no"},
        {"broken", {true, false, 0, "", ""}, 0, ""},
        {"never sent", {false, false, 0, "", ""}, 503, "did not run"},
        {"too large",
         {true, true, 200, "t", std::string(65 << 10, 'x')},
         200,
         ""},
    };
    for (const auto& it : rows) {
      World world;
      Vm first(world, "vm-1", 100);
      Vm second(world, "vm-2", 500);
      first.outcome = it.outcome;
      first.Call();
      const auto told = second.Call();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, it.status, told.status);
      CPPUNIT_ASSERT_MESSAGE(it.name,
                             told.body.find(it.body) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          it.name,
          it.status != 0 || told.reason == RefusalReason::kOutcomeUnknown);
      CPPUNIT_ASSERT_MESSAGE(it.name, world.runs <= 1);
      CPPUNIT_ASSERT_MESSAGE(it.name, told.body.size() < (64 << 10));
    }
  }

  void KeyOfAnotherCallIsRefused() {
    World world;
    Vm first(world, "vm-1", 100);
    Vm second(world, "vm-2", 500);
    first.Call();
    const auto told = second.Call(CrashPoint::kNone, "pay something else");
    CPPUNIT_ASSERT(told.reason == RefusalReason::kBadRequest && told.not_run);
    CPPUNIT_ASSERT_EQUAL(1, world.runs);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OnceGuardTest);

}  // namespace baobabrun
