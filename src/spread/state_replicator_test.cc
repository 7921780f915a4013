// Seeded simulations of whole fleets under a manual clock. They check that
// committed changes reach every connected VM, that no VM goes back to an older
// version, and that a withdrawn key stays withdrawn.
#include "spread/state_replicator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "membership/fake_network.h"

namespace baobabrun {
namespace {

constexpr milliseconds kStep{20};
constexpr NetworkFaults kLossyNetwork{0.05, 0.05, milliseconds(1),
                                      milliseconds(40)};
constexpr int kSeeds = 20;
const VmId kReplica("r0z0v0");

// One VM with its membership and its copy of the state.
struct Vm {
  std::unique_ptr<FleetMembership> membership;
  std::unique_ptr<StateReplicator> replicator;
  StateVersion newest;  // highest version since the last start
};

class Fleet {
 public:
  Fleet(int regions, int zones, int vms, std::uint64_t seed)
      : network_(seed, kLossyNetwork),
        seed_(seed),
        label_("seed " + std::to_string(seed)) {
    for (int r = 0; r < regions; ++r) {
      for (int z = 0; z < zones; ++z) {
        for (int v = 0; v < vms; ++v) {
          PeerSettings peer;
          peer.region = RegionId("r" + std::to_string(r));
          peer.zone = ZoneId(peer.region.value() + "z" + std::to_string(z));
          peer.vm = VmId(peer.zone.value() + "v" + std::to_string(v));
          list_.push_back(peer);
        }
      }
    }
    committed_ = std::make_shared<FleetState>();
    for (const auto& it : list_) {
      Start(it.vm);
    }
  }

  // Starts or restarts a VM. Only the replica keeps its state.
  void Start(const VmId& name) {
    auto& vm = vms_[name];
    const auto& peer = Peer(name);
    vm.newest = StateVersion();
    vm.membership = std::make_unique<FleetMembership>(
        MembershipOptions{name, peer.zone, peer.region, Incarnation(++starts_),
                          list_},
        std::mt19937_64(++seed_), clock_.Now());
    StateReplicatorOptions options{
        name, peer.zone, peer.region, list_, [&vm](const VmId& other) {
          return vm.membership->StateOf(other) != MemberState::kGone;
        }};
    vm.replicator = std::make_unique<StateReplicator>(
        options, name == kReplica ? committed_ : nullptr, std::vector<KeyId>(),
        clock_.Now());
  }

  void Commit(const ChangeSet& changes) {
    auto next = Apply(*committed_, changes);
    CPPUNIT_ASSERT_MESSAGE(label_, next.ok());
    committed_ = std::make_shared<FleetState>(next.value());
    Perform(kReplica,
            At(kReplica).Committed(changes, committed_, clock_.Now()));
  }
  void CommitContract(const std::string& organisation) {
    PutContract put;
    put.contract.organisation = OrganisationId(organisation);
    Commit({put});
  }
  void Withdraw(const VmId& vm, const char* key) {
    Perform(vm, At(vm).Withdraw({KeyId(key)}, clock_.Now()));
  }

  void QueryFrom(const VmId& vm) { Perform(vm, At(vm).Query(version())); }

  void Run(Duration time) {
    for (const auto end = clock_.Now() + time; clock_.Now() < end;) {
      clock_.Advance(kStep);
      network_.Deliver(clock_.Now(), [this](const auto& it) { Receive(it); });
      for (auto& [name, vm] : vms_) {
        vm.membership->SetLocalVersion(vm.replicator->version(),
                                       vm.replicator->withdrawn_digest());
        Perform(name, vm.membership->Tick(clock_.Now()));
        Perform(name, vm.replicator->Tick(clock_.Now()));
        CheckVersionNotLower(vm);
      }
    }
  }

