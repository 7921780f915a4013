// Tests of several ControlNodes in one process. They exchange messages through
// callbacks instead of sockets and have their files in a temporary folder. The
// tests wait for conditions; the timeout of a wait only ends a test that would
// hang.
#include "control/control_node.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/hash.h"
#include "control/control_error.h"

namespace baobabrun {
namespace {

constexpr auto kTestTimeout = std::chrono::seconds(60);

Proposal PutContractOf(const std::string& organisation,
                       const std::string& operation_id) {
  ChangeProposal change;
  change.operation_id = operation_id;
  PutContract put;
  put.contract.organisation = OrganisationId(organisation);
  change.changes = {put};
  return change;
}

// The nodes, and the state versions that their on_state callbacks reported.
class Cluster {
 public:
  explicit Cluster(Duration election_timeout = milliseconds(300))
      : election_timeout_(election_timeout),
        folder_(std::filesystem::temp_directory_path() /
                ("baobabrun-control-" + ToHex(RandomBytes(8)))) {}
  ~Cluster() {
    BlockThread("");
    for (const auto& it : vms_) {
      Stop(it);
    }
    std::filesystem::remove_all(folder_);
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  std::filesystem::path Folder(const std::string& vm) const {
    return folder_ / vm;
  }

  Result<std::unique_ptr<ControlNode>> TryStart(const std::string& vm) {
    ControlOptions options;
    options.self = VmId(vm);
    options.replicas = {VmId("a"), VmId("b"), VmId("c")};
    options.replica = vm.size() == 1;  // longer names have no disk
    options.data_dir = Folder(vm);
    options.heartbeat = milliseconds(30);
    options.election_timeout = election_timeout_;
    options.send = [this](const PeerMessage& message) { return Send(message); };
    options.on_state = [this, vm](const FleetStatePtr& state,
                                  const ChangeSet&) {
      const std::lock_guard lock(mutex_);
      versions_monotonic_ =
          versions_monotonic_ && states_[vm] <= state->version;
      states_[vm] = state->version;
    };
    return ControlNode::Start(std::move(options));
  }

  void Start(const std::string& vm) {
    auto node = TryStart(vm);
    CPPUNIT_ASSERT_MESSAGE(node.ok() ? "" : node.error().message, node.ok());
    const std::lock_guard lock(mutex_);
    vms_.insert(vm);
    nodes_[vm] = std::move(node.value());
  }

  void Stop(const std::string& vm) {
    std::shared_ptr<ControlNode> node;
    {
      const std::lock_guard lock(mutex_);
      node = std::exchange(nodes_[vm], nullptr);
    }
    if (node) {
      node->Stop();
    }
  }

  bool Send(const PeerMessage& message) {
    std::shared_ptr<ControlNode> node;
    {
      std::unique_lock lock(mutex_);
      released_.wait(lock, [&] { return message.from.value() != blocked_vm_; });
      const bool cut = cut_off_.contains(message.from.value()) ||
                       cut_off_.contains(message.to.value());
      const auto found = nodes_.find(message.to.value());
      if (cut || found == nodes_.end() || !found->second) {
        return false;
      }
      node = found->second;
    }
    node->Receive(message);
    return true;
  }

  // Blocks the thread of `vm` when it sends its next message. An empty name
  // releases the blocked thread.
  void BlockThread(const std::string& vm) {
    {
      const std::lock_guard lock(mutex_);
      blocked_vm_ = vm;
    }
    released_.notify_all();
  }

  void CutOff(const std::set<std::string>& vms) {
    const std::lock_guard lock(mutex_);
    cut_off_ = vms;
  }

  ProposalResult Propose(const std::string& vm,
                         Proposal proposal,
                         Duration timeout = kTestTimeout) {
    auto promise = std::make_shared<std::promise<ProposalResult>>();
    auto future = promise->get_future();
    node(vm)->Propose(std::move(proposal), SystemClock().Now() + timeout,
                      [promise](const ProposalResult& result) {
                        promise->set_value(result);
                      });
    return future.get();
  }

  std::shared_ptr<ControlNode> node(const std::string& vm) {
    const std::lock_guard lock(mutex_);
    return nodes_[vm];
  }

  StateVersion version(const std::string& vm) {
    const std::lock_guard lock(mutex_);
    return states_[vm];
  }
  bool versions_monotonic() {
    const std::lock_guard lock(mutex_);
    return versions_monotonic_;
  }

  // Waits until a node has the lease and returns its name.
  std::string Elect(const std::set<std::string>& among = {"a", "b", "c"}) {
    std::string leader;
    Await([&] {
      for (const auto& it : among) {
        const auto running = node(it);
        if (running && running->Status().has_lease) {
          leader = it;
        }
      }
      return !leader.empty();
    });
    return leader;
  }

  template <class Condition>
  static void Await(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!condition()) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
      std::this_thread::sleep_for(milliseconds(2));
    }
  }

