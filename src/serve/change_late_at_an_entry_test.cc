// Tests, with real fleet threads and loopback connections, that an acknowledged
// change comes into force although a hand-over on its way was full or late.
// Named after docs/incidents/2026-12-04-change-late-at-an-entry.md.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "base/hash.h"
#include "serve/fleet_node.h"

namespace baobabrun {
namespace {

const Address kAnyPort{"127.0.0.1", 0};
const VmId kControlVm("control");
const VmId kEntry("entry");
constexpr auto kTestTimeout = std::chrono::seconds(20);
// By then an acknowledged change is in force at every VM in touch.
constexpr auto kInForceWithin = std::chrono::seconds(2);
// More messages than the fleet thread's ring holds.
constexpr std::uint64_t kFlood = 17'000;
constexpr auto kPublished = std::chrono::milliseconds(300);

PeerSettings PeerOf(const VmId& vm, const Address& address) {
  PeerSettings peer;
  peer.vm = vm;
  peer.zone = ZoneId("z");
  peer.region = RegionId("r");
  peer.address = address;
  peer.control = vm == kControlVm;
  return peer;
}

// A control VM, the only replica of the log. Its fleet thread can be stalled.
class ControlVm {
 public:
  explicit ControlVm(const Address& entry)
      : folder_(std::filesystem::temp_directory_path() /
                ("baobabrun-late-" + ToHex(RandomBytes(8)))) {
    std::filesystem::create_directories(folder_);
    ProcessSettings settings;
    settings.vm = kControlVm;
    settings.zone = ZoneId("z");
    settings.region = RegionId("r");
    settings.peers = kAnyPort;
    settings.fleet = {PeerOf(kControlVm, kAnyPort), PeerOf(kEntry, entry)};
    settings.control = true;
    settings.data_dir = folder_ / "log";
    settings.election_timeout = milliseconds(300);
    FleetNodeHooks hooks;
    hooks.on_state = [this](const FleetStatePtr& state,
                            const std::vector<NamedWeightsAt>& /*named*/) {
      OnState(*state);
    };
    hooks.on_withdrawn = [](const std::vector<KeyId>&) {};
    hooks.on_view = [](const FleetView&) {};
    hooks.on_message = [](const PeerMessage&) {};
    auto node = FleetNode::Start(settings, std::move(hooks));
    CPPUNIT_ASSERT(node.ok());
    node_ = std::move(node.value());
  }
  ~ControlVm() {
    Stall(false);
    node_.reset();
    std::filesystem::remove_all(folder_);
  }
  ControlVm(const ControlVm&) = delete;
  ControlVm& operator=(const ControlVm&) = delete;

  // Stalls the fleet thread at the next new state.
  void Stall(bool stall) {
    const std::lock_guard lock(mutex_);
    stall_ = stall;
    changed_.notify_all();
  }
  void WaitUntilStalled() {
    std::unique_lock lock(mutex_);
    CPPUNIT_ASSERT(
        changed_.wait_for(lock, kTestTimeout, [this] { return stalled_; }));
  }
  // Returns the version of the acknowledged change.
  StateVersion Change(const std::string& organisation) {
    PutContract put;
    put.contract.organisation = OrganisationId(organisation);
    ChangeProposal proposal;
    proposal.changes = {put};
    auto done = std::make_shared<std::promise<ProposalResult>>();
    auto result = done->get_future();
    node_->Propose(proposal, SystemClock().Now() + kTestTimeout,
                   [done](const ProposalResult& it) { done->set_value(it); });
    const auto acknowledged = result.get();
    CPPUNIT_ASSERT(acknowledged.outcome == ProposalOutcome::kCommitted);
    return acknowledged.version;
  }
  bool InForceWithin(StateVersion version, std::chrono::seconds time) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, time, [&] { return in_force_ >= version; });
  }
  const FleetNode& node() const { return *node_; }

 private:
  void OnState(const FleetState& state) {
    std::unique_lock lock(mutex_);
    in_force_ = state.version;
    stalled_ = stall_;
    changed_.notify_all();
    changed_.wait(lock, [this] { return !stall_; });
    stalled_ = false;
  }

  const std::filesystem::path folder_;
  std::mutex mutex_;  // guards the next four members
  std::condition_variable changed_;
  StateVersion in_force_;
  bool stall_ = false;
  bool stalled_ = false;
  std::unique_ptr<FleetNode> node_;
};

}  // namespace

class ChangeLateAtAnEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeLateAtAnEntryTest);
  CPPUNIT_TEST(ChangeIsInForceAfterTheFleetThreadsRingWasFull);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeIsInForceAfterTheFleetThreadsRingWasFull() {
    auto entry = PeerTransport::Start({kEntry, kAnyPort, {}, {}},
                                      [](const PeerMessage&) {});
    CPPUNIT_ASSERT(entry.ok());
    ControlVm control(entry.value()->bound());
    entry.value()->UpdatePeer(PeerOf(kControlVm, control.node().address()));
    control.Stall(true);
    control.Change("hall-a");
    control.WaitUntilStalled();
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (control.node().traffic().received < kFlood) {
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() < end);
      for (int n = 0; n < 100; ++n) {
        entry.value()->Send({VmId(), kControlVm, PeerTopic::kMembership, "x"});
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const auto version = control.Change("hall-b");
    // The change is acknowledged before the fleet thread is told of it.
    std::this_thread::sleep_for(kPublished);
    control.Stall(false);
    CPPUNIT_ASSERT(control.InForceWithin(version, kInForceWithin));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeLateAtAnEntryTest);

}  // namespace baobabrun