  void AssertAllAt(StateVersion version,
                   const std::function<bool(const VmId&)>& which = nullptr) {
    for (const auto& [name, vm] : vms_) {
      if (!which || which(name)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(label_ + " " + name.value(), version,
                                     vm.replicator->version());
      }
    }
  }
  void AssertWithdrawn(
      const char* key,
      const std::function<bool(const VmId&)>& which = nullptr) {
    for (const auto& [name, vm] : vms_) {
      if (!which || which(name)) {
        CPPUNIT_ASSERT_MESSAGE(label_ + " " + name.value(),
                               Withdrawn(*vm.replicator, KeyId(key)));
      }
    }
  }
  static bool Withdrawn(const StateReplicator& replicator, const KeyId& key) {
    const auto early = replicator.EarlyWithdrawals();
    if (std::count(early.begin(), early.end(), key) > 0) {
      return true;
    }
    const auto state = replicator.state();
    return state != nullptr &&
           std::any_of(
               state->declarations.keys.begin(), state->declarations.keys.end(),
               [&](const auto& it) { return it.key == key && it.withdrawn; });
  }

  StateReplicator& At(const VmId& vm) { return *vms_.at(vm).replicator; }
  StateVersion version() const { return committed_->version; }
  FakeNetwork& network() { return network_; }
  Instant now() const { return clock_.Now(); }
  const std::string& label() const { return label_; }
  const std::vector<PeerSettings>& list() const { return list_; }

 private:
  const PeerSettings& Peer(const VmId& vm) const {
    return *std::find_if(list_.begin(), list_.end(),
                         [&](const auto& it) { return it.vm == vm; });
  }
  void CheckVersionNotLower(Vm& vm) const {
    CPPUNIT_ASSERT_MESSAGE(label_, vm.replicator->version() >= vm.newest);
    vm.newest = vm.replicator->version();
  }
  void Perform(const VmId& from, const MembershipActions& actions) {
    for (const auto& it : actions.send) {
      network_.Send(
          {from, it.to, PeerTopic::kMembership, EncodeGossip(it.message)},
          clock_.Now());
    }
    for (const auto& it : actions.peer_versions) {
      Perform(from, At(from).OnPeerVersion(it, clock_.Now()));
    }
  }
  void Perform(const VmId& from, const StateReplicatorActions& actions) {
    for (const auto& it : actions.send) {
      network_.Send(
          {from, it.to, PeerTopic::kState, EncodeStateMessage(it.message)},
          clock_.Now());
    }
  }
  void Receive(const PeerMessage& message) {
    if (message.topic == PeerTopic::kMembership) {
      const auto gossip = DecodeGossip(message.payload);
      CPPUNIT_ASSERT(gossip.ok());
      Perform(message.to, vms_.at(message.to)
                              .membership->Receive(message.from, gossip.value(),
                                                   clock_.Now()));
    } else {
      const auto decoded = DecodeStateMessage(message.payload);
      CPPUNIT_ASSERT(decoded.ok());
      Perform(
          message.to,
          At(message.to).Receive(message.from, decoded.value(), clock_.Now()));
    }
  }

