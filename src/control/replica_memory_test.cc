// Tests that what a control replica keeps of its log is bounded in bytes,
// whatever its entries hold.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>

#include "control/memory_disk_test.h"
#include "control/replica_host.h"

namespace baobabrun {

class ReplicaMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaMemoryTest);
  CPPUNIT_TEST(LogOfLargeManifestsIsBounded);
  CPPUNIT_TEST(LogOfSmallChangesKeepsItsEntries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LogOfLargeManifestsIsBounded() {
    auto host = Lead();
    const auto text = std::make_shared<const std::string>(kManifestBytes, 'm');
    for (std::uint64_t n = 1; n <= 400; ++n) {
      Commit(*host, {PutManifest{{n, text}}});
      CPPUNIT_ASSERT_LESS(kMostBytes, LogBytes(*host));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{400}, host->machine().version().value());
  }

  // A replica that lags by a few hundred small changes gets them, and not the
  // whole state.
  void LogOfSmallChangesKeepsItsEntries() {
    auto host = Lead();
    PutContract put;
    put.contract.organisation = OrganisationId("hall-a");
    for (int n = 1; n <= 3'000; ++n) {
      put.contract.tokens_per_second = n;
      Commit(*host, {put});
    }
    const auto& log = host->replica().log();
    CPPUNIT_ASSERT(log.last_index() - log.base_index() >= 256);
    CPPUNIT_ASSERT_LESS(kMostBytes, LogBytes(*host));
  }

 private:
  static constexpr std::size_t kManifestBytes = 268'000;
  // A log file of 4 MB beyond the snapshot, 4 MB below it, and the entry and
  // the snapshot that go beyond these bounds.
  static constexpr std::size_t kMostBytes = std::size_t{10} << 20;

  // Returns the only replica of a group, as its leader.
  std::unique_ptr<ReplicaHost> Lead() {
    disk_ = MemoryDisk();
    ReplicaHostOptions options;
    options.replica.self = VmId("v1");
    options.initial_replicas = {options.replica.self};
    ReplicaHooks hooks;
    hooks.send = [](const ReplicaMessage& /*it*/) {};
    hooks.applied = [](const LogEntry&, const Applied&) {};
    hooks.state = [](const FleetStatePtr&, const ChangeSet&) {};
    hooks.leadership = [](bool, Term) {};
    hooks.disk_failed = [](const Error& it) { CPPUNIT_FAIL(it.message); };
    auto host = ReplicaHost::Open(std::move(options), disk_, std::move(hooks),
                                  std::mt19937_64(1), now_);
    CPPUNIT_ASSERT(host.ok());
    for (int n = 0; n < 100 && !host.value()->replica().IsLeader(); ++n) {
      now_ += milliseconds(100);
      host.value()->Tick(now_);
      host.value()->Run(now_);
      host.value()->Sync(now_);
    }
    CPPUNIT_ASSERT(host.value()->replica().IsLeader());
    return std::move(host.value());
  }

  void Commit(ReplicaHost& host, ChangeSet changes) {
    now_ += milliseconds(1);
    host.Propose(ChangeProposal{std::to_string(++operations_), std::nullopt,
                                std::move(changes)},
                 0, now_);
    host.Run(now_);
    host.Sync(now_);
  }

  static std::size_t LogBytes(const ReplicaHost& host) {
    const auto& log = host.replica().log();
    std::size_t bytes = 0;
    for (auto n = log.base_index() + 1; n <= log.last_index(); ++n) {
      bytes += log.At(n).payload.size();
    }
    return bytes;
  }

  MemoryDisk disk_;
  Instant now_{seconds(1)};
  int operations_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaMemoryTest);

}  // namespace baobabrun
