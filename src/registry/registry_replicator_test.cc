// Tests that records of endpoints reach all VMs, by messages of changes and,
// where those were lost, by whole tables.
#include "registry/registry_replicator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

namespace baobabrun {
namespace {

constexpr milliseconds kStep{50};
const EndpointId kEndpoint("e");

EndpointRecord Record(std::uint64_t sequence,
                      EndpointState state = EndpointState::kReady) {
  EndpointRecord record;
  record.endpoint = kEndpoint;
  record.service = "desk";
  record.address = {"10.0.0.1", 1};
  record.incarnation = Incarnation(1);
  record.sequence = sequence;
  record.state = state;
  return record;
}

}  // namespace

class RegistryReplicatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegistryReplicatorTest);
  CPPUNIT_TEST(ChangesReachAllAtOnce);
  CPPUNIT_TEST(LostChangesAreRepairedByTables);
  CPPUNIT_TEST(EndpointTimeoutDiffersFromNetworkCut);
  CPPUNIT_TEST(MessagesSurviveEncoding);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (const auto* it : {"a", "b", "c", "entry"}) {
      const bool control = std::string(it) != "entry";
      vms_[VmId(it)] = std::make_unique<RegistryReplicator>(control);
    }
    for (auto& [vm, it] : vms_) {
      std::vector<RegistryReplicator::Peer> peers;
      for (const auto& [other, replicator] : vms_) {
        if (other != vm) {
          peers.push_back({other, other != VmId("entry")});
        }
      }
      it->SetPeers(std::move(peers));
    }
  }

  void ChangesReachAllAtOnce() {
    At("a").Report(Record(1), now_);
    Deliver();
    for (const auto& [vm, it] : vms_) {
      CPPUNIT_ASSERT_MESSAGE(vm.value(),
                             it->registry().Find(kEndpoint) != nullptr);
    }
    At("b").Report(Record(2, EndpointState::kDraining), now_);
    Deliver();
    CPPUNIT_ASSERT(At("entry").registry().Find(kEndpoint)->state ==
                   EndpointState::kDraining);
  }

  void LostChangesAreRepairedByTables() {
    cut_.insert(VmId("entry"));
    At("a").Report(Record(1), now_);
    Run(seconds(1));
    CPPUNIT_ASSERT(At("entry").registry().Find(kEndpoint) == nullptr);
    CPPUNIT_ASSERT(!At("entry").has_table());
    cut_.clear();
    Run(seconds(1));
    CPPUNIT_ASSERT(At("entry").registry().Find(kEndpoint) != nullptr);
    CPPUNIT_ASSERT(At("entry").has_table());
  }

  void EndpointTimeoutDiffersFromNetworkCut() {
    At("a").Report(Record(1), now_);
    Run(seconds(2));
    CPPUNIT_ASSERT(!At("entry").ReportsTimedOut(kEndpoint, seconds(5), now_));
    Run(seconds(4));
    CPPUNIT_ASSERT(At("entry").ReportsTimedOut(kEndpoint, seconds(5), now_));
    // A report to any control VM ends the timeout.
    At("c").Report(Record(2), now_);
    Run(seconds(1));
    CPPUNIT_ASSERT(!At("entry").ReportsTimedOut(kEndpoint, seconds(5), now_));
    // A VM without messages from control VMs can't tell whether reports
    // stopped.
    cut_.insert(VmId("entry"));
    Run(seconds(9));
    CPPUNIT_ASSERT(!At("entry").ReportsTimedOut(kEndpoint, seconds(5), now_));
  }

  void MessagesSurviveEncoding() {
    auto record = Record(7, EndpointState::kDraining);
    record.models = {{ModelId("m"), 4}};
    record.loading = 5;
    record.order_stamp = 6;
    const auto decoded = DecodeRegistry(
        EncodeRegistry({RegistryKind::kTable, {record}, {kEndpoint}, 9}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& it = decoded.value().records.at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, it.sequence);
    CPPUNIT_ASSERT(it.state == EndpointState::kDraining);
    CPPUNIT_ASSERT(it.models == record.models);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, it.loading);
    CPPUNIT_ASSERT(decoded.value().alive.at(0) == kEndpoint);
    CPPUNIT_ASSERT(!DecodeRegistry("\xff\xff").ok());
  }

 private:
  RegistryReplicator& At(const char* vm) { return *vms_.at(VmId(vm)); }

  void Deliver() {
    for (bool any = true; any;) {
      any = false;
      for (auto& [vm, it] : vms_) {
        for (const auto& out : it->TakeMessages()) {
          any = true;
          if (!cut_.contains(vm) && !cut_.contains(out.to)) {
            vms_.at(out.to)->Receive(vm, out.message, now_);
          }
        }
      }
    }
  }

  void Run(Duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [vm, it] : vms_) {
        it->Tick(now_);
      }
      Deliver();
    }
  }

  Instant now_{seconds(1)};
  std::map<VmId, std::unique_ptr<RegistryReplicator>> vms_;
  std::set<VmId> cut_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryReplicatorTest);

}  // namespace baobabrun