  ManualClock clock_;
  FakeNetwork network_;
  std::uint64_t seed_;
  const std::string label_;
  std::uint64_t starts_ = 0;
  std::vector<PeerSettings> list_;
  std::map<VmId, Vm> vms_;
  FleetStatePtr committed_;
};

bool InLastZone(const VmId& vm) {
  return vm.value().starts_with("r1z1");
}
void CutLastZone(Fleet& fleet) {
  fleet.network().Cut([](const VmId& from, const VmId& to) {
    return InLastZone(from) != InLastZone(to);
  });
}
ChangeSet NewKey(const char* id) {
  AddKey add;
  add.record.key = KeyId(id);
  add.record.organisation = OrganisationId("hall-a");
  add.record.hash = HashKey(id, "salt");
  return {add};
}

}  // namespace

class StateReplicatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StateReplicatorTest);
  CPPUNIT_TEST(ChangesReachEveryVm);
  CPPUNIT_TEST(CutZoneCatchesUp);
  CPPUNIT_TEST(RestartedVmsGetStateFromPeersWithoutReplica);
  CPPUNIT_TEST(OutdatedPeerRevertsNoVm);
  CPPUNIT_TEST(WithdrawalReachesCutZoneAndPersists);
  CPPUNIT_TEST(OnlyReachedVmsConfirm);
  CPPUNIT_TEST(VmHeardByOnePeerCatchesUp);
  CPPUNIT_TEST(UnknownChangesAreSentAsAWholeState);
  CPPUNIT_TEST(VmThatOnlySeemsDownGetsTheChange);
  CPPUNIT_TEST(QueriedVmRequestsTheChangeItMissed);
  CPPUNIT_TEST(ChangesCommittedTogetherReachAVmThatHasTheFirst);
  CPPUNIT_TEST(EntryForwardsNoStateWhereAControlVmCan);
  CPPUNIT_TEST(EntryForwardsWhereTheControlVmIsDown);
  CPPUNIT_TEST(VmThatIsBehindAsksControlVmsFirst);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangesReachEveryVm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Run(seconds(3));
      for (int n = 0; n < 10; ++n) {
        fleet.CommitContract("hall-" + std::to_string(n));
        fleet.CommitContract("hall-b" + std::to_string(n));
        fleet.Run(seconds(2));
        fleet.AssertAllAt(fleet.version());
      }
    }
  }

  // With some seeds more changes are committed during the cut than the history
  // holds.
  void CutZoneCatchesUp() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Run(seconds(3));
      fleet.CommitContract("hall-a");
      fleet.Run(seconds(2));
      CutLastZone(fleet);
      fleet.Run(seconds(10));
      for (std::uint64_t n = 0; n < seed * 20; ++n) {
        fleet.CommitContract("hall-" + std::to_string(n));
      }
      fleet.Run(seconds(2));
      fleet.AssertAllAt(fleet.version(),
                        [](const VmId& vm) { return !InLastZone(vm); });
      fleet.AssertAllAt(StateVersion(1), InLastZone);
      fleet.network().Heal();
      fleet.Run(seconds(2));
      fleet.AssertAllAt(fleet.version());
    }
  }

  void RestartedVmsGetStateFromPeersWithoutReplica() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Run(seconds(3));
      fleet.CommitContract("hall-a");
      fleet.Run(seconds(2));
      fleet.network().Cut([](const VmId& from, const VmId& to) {
        return from == kReplica || to == kReplica;
      });
      int restarted = 0;
      for (const auto& it : fleet.list()) {
        if (it.vm != kReplica && restarted < 8) {
          ++restarted;
          fleet.Start(it.vm);
          CPPUNIT_ASSERT(!fleet.At(it.vm).Ready(fleet.now()));
        }
      }
      fleet.Run(seconds(1));
      fleet.AssertAllAt(fleet.version());
      for (const auto& it : fleet.list()) {
        CPPUNIT_ASSERT_MESSAGE(fleet.label(),
                               fleet.At(it.vm).Ready(fleet.now()));
      }
    }
  }

  // The cut zone still has version 1 when the cut ends, while a restarted VM
  // waits for the others' versions.
  void OutdatedPeerRevertsNoVm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Run(seconds(3));
      fleet.CommitContract("hall-a");
      fleet.Run(seconds(2));
      CutLastZone(fleet);
      fleet.Run(seconds(5));
      fleet.CommitContract("hall-b");
      fleet.Run(seconds(2));
      fleet.network().Heal();
      const VmId back("r1z0v1");
      fleet.Start(back);
      while (!fleet.At(back).Ready(fleet.now())) {
        fleet.Run(kStep);
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.label(), fleet.version(),
                                   fleet.At(back).version());
      fleet.Run(seconds(2));
      fleet.AssertAllAt(fleet.version());
    }
  }

  void WithdrawalReachesCutZoneAndPersists() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Commit(NewKey("k1"));
      fleet.Run(seconds(5));
      CutLastZone(fleet);
      fleet.Run(seconds(5));
      fleet.Withdraw(VmId("r1z1v0"), "k1");
      CPPUNIT_ASSERT(
          fleet.At(VmId("r1z1v0")).WithdrawalsToPropose(fleet.now()).empty());
      fleet.Withdraw(VmId("r1z1v0"), "of no key");
      fleet.Run(seconds(2));
      fleet.AssertWithdrawn("k1", InLastZone);
      fleet.Start(VmId("r1z1v1"));
      fleet.CommitContract("hall-c");
      fleet.Run(seconds(2));
      fleet.AssertWithdrawn("k1", InLastZone);
      fleet.network().Heal();
      fleet.Run(seconds(2));
      fleet.AssertWithdrawn("k1");
      const auto due = fleet.At(kReplica).WithdrawalsToPropose(fleet.now());
      CPPUNIT_ASSERT(due == std::vector<KeyId>{KeyId("k1")});
      fleet.Commit({WithdrawKey{KeyId("k1")}});
      fleet.Run(seconds(2));
      fleet.AssertWithdrawn("k1");
      for (const auto& it : fleet.list()) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             fleet.At(it.vm).EarlyWithdrawals().size());
      }
    }
  }

  // Messages from the last zone arrive, but none reach it.
  void OnlyReachedVmsConfirm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Run(seconds(3));
      fleet.network().Cut([](const VmId& from, const VmId& to) {
        return !InLastZone(from) && InLastZone(to);
      });
      fleet.CommitContract("hall-a");
      fleet.Run(seconds(1));
      QueryRepeatedly(fleet);
      const auto missing = fleet.At(kReplica).Unconfirmed(fleet.version());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(fleet.label(), std::size_t{3},
                                   missing.size());
      CPPUNIT_ASSERT(std::all_of(missing.begin(), missing.end(), InLastZone));
      fleet.network().Heal();
      fleet.Run(seconds(3));
      QueryRepeatedly(fleet);
      CPPUNIT_ASSERT_MESSAGE(
          fleet.label(),
          fleet.At(kReplica).Unconfirmed(fleet.version()).empty());
    }
  }

  // The control log may report a new state without the changes that led to it;
  // a VM one version behind must then get the state, not an empty change set.
  void UnknownChangesAreSentAsAWholeState() {
    const VmId other("v2");
    PeerSettings peer;
    peer.vm = other;
    peer.zone = ZoneId("z");
    peer.region = RegionId("r");
    const Instant now(seconds(1));
    auto first = std::make_shared<FleetState>();
    first->version = StateVersion(4);
    auto second = std::make_shared<FleetState>(*first);
    second->version = StateVersion(5);
    second->declarations.contracts.resize(1);
    StateReplicator replicator({VmId("v1"),
                                peer.zone,
                                peer.region,
                                {peer},
                                [](const VmId&) { return true; }},
                               first, {}, now);
    const auto actions = replicator.Committed({}, second, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.send.size());
    const auto& message = actions.send[0].message;
    CPPUNIT_ASSERT(message.changes.empty());
    CPPUNIT_ASSERT(message.state == second);
  }

  // The VM misses the change while it is cut off. After that it receives all
  // messages, but only one VM receives its own.
  void VmHeardByOnePeerCatchesUp() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 2, 3, seed);
      fleet.Run(seconds(3));
      const VmId partly_cut("r1z1v0");
      fleet.network().Cut([&](const VmId& from, const VmId& to) {
        return from == partly_cut || to == partly_cut;
      });
      fleet.CommitContract("hall-a");
      fleet.Run(seconds(2));
      fleet.network().Cut([&](const VmId& from, const VmId& to) {
        return from == partly_cut && to.value() != "r1z1v2";
      });
      fleet.Run(seconds(4));
      fleet.AssertAllAt(fleet.version());
    }
  }

 private:
  // Queries may be lost, so they are repeated, as in an operators' request.
  static void QueryRepeatedly(Fleet& fleet) {
    for (int n = 0; n < 8; ++n) {
      fleet.QueryFrom(kReplica);
      fleet.Run(milliseconds(120));
    }
  }

  void VmThatOnlySeemsDownGetsTheChange() {
    std::vector<PeerSettings> fleet;
    for (const char* name : {"z0v0", "z0v1", "z0v2", "z1v0", "z1v1"}) {
      PeerSettings peer;
      peer.vm = VmId(name);
      peer.zone = ZoneId(std::string(name, 2));
      peer.region = RegionId("r");
      fleet.push_back(peer);
    }
    const std::set<VmId> down = {VmId("z0v1"), VmId("z1v0"), VmId("z1v1")};
    StateReplicator replicator(
        {VmId("z0v0"), ZoneId("z0"), RegionId("r"), fleet,
         [&down](const VmId& vm) { return !down.contains(vm); }},
        nullptr, {}, Instant(seconds(1)));
    auto state = std::make_shared<FleetState>();
    state->version = StateVersion(1);
    std::set<VmId> reached;
    std::size_t messages = 0;
    for (const auto& it :
         replicator.Committed({}, state, Instant(seconds(1))).send) {
      reached.insert(it.to);
      ++messages;
    }
    CPPUNIT_ASSERT(reached.contains(VmId("z0v1")));
    CPPUNIT_ASSERT(reached.contains(VmId("z0v2")));
    CPPUNIT_ASSERT(reached.contains(VmId("z1v0")) ||
                   reached.contains(VmId("z1v1")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, messages);
  }

  // The log reports two changes at once after a peer has sent the first one.
  void ChangesCommittedTogetherReachAVmThatHasTheFirst() {
    const Instant now(seconds(1));
    const VmId replica("replica");
    const VmId leader("leader");
    const VmId entry("entry");
    std::vector<PeerSettings> fleet;
    for (const auto& it : {replica, leader, entry}) {
      auto& peer = fleet.emplace_back();
      peer.vm = it;
      peer.zone = ZoneId("z");
      peer.region = RegionId("r");
    }
    const auto start = [&](const VmId& vm, const FleetStatePtr& state) {
      return StateReplicator({vm, ZoneId("z"), RegionId("r"), fleet, nullptr},
                             state, {}, now);
    };
    auto before = std::make_shared<FleetState>();
    before->version = StateVersion(4);
    before->declarations.contracts.resize(1);
    before->declarations.contracts[0].organisation = OrganisationId("hall-a");
    PutContract put;
    put.contract.organisation = OrganisationId("hall-b");
    const ChangeSet first = {RemoveContract{OrganisationId("hall-a")}};
    const ChangeSet second = {put};
    auto at_first = std::make_shared<FleetState>(Apply(*before, first).value());
    auto at_second =
        std::make_shared<FleetState>(Apply(*at_first, second).value());

    auto at_replica = start(replica, before);
    auto at_entry = start(entry, at_first);
    StateMessage push;
    push.kind = StateMessageKind::kPush;
    push.version = at_first->version;
    push.first_change = at_first->version;
    push.changes = {first};
    at_replica.Receive(leader, push, now);
    CPPUNIT_ASSERT_EQUAL(at_first->version, at_replica.version());

    ChangeSet both = first;
    both.insert(both.end(), second.begin(), second.end());
    Instant time = now;
    auto to_entry = at_replica.Committed(both, at_second, time).send;
    for (int round = 0; round < 20; ++round) {
      time += milliseconds(100);
      std::vector<OutgoingStateMessage> to_replica;
      for (const auto& it : to_entry) {
        if (it.to == entry) {
          const auto sent = at_entry.Receive(replica, it.message, time).send;
          to_replica.insert(to_replica.end(), sent.begin(), sent.end());
        }
      }
      to_entry.clear();
      for (const auto& it : to_replica) {
        const auto sent = at_replica.Receive(entry, it.message, time).send;
        to_entry.insert(to_entry.end(), sent.begin(), sent.end());
      }
    }
    CPPUNIT_ASSERT_EQUAL(at_second->version, at_entry.version());
  }

  void QueriedVmRequestsTheChangeItMissed() {
    const Instant now(seconds(1));
    PeerSettings leader;
    leader.vm = VmId("leader");
    PeerSettings entry;
    entry.vm = VmId("entry");
    StateReplicator at_leader(
        {leader.vm, ZoneId("z"), RegionId("r"), {leader, entry}, nullptr},
        nullptr, {}, now);
    StateReplicator at_entry(
        {entry.vm, ZoneId("z"), RegionId("r"), {leader, entry}, nullptr},
        nullptr, {}, now);
    auto state = std::make_shared<FleetState>();
    state->version = StateVersion(1);
    // The message with the change is lost.
    at_leader.Committed({}, state, now);
    const auto query = at_leader.Query(StateVersion(1)).send;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, query.size());
    std::vector<StateMessage> to_leader;
    for (const auto& it :
         at_entry.Receive(leader.vm, query[0].message, now).send) {
      to_leader.push_back(it.message);
    }
    for (const auto& message : to_leader) {
      for (const auto& it : at_leader.Receive(entry.vm, message, now).send) {
        at_entry.Receive(leader.vm, it.message, now);
      }
    }
    CPPUNIT_ASSERT(at_entry.version() == StateVersion(1));
  }

  // For any hash of the names, the state goes to the other zone's control VM.
  void EntryForwardsNoStateWhereAControlVmCan() {
    for (int n = 0; n < kSeeds; ++n) {
      CPPUNIT_ASSERT(PushedTo(ZoneWithControl("sender" + std::to_string(n))) ==
                     std::set<VmId>({kOtherControl}));
    }
  }

  void EntryForwardsWhereTheControlVmIsDown() {
    auto options = ZoneWithControl("sender");
    options.alive = [](const VmId& vm) { return vm != kOtherControl; };
    const auto to = PushedTo(options);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, to.size());
    CPPUNIT_ASSERT(!to.contains(kOtherControl));
  }

  void VmThatIsBehindAsksControlVmsFirst() {
    const auto options = ZoneWithControl("behind");
    Instant now{seconds(1)};
    StateReplicator replicator(options, nullptr, {}, now);
    const StateVersion newest(7);
    std::vector<VmId> asked;
    for (const auto& it : options.fleet) {
      for (const auto& out :
           replicator.OnPeerVersion({it.vm, newest, 0}, now).send) {
        asked.push_back(out.to);
      }
    }
    // The first VM heard is asked at once; nothing else is known then.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
    now += seconds(1);
    const auto next = replicator.Tick(now).send;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
    CPPUNIT_ASSERT_EQUAL(kOtherControl, next.at(0).to);
    now += seconds(1);
    const auto third = replicator.Tick(now).send;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.size());
    CPPUNIT_ASSERT(third.at(0).to != kOtherControl);
  }

 private:
  inline static const VmId kOtherControl{"m-control"};

  // Options of a VM in zone a; zone b has entries and one control VM.
  static StateReplicatorOptions ZoneWithControl(const std::string& self) {
    StateReplicatorOptions options;
    options.self = VmId(self);
    options.zone = ZoneId("a");
    options.region = RegionId("r");
    for (const char* name :
         {"c-entry", "f-entry", "k-entry", "m-control", "q-entry", "t-entry"}) {
      auto& peer = options.fleet.emplace_back();
      peer.vm = VmId(name);
      peer.zone = ZoneId("b");
      peer.region = options.region;
      peer.control = peer.vm == kOtherControl;
    }
    return options;
  }

  // The VMs to which a change is sent at once.
  static std::set<VmId> PushedTo(const StateReplicatorOptions& options) {
    auto first = std::make_shared<FleetState>();
    first->version = StateVersion(1);
    const Instant now{seconds(1)};
    StateReplicator replicator(options, first, {}, now);
    PutContract put;
    put.contract.organisation = OrganisationId("hall-a");
    const auto next =
        std::make_shared<FleetState>(Apply(*first, {put}).value());
    std::set<VmId> to;
    for (const auto& it : replicator.Committed({put}, next, now).send) {
      to.insert(it.to);
    }
    return to;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateReplicatorTest);

}  // namespace baobabrun
