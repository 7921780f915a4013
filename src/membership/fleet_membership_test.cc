// Seeded simulations of the membership of whole fleets under a manual clock,
// with loss, duplication, reordering, partitions, crashes, pauses and restarts.
#include "membership/fleet_membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "membership/fake_network.h"

namespace baobabrun {
namespace {

constexpr milliseconds kStep{20};
constexpr NetworkFaults kLossyNetwork{0.05, 0.05, milliseconds(1),
                                      milliseconds(60)};
constexpr NetworkFaults kSlowNetwork{0, 0, milliseconds(60), milliseconds(100)};
constexpr int kSeeds = 20;

// Simulates a fleet of `regions` x `zones` x `vms` VMs named r0z0v0 and so on.
class Fleet {
 public:
  Fleet(int regions,
        int zones,
        int vms,
        std::uint64_t seed,
        NetworkFaults faults)
      : network_(seed, faults), seed_(seed) {
    for (int r = 0; r < regions; ++r) {
      for (int z = 0; z < zones; ++z) {
        for (int v = 0; v < vms; ++v) {
          Add("r" + std::to_string(r), "z" + std::to_string(z), v);
        }
      }
    }
    for (const auto& it : list_) {
      Start(it.vm, 10);
    }
  }

  void Start(const VmId& vm, std::uint64_t incarnation) {
    const auto& peer = Peer(vm);
    MembershipOptions options{vm, peer.zone, peer.region,
                              Incarnation(incarnation), list_};
    nodes_[vm] = std::make_unique<FleetMembership>(
        options, std::mt19937_64(++seed_), clock_.Now());
  }
  void Stop(const VmId& vm) { nodes_.erase(vm); }
  void Pause(const VmId& vm) { paused_.insert(vm); }
  void Resume(const VmId& vm) { paused_.erase(vm); }

  // `check`, if set, is called after each step.
  void Run(Duration time, const std::function<void()>& check = nullptr) {
    for (const auto end = clock_.Now() + time; clock_.Now() < end;) {
      clock_.Advance(kStep);
      network_.Deliver(clock_.Now(), [this](const auto& it) { Receive(it); });
      for (auto& [vm, node] : nodes_) {
        if (!paused_.contains(vm)) {
          Perform(vm, node->Tick(clock_.Now()));
        }
      }
      if (check) {
        check();
      }
    }
  }

  // Whether every running VM other than `vm` itself sees `vm` in `state`.
  bool AllSee(const VmId& vm, MemberState state) const {
    return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& it) {
      return it.first == vm || it.second->StateOf(vm) == state;
    });
  }
  bool AllAlive() const {
    return std::all_of(list_.begin(), list_.end(), [this](const auto& it) {
      return AllSee(it.vm, MemberState::kAlive);
    });
  }
  // The number of pairs of a running VM and a VM that it sees as gone.
  int Gone() const {
    int n = 0;
    for (const auto& it : list_) {
      for (const auto& [vm, node] : nodes_) {
        n += node->StateOf(it.vm) == MemberState::kGone ? 1 : 0;
      }
    }
    return n;
  }

  FleetMembership& At(const VmId& vm) { return *nodes_.at(vm); }
  void Perform(const VmId& from, const MembershipActions& actions) {
    for (const auto& it : actions.send) {
      network_.Send(
          {from, it.to, PeerTopic::kMembership, EncodeGossip(it.message)},
          clock_.Now());
    }
  }
  FakeNetwork& network() { return network_; }
  Instant now() const { return clock_.Now(); }

 private:
  void Add(const std::string& region, const std::string& zone, int number) {
    PeerSettings peer;
    peer.vm = VmId(region + zone + "v" + std::to_string(number));
    peer.zone = ZoneId(region + zone);
    peer.region = RegionId(region);
    list_.push_back(peer);
  }
  const PeerSettings& Peer(const VmId& vm) const {
    return *std::find_if(list_.begin(), list_.end(),
                         [&](const auto& it) { return it.vm == vm; });
  }
  // A real paused VM would find waiting messages in its sockets; here they are
  // lost.
  void Receive(const PeerMessage& message) {
    const auto it = nodes_.find(message.to);
    if (it == nodes_.end() || paused_.contains(message.to)) {
      return;
    }
    const auto gossip = DecodeGossip(message.payload);
    CPPUNIT_ASSERT(gossip.ok());
    Perform(message.to,
            it->second->Receive(message.from, gossip.value(), clock_.Now()));
  }

  ManualClock clock_;
  FakeNetwork network_;
  std::uint64_t seed_;
  std::vector<PeerSettings> list_;
  std::map<VmId, std::unique_ptr<FleetMembership>> nodes_;
  std::set<VmId> paused_;
};

bool InFirstZone(const VmId& vm) {
  return vm.value().starts_with("r0z0");
}

std::string SeedLabel(std::uint64_t seed) {
  return "seed " + std::to_string(seed);
}

}  // namespace

class FleetMembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetMembershipTest);
  CPPUNIT_TEST(LossyNetworkRemovesNoVm);
  CPPUNIT_TEST(CrashAndRestartAreDetected);
  CPPUNIT_TEST(OneWayCutRemovesNoVm);
  CPPUNIT_TEST(ZoneCutIsDetectedAndRepaired);
  CPPUNIT_TEST(LongCutOfLargerFleetIsRepaired);
  CPPUNIT_TEST(PausedVmSuspectsNoVm);
  CPPUNIT_TEST(LeavingVmIsGoneAtOnce);
  CPPUNIT_TEST(LoadDoesNotGrowWithTheFleet);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LossyNetworkRemovesNoVm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(1, 4, 2, seed, kLossyNetwork);
      fleet.Run(seconds(2));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
      fleet.Run(seconds(60), [&] {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(SeedLabel(seed), 0, fleet.Gone());
      });
    }
  }

  // The clock was set back before the restart, so the new incarnation is lower
  // than the old one.
  void CrashAndRestartAreDetected() {
    const VmId vm("r0z1v0");
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(1, 4, 2, seed, kLossyNetwork);
      fleet.Run(seconds(2));
      fleet.Stop(vm);
      fleet.Run(seconds(5));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed),
                             fleet.AllSee(vm, MemberState::kGone));
      fleet.Start(vm, 3);
      fleet.Run(seconds(2));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
      CPPUNIT_ASSERT(fleet.At(vm).incarnation() > Incarnation(10));
    }
  }

  void OneWayCutRemovesNoVm() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(1, 4, 2, seed, kLossyNetwork);
      fleet.Run(seconds(2));
      fleet.network().Cut([](const VmId& from, const VmId& to) {
        return from.value() == "r0z0v0" && to.value() == "r0z1v0";
      });
      fleet.Run(seconds(30), [&] {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(SeedLabel(seed), 0, fleet.Gone());
      });
    }
  }

  void ZoneCutIsDetectedAndRepaired() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(2, 3, 3, seed, kLossyNetwork);
      fleet.Run(seconds(3));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
      fleet.network().Cut([](const VmId& from, const VmId& to) {
        return InFirstZone(from) != InFirstZone(to);
      });
      fleet.Run(seconds(8));
      CheckCut(fleet, seed);
      fleet.network().Heal();
      fleet.Run(seconds(3));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
      CPPUNIT_ASSERT(!fleet.At(VmId("r0z0v1")).ZoneIsolated(fleet.now()));
    }
  }

  // After 60 s no message carries the updates from the start of the cut any
  // more, so only the comparison of tables can repair the views.
  void LongCutOfLargerFleetIsRepaired() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      Fleet fleet(3, 3, 4, seed, kLossyNetwork);
      fleet.Run(seconds(4));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
      fleet.network().Cut([](const VmId& from, const VmId& to) {
        return InFirstZone(from) != InFirstZone(to);
      });
      fleet.Run(seconds(60));
      fleet.network().Heal();
      fleet.Run(seconds(4));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
    }
  }

  void PausedVmSuspectsNoVm() {
    const VmId vm("r0z2v0");
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      Fleet fleet(1, 4, 2, seed, kSlowNetwork);
      fleet.Run(seconds(2));
      fleet.Pause(vm);
      fleet.Run(seconds(30));
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed),
                             fleet.AllSee(vm, MemberState::kGone));
      fleet.Resume(vm);
      fleet.Run(seconds(2), [&] {
        for (const auto& it : fleet.At(vm).Members()) {
          CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed),
                                 it.state == MemberState::kAlive);
        }
      });
      CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), fleet.AllAlive());
    }
  }

  void LeavingVmIsGoneAtOnce() {
    const VmId vm("r0z1v1");
    Fleet fleet(1, 4, 2, 1, NetworkFaults{});
    fleet.Run(seconds(2));
    fleet.Perform(vm, fleet.At(vm).Leave());
    fleet.Run(milliseconds(200));
    CPPUNIT_ASSERT(fleet.AllSee(vm, MemberState::kGone));
  }

  // Compares the bytes sent per VM and second, without faults, in two fleets
  // with zones of equal size.
  void LoadDoesNotGrowWithTheFleet() {
    const auto small = BytesPerVmAndSecond(3, 3, 4);
    const auto large = BytesPerVmAndSecond(6, 6, 4);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(small) + " and " + std::to_string(large),
        large < small * 1.2 && large < 5'000);
  }

 private:
  static void CheckCut(Fleet& fleet, std::uint64_t seed) {
    const auto& inside = fleet.At(VmId("r0z0v0"));
    const auto& outside = fleet.At(VmId("r1z0v0"));
    CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), inside.ZoneIsolated(fleet.now()));
    CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed), !outside.ZoneIsolated(fleet.now()));
    CPPUNIT_ASSERT_MESSAGE(SeedLabel(seed),
                           inside.ReachableZones(fleet.now()).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4},
                         outside.ReachableZones(fleet.now()).size());
    CPPUNIT_ASSERT(inside.StateOf(VmId("r0z0v2")) == MemberState::kAlive);
    CPPUNIT_ASSERT(outside.StateOf(VmId("r0z0v2")) == MemberState::kGone);
    CPPUNIT_ASSERT(inside.StateOf(VmId("r1z2v2")) == MemberState::kGone);
  }

  static std::uint64_t BytesPerVmAndSecond(int regions, int zones, int vms) {
    constexpr int kSeconds = 10;
    Fleet fleet(regions, zones, vms, 1, NetworkFaults{});
    fleet.Run(seconds(20));
    CPPUNIT_ASSERT(fleet.AllAlive());
    const auto before = fleet.network().bytes();
    fleet.Run(seconds(kSeconds));
    return (fleet.network().bytes() - before) / kSeconds /
           static_cast<std::uint64_t>(regions * zones * vms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMembershipTest);

}  // namespace baobabrun
