// Tests of the state machine: operations, at-most-once records and snapshots.
#include "control/fleet_machine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "control/control_error.h"

namespace baobabrun {
namespace {

const OrganisationId kHall("hall-a");

// Applies proposals as consecutive entries.
class Log {
 public:
  explicit Log(StateMachineLimits limits = {}) : machine(limits) {}

  ProposalResult Apply(const Proposal& proposal, std::int64_t time_ms = 0) {
    LogEntry entry{1, ++index_, EncodeProposalEntry(proposal, time_ms), {}};
    auto applied = machine.Apply(entry);
    CPPUNIT_ASSERT(applied.ok());
    CPPUNIT_ASSERT(applied.value().result.has_value());
    return *applied.value().result;
  }

  FleetStateMachine machine;

 private:
  LogIndex index_ = 0;
};

ChangeProposal Retire(const std::string& id,
                      const std::string& endpoint,
                      std::optional<std::uint64_t> expected = {}) {
  ChangeProposal change;
  change.operation_id = id;
  if (expected) {
    change.expected = StateVersion(*expected);
  }
  change.changes = {RetireEndpoint{EndpointId(endpoint)}};
  return change;
}

OnceBegin Begin(const std::string& key,
                std::uint64_t attempt = 1,
                const std::string& vm = "vm-1",
                std::uint64_t fingerprint = 7) {
  return {kHall, key, fingerprint, VmId(vm), attempt};
}

OnceEnd End(const std::string& key, bool known, const std::string& body = "b") {
  return {kHall, key, known, 200, "text/plain", body, known};
}

void AssertOutcome(ProposalOutcome expected, const ProposalResult& result) {
  CPPUNIT_ASSERT_EQUAL(std::string(NameOf(expected)),
                       std::string(NameOf(result.outcome)));
}

}  // namespace

class FleetMachineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMachineTest);
  CPPUNIT_TEST(RetryGetsTheFirstResult);
  CPPUNIT_TEST(SecondChangeWithSameExpectedVersionConflicts);
  CPPUNIT_TEST(InapplicableChangesLeaveTheStateUnchanged);
  CPPUNIT_TEST(OldestOperationsAreDroppedAtTheLimit);
  CPPUNIT_TEST(OnceBeginOutcomeFollowsTheRecord);
  CPPUNIT_TEST(NewKeysAreRefusedAtTheRecordLimit);
  CPPUNIT_TEST(OldestBodiesAreDroppedAtTheSizeLimit);
  CPPUNIT_TEST(OnceRecordsExpireAfterRetention);
  CPPUNIT_TEST(SnapshotRestoresTheStateMachine);
  CPPUNIT_TEST(MalformedEntryIsAnError);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RetryGetsTheFirstResult() {
    Log log;
    const auto first = log.Apply(Retire("op", "w1", 0));
    AssertOutcome(ProposalOutcome::kCommitted, first);
    const auto again = log.Apply(Retire("op", "w1", 0));
    AssertOutcome(ProposalOutcome::kCommitted, again);
    CPPUNIT_ASSERT(again.version == first.version);
    CPPUNIT_ASSERT(log.machine.version() == StateVersion(1));
    AssertOutcome(ProposalOutcome::kInvalid, log.Apply(Retire("op", "w2", 0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.machine.state()->retired.size());
  }

  void SecondChangeWithSameExpectedVersionConflicts() {
    Log log;
    AssertOutcome(ProposalOutcome::kCommitted, log.Apply(Retire("a", "w1", 0)));
    const auto loser = log.Apply(Retire("b", "w2", 0));
    AssertOutcome(ProposalOutcome::kConflict, loser);
    CPPUNIT_ASSERT(loser.version == StateVersion(1));
    CPPUNIT_ASSERT_EQUAL(std::string("version 0 was expected, 1 is in force"),
                         loser.message);
  }

  void InapplicableChangesLeaveTheStateUnchanged() {
    Log log;
    const auto before = log.machine.state();
    ChangeProposal inapplicable = Retire("a", "w1");
    inapplicable.changes.push_back(WithdrawKey{KeyId("never")});
    AssertOutcome(ProposalOutcome::kInvalid, log.Apply(inapplicable));
    inapplicable.operation_id = "b";
    inapplicable.changes = {WithdrawKey{KeyId("never")}};
    AssertOutcome(ProposalOutcome::kInvalid, log.Apply(inapplicable));
    CPPUNIT_ASSERT(log.machine.version() == before->version);
    CPPUNIT_ASSERT(log.machine.state()->retired.empty());
    inapplicable.operation_id = "empty";
    inapplicable.changes.clear();
    AssertOutcome(ProposalOutcome::kCommitted, log.Apply(inapplicable));
    CPPUNIT_ASSERT(log.machine.version() == before->version);
    // A later change doesn't affect a state that was returned before.
    log.Apply(Retire("c", "w1"));
    CPPUNIT_ASSERT(before->retired.empty());
    CPPUNIT_ASSERT(before->version == StateVersion(0));
  }

  void OldestOperationsAreDroppedAtTheLimit() {
    StateMachineLimits limits;
    limits.max_operations = 2;
    Log log(limits);
    for (const char* id : {"a", "b", "c"}) {
      log.Apply(Retire(id, id));
    }
    CPPUNIT_ASSERT(!log.machine.FindOperation("a"));
    CPPUNIT_ASSERT(log.machine.FindOperation("b"));
  }

  void OnceBeginOutcomeFollowsTheRecord() {
    struct Case {
      const char* name;
      std::vector<Proposal> before;
      OnceBegin call;
      ProposalOutcome expected;
    };
    using Outcome = ProposalOutcome;
    const std::vector<Case> cases = {
        {"first", {}, Begin("k"), Outcome::kOnceStarted},
        {"resend", {Begin("k")}, Begin("k"), Outcome::kOnceStarted},
        {"other attempt", {Begin("k")}, Begin("k", 2), Outcome::kOnceRunning},
        {"other VM",
         {Begin("k")},
         Begin("k", 1, "vm-2"),
         Outcome::kOnceRunning},
        {"other call",
         {Begin("k")},
         Begin("k", 1, "vm-1", 8),
         Outcome::kOnceMismatch},
        {"ended",
         {Begin("k"), End("k", true)},
         Begin("k", 2),
         Outcome::kOnceStored},
        {"ended, resend",
         {Begin("k"), End("k", true)},
         Begin("k"),
         Outcome::kOnceStored},
        {"unknown",
         {Begin("k"), End("k", false)},
         Begin("k", 2),
         Outcome::kOnceOutcomeUnknown},
        {"known after all",
         {Begin("k"), End("k", false), End("k", true)},
         Begin("k", 2),
         Outcome::kOnceStored},
        {"known stays",
         {Begin("k"), End("k", true), End("k", false)},
         Begin("k", 2),
         Outcome::kOnceStored},
        {"other key", {Begin("k")}, Begin("l"), Outcome::kOnceStarted},
    };
    for (const auto& it : cases) {
      Log log;
      for (const auto& proposal : it.before) {
        log.Apply(proposal);
      }
      const auto result = log.Apply(it.call);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::string(NameOf(it.expected)),
                                   std::string(NameOf(result.outcome)));
      CPPUNIT_ASSERT_EQUAL(it.expected == Outcome::kOnceStored,
                           result.once.has_value());
    }
    Log log;
    AssertOutcome(Outcome::kInvalid, log.Apply(End("never", true)));
  }

  void NewKeysAreRefusedAtTheRecordLimit() {
    StateMachineLimits limits;
    limits.once.max_records = 2;
    Log log(limits);
    log.Apply(Begin("a"));
    log.Apply(Begin("b"));
    AssertOutcome(ProposalOutcome::kInvalid, log.Apply(Begin("c")));
    AssertOutcome(ProposalOutcome::kOnceRunning, log.Apply(Begin("a", 2)));
    OnceBegin other = Begin("c");
    other.organisation = OrganisationId("hall-b");
    AssertOutcome(ProposalOutcome::kOnceStarted, log.Apply(other));
  }

  void OldestBodiesAreDroppedAtTheSizeLimit() {
    StateMachineLimits limits;
    limits.once.max_body_bytes = 10;
    Log log(limits);
    for (const char* key : {"a", "b"}) {
      log.Apply(Begin(key));
      log.Apply(End(key, true, "1234567"));
    }
    const auto old = log.Apply(Begin("a", 2));
    AssertOutcome(ProposalOutcome::kOnceStored, old);
    CPPUNIT_ASSERT(!old.once->body_stored);
    CPPUNIT_ASSERT_EQUAL(std::string("1234567"),
                         log.Apply(Begin("b", 2)).once->body);
  }

  void OnceRecordsExpireAfterRetention() {
    StateMachineLimits limits;
    limits.once.retention = std::chrono::milliseconds(100);
    Log log(limits);
    log.Apply(Begin("a"), 1000);
    AssertOutcome(ProposalOutcome::kOnceRunning,
                  log.Apply(Begin("a", 2), 1099));
    // The wall clock of a new leader may be behind that of the previous one.
    log.Apply(Begin("x"), 5);
    AssertOutcome(ProposalOutcome::kOnceRunning, log.Apply(Begin("a", 2), 6));
    AssertOutcome(ProposalOutcome::kOnceStarted,
                  log.Apply(Begin("a", 2), 1100));
  }

  void SnapshotRestoresTheStateMachine() {
    Log log;
    log.Apply(Retire("op", "w1"));
    log.Apply(Begin("run"), 1000);
    log.Apply(Begin("done"), 1001);
    log.Apply(End("done", true));
    const auto bytes = log.machine.EncodeSnapshot();
    auto restored = FleetStateMachine::FromSnapshot(bytes);
    CPPUNIT_ASSERT(restored.ok());
    CPPUNIT_ASSERT_EQUAL(bytes, restored.value().EncodeSnapshot());
    log.machine = std::move(restored.value());
    AssertOutcome(ProposalOutcome::kOnceRunning, log.Apply(Begin("run", 2)));
    AssertOutcome(ProposalOutcome::kOnceStored, log.Apply(Begin("done", 2)));
    CPPUNIT_ASSERT(log.Apply(Retire("op", "w1")).version == StateVersion(1));
    CPPUNIT_ASSERT(!FleetStateMachine::FromSnapshot("\xff").ok());
  }

  void MalformedEntryIsAnError() {
    FleetStateMachine machine;
    const auto applied = machine.Apply({1, 1, "\xff", std::nullopt});
    CPPUNIT_ASSERT(!applied.ok());
    CPPUNIT_ASSERT(applied.error().code == ControlError::kMalformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMachineTest);

}  // namespace baobabrun