 private:
  const Duration election_timeout_;
  const std::filesystem::path folder_;
  std::mutex mutex_;
  std::set<std::string> vms_;
  std::map<std::string, std::shared_ptr<ControlNode>> nodes_;
  std::set<std::string> cut_off_;
  std::string blocked_vm_;
  std::condition_variable released_;
  std::map<std::string, StateVersion> states_;
  bool versions_monotonic_ = true;  // no VM's state version ever decreased
};

}  // namespace

class ControlNodeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlNodeTest);
  CPPUNIT_TEST(ProposalsFromAnyVmAreCommitted);
  CPPUNIT_TEST(OneConcurrentProposalCommitsAndRetryGetsItsResult);
  CPPUNIT_TEST(CommitsWithoutTheOldLeader);
  CPPUNIT_TEST(LeaseEndsWhileTheThreadIsBlocked);
  CPPUNIT_TEST(ProposalWithoutQuorumIsNotCommitted);
  CPPUNIT_TEST(RestartKeepsCommittedStateAndResults);
  CPPUNIT_TEST(AcknowledgedChangeIsInForceAfterAStartWithoutLeader);
  CPPUNIT_TEST(ReplicaThatLacksAChangePublishesNothingWithoutALeader);
  CPPUNIT_TEST(ReplacedReplicaAllowsAnotherLoss);
  CPPUNIT_TEST(DamagedLogFileIsRejected);
  CPPUNIT_TEST(BadOptionsAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    cluster_ = std::make_unique<Cluster>();
    for (const char* it : {"a", "b", "c"}) {
      cluster_->Start(it);
    }
  }
  void tearDown() override { cluster_.reset(); }

  void ProposalsFromAnyVmAreCommitted() {
    cluster_->Start("entry");  // has no disk
    std::uint64_t version = 0;
    for (const char* vm : {"a", "b", "c", "entry"}) {
      const auto result = cluster_->Propose(vm, PutContractOf(vm, vm));
      CPPUNIT_ASSERT(result.outcome == ProposalOutcome::kCommitted);
      CPPUNIT_ASSERT(result.version == StateVersion(++version));
    }
    for (const char* vm : {"a", "b", "c"}) {
      Cluster::Await(
          [&] { return cluster_->version(vm) == StateVersion(version); });
    }
    CPPUNIT_ASSERT(cluster_->versions_monotonic());
  }

  void OneConcurrentProposalCommitsAndRetryGetsItsResult() {
    auto one = std::get<ChangeProposal>(PutContractOf("x", "one"));
    one.expected = StateVersion(0);
    auto two = std::get<ChangeProposal>(PutContractOf("y", "two"));
    two.expected = StateVersion(0);
    const auto first = cluster_->Propose("a", one);
    const auto second = cluster_->Propose("b", two);
    CPPUNIT_ASSERT(first.outcome == ProposalOutcome::kCommitted);
    CPPUNIT_ASSERT(second.outcome == ProposalOutcome::kConflict);
    CPPUNIT_ASSERT(second.version == StateVersion(1));
    const auto again = cluster_->Propose("c", one);
    CPPUNIT_ASSERT(again.outcome == ProposalOutcome::kCommitted);
    CPPUNIT_ASSERT(again.version == first.version);
  }

  void CommitsWithoutTheOldLeader() {
    const auto old = cluster_->Elect();
    cluster_->CutOff({old});
    const std::string other = old == "a" ? "b" : "a";
    const auto result = cluster_->Propose(other, PutContractOf("x", "one"));
    CPPUNIT_ASSERT(result.outcome == ProposalOutcome::kCommitted);
    Cluster::Await([&] { return !cluster_->node(old)->Status().has_lease; });
    cluster_->CutOff({});
    Cluster::Await([&] { return cluster_->version(old) == StateVersion(1); });
    CPPUNIT_ASSERT(cluster_->versions_monotonic());
  }

  // Status is read from other threads, which may resume before the control
  // thread does after both were suspended. The lease must have ended by then
  // although the control thread hasn't updated the status.
  void LeaseEndsWhileTheThreadIsBlocked() {
    const auto leader = cluster_->Elect();
    cluster_->BlockThread(leader);
    Cluster::Await([&] { return !cluster_->node(leader)->Status().has_lease; });
    cluster_->BlockThread("");
    cluster_->Elect();
  }

  void ProposalWithoutQuorumIsNotCommitted() {
    const auto leader = cluster_->Elect();
    cluster_->CutOff({"a", "b", "c"});
    const auto result =
        cluster_->Propose(leader, PutContractOf("x", "one"), milliseconds(800));
    CPPUNIT_ASSERT(result.outcome == ProposalOutcome::kUnknown);
    // Once the leader has stepped down, it refuses a new proposal itself, so
    // the proposal is certainly not committed.
    Cluster::Await([&] {
      return !cluster_->node(leader)->Status().has_lease &&
             cluster_->node(leader)->Status().leader.empty();
    });
    const auto refused =
        cluster_->Propose(leader, PutContractOf("y", "two"), milliseconds(400));
    CPPUNIT_ASSERT(refused.outcome == ProposalOutcome::kNotAccepted);
    cluster_->CutOff({});
    const auto again = cluster_->Propose(leader, PutContractOf("x", "one"));
    CPPUNIT_ASSERT(again.outcome == ProposalOutcome::kCommitted);
    CPPUNIT_ASSERT(again.version == StateVersion(1));
  }

  void RestartKeepsCommittedStateAndResults() {
    for (int i = 0; i < 30; ++i) {
      const auto id = std::to_string(i);
      cluster_->Propose("a", PutContractOf(id, id));
    }
    for (const char* vm : {"a", "b", "c"}) {
      cluster_->Stop(vm);
    }
    for (const char* vm : {"a", "b", "c"}) {
      cluster_->Start(vm);
    }
    const auto again = cluster_->Propose("b", PutContractOf("0", "0"));
    CPPUNIT_ASSERT(again.outcome == ProposalOutcome::kCommitted);
    CPPUNIT_ASSERT(again.version == StateVersion(1));
    const auto next = cluster_->Propose("b", PutContractOf("x", "x"));
    CPPUNIT_ASSERT(next.version == StateVersion(31));
    CPPUNIT_ASSERT(cluster_->versions_monotonic());
  }

  // The VM that acknowledged the change loses its disk; no election follows.
  void AcknowledgedChangeIsInForceAfterAStartWithoutLeader() {
    cluster_->Propose("a", PutContractOf("x", "x"));
    const auto leader = cluster_->Elect();
    std::set<std::string> left = {"a", "b", "c"};
    left.erase(leader);
    Cluster restarted{std::chrono::hours(1)};
    std::promise<void> acknowledged;
    cluster_->node(leader)->Propose(
        PutContractOf("y", "y"), SystemClock().Now() + kTestTimeout,
        [&](const ProposalResult& result) {
          CPPUNIT_ASSERT(result.outcome == ProposalOutcome::kCommitted);
          for (const auto& it : left) {
            std::filesystem::create_directories(restarted.Folder(it));
            std::filesystem::copy(cluster_->Folder(it), restarted.Folder(it),
                                  std::filesystem::copy_options::recursive);
          }
          acknowledged.set_value();
        });
    acknowledged.get_future().get();
    for (const auto& it : left) {
      restarted.Start(it);
    }
    // One of the two has recorded the change. The other one may not have, and
    // without a leader nobody sends it; then it publishes nothing.
    const auto is_newest = [&](const auto& it) {
      return restarted.version(it) == StateVersion(2);
    };
    Cluster::Await(
        [&] { return std::any_of(left.begin(), left.end(), is_newest); });
    std::this_thread::sleep_for(milliseconds(200));
    for (const auto& it : left) {
      CPPUNIT_ASSERT(is_newest(it) || restarted.version(it) == StateVersion());
    }
  }

  void ReplicaThatLacksAChangePublishesNothingWithoutALeader() {
    cluster_->Propose("a", PutContractOf("x", "x"));
    const auto leader = cluster_->Elect();
    std::set<std::string> left = {"a", "b", "c"};
    left.erase(leader);
    const auto& late = *left.begin();
    const auto& current = *left.rbegin();
    Cluster::Await([&] { return cluster_->version(late) == StateVersion(1); });
    cluster_->CutOff({late});
    Cluster restarted{std::chrono::hours(1)};
    const auto copy = [&](const std::string& vm) {
      std::filesystem::create_directories(restarted.Folder(vm));
      std::filesystem::copy(cluster_->Folder(vm), restarted.Folder(vm),
                            std::filesystem::copy_options::recursive);
    };
    copy(late);
    const auto result = cluster_->Propose(leader, PutContractOf("y", "y"));
    CPPUNIT_ASSERT(result.outcome == ProposalOutcome::kCommitted);
    copy(current);
    restarted.Start(late);
    restarted.Start(current);
    Cluster::Await(
        [&] { return restarted.version(current) == StateVersion(2); });
    std::this_thread::sleep_for(milliseconds(200));
    CPPUNIT_ASSERT(restarted.version(late) == StateVersion());
  }

  void ReplacedReplicaAllowsAnotherLoss() {
    cluster_->Propose("a", PutContractOf("x", "x"));
    cluster_->Start("d");
    cluster_->Stop("c");
    const ReplaceReplica replace{"swap", VmId("c"), VmId("d")};
    const auto result = cluster_->Propose("b", replace);
    CPPUNIT_ASSERT(result.outcome == ProposalOutcome::kCommitted);
    const auto replaced = [&] {
      const auto status = cluster_->node("d")->Status();
      std::set<std::string> names;
      for (const auto& it : status.replicas) {
        names.insert(it.first.value());
      }
      return names == std::set<std::string>{"a", "b", "d"};
    };
    Cluster::Await(replaced);
    // Another VM is lost right after the replacement.
    cluster_->Stop("a");
    const auto after = cluster_->Propose("d", PutContractOf("y", "y"));
    CPPUNIT_ASSERT(after.outcome == ProposalOutcome::kCommitted);
    CPPUNIT_ASSERT(after.version == StateVersion(2));
  }

  void DamagedLogFileIsRejected() {
    cluster_->Propose("a", PutContractOf("x", "x"));
    cluster_->Stop("a");
    const auto path = cluster_->Folder("a") / "log";
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(30);
    file.put('\x7f');
    file.close();
    const auto node = cluster_->TryStart("a");
    CPPUNIT_ASSERT(!node.ok());
    CPPUNIT_ASSERT(node.error().code == ControlError::kCorrupt);
    CPPUNIT_ASSERT_EQUAL(
        cluster_->Folder("a").string() + ": file log is damaged at offset 24",
        node.error().message);
  }

  void BadOptionsAreRejected() {
    const auto node = ControlNode::Start({});
    CPPUNIT_ASSERT(!node.ok());
    CPPUNIT_ASSERT(node.error().code == ControlError::kBadOptions);
  }

 private:
  std::unique_ptr<Cluster> cluster_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlNodeTest);

}  // namespace baobabrun
