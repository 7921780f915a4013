// Tests that records of endpoints reach all VMs, by messages of changes and,
// where those were lost, by whole tables.
#include "registry/registry_replicator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "registry/registry.pb.h"

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
  CPPUNIT_TEST(ReportThatOneSideHeardIsNoTimeout);
  CPPUNIT_TEST(TrafficToAnEntryDoesNotGrowWithEndpointsThatReport);
  CPPUNIT_TEST(ChangesInSeriesShareMessages);
  CPPUNIT_TEST(DigestsThatDifferForAMomentCauseNoTable);
  CPPUNIT_TEST(MessagesSurviveEncoding);
  CPPUNIT_TEST(OddRecordsAreSkippedAndOthersKept);
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
    CPPUNIT_ASSERT(!At("entry").TimedOut(seconds(5), now_).contains(kEndpoint));
    Run(seconds(4));
    CPPUNIT_ASSERT(At("entry").TimedOut(seconds(5), now_).contains(kEndpoint));
    // A report to any control VM ends the timeout.
    At("c").Report(Record(2), now_);
    Run(seconds(1));
    CPPUNIT_ASSERT(!At("entry").TimedOut(seconds(5), now_).contains(kEndpoint));
    // A VM without messages from control VMs can't tell whether reports
    // stopped.
    cut_.insert(VmId("entry"));
    Run(seconds(9));
    CPPUNIT_ASSERT(!At("entry").TimedOut(seconds(5), now_).contains(kEndpoint));
  }

  // Control VM c is cut off from the others, and the endpoint reports to it.
  void ReportThatOneSideHeardIsNoTimeout() {
    At("a").Report(Record(1), now_);
    Run(seconds(1));
    cut_links_ = {{VmId("a"), VmId("c")}, {VmId("b"), VmId("c")}};
    for (std::uint64_t n = 2; n < 10; ++n) {
      At("c").Report(Record(n), now_);
      Run(seconds(1));
    }
    CPPUNIT_ASSERT(TimedOut("a"));
    CPPUNIT_ASSERT(!TimedOut("c"));
    CPPUNIT_ASSERT(!TimedOut("entry"));
    Run(seconds(6));
    CPPUNIT_ASSERT(TimedOut("entry"));
  }

  void TrafficToAnEntryDoesNotGrowWithEndpointsThatReport() {
    constexpr std::size_t kBytesPerSecond = 500;
    for (const std::size_t endpoints : {10U, 1'000U}) {
      const auto report = [&](std::uint64_t sequence) {
        for (std::size_t n = 0; n < endpoints; ++n) {
          At("a").Report(Numbered(n, sequence), now_);
        }
      };
      report(1);
      Run(seconds(1));
      bytes_to_entry_ = 0;
      for (std::uint64_t second = 2; second < 12; ++second) {
        report(second);
        Run(seconds(1));
      }
      CPPUNIT_ASSERT(bytes_to_entry_ <= 10 * kBytesPerSecond);
    }
    CPPUNIT_ASSERT(At("entry").TimedOut(seconds(5), now_).empty());
  }

  void ChangesInSeriesShareMessages() {
    messages_to_entry_ = 0;
    for (std::size_t n = 0; n < 1'000; ++n) {
      At("a").Report(Numbered(n, 1), now_);
    }
    Run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1'000},
                         At("entry").registry().Live().size());
    CPPUNIT_ASSERT(messages_to_entry_ <= 10);
    CPPUNIT_ASSERT(!At("a").NextFlush());
    At("a").Report(Numbered(0, 2), now_);
    auto draining = Numbered(1, 2);
    draining.state = EndpointState::kDraining;
    At("a").Report(draining, now_);
    draining = Numbered(2, 2);
    draining.state = EndpointState::kDraining;
    At("a").Report(draining, now_);
    CPPUNIT_ASSERT(At("a").NextFlush() == now_ + milliseconds(20));
  }

  void DigestsThatDifferForAMomentCauseNoTable() {
    At("a").Report(Record(1), now_);
    Run(seconds(2));
    tables_to_entry_ = 0;
    // Messages take up to 100 ms, so that some digests are sent while a change
    // is on its way.
    for (std::uint64_t n = 2; n < 30; ++n) {
      At("a").Report(Record(n, n % 2 == 0 ? EndpointState::kDraining
                                          : EndpointState::kReady),
                     now_);
      Run(milliseconds(1'350), /*delivery=*/2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tables_to_entry_);
  }

  void OddRecordsAreSkippedAndOthersKept() {
    using Odd = std::function<void(wire::EndpointRecord&)>;
    const std::pair<const char*, Odd> odd_changes[] = {
        {"port above 65535", [](auto& it) { it.set_port(70'000); }},
        {"no port", [](auto& it) { it.set_port(0); }},
        {"no host", [](auto& it) { it.set_host(""); }},
        {"unknown state", [](auto& it) { it.set_state(9); }},
        {"no state", [](auto& it) { it.set_state(0); }},
        {"no id", [](auto& it) { it.set_endpoint(""); }},
        {"id that isn't UTF-8", [](auto& it) { it.set_endpoint("\xff"); }},
        {"service that isn't UTF-8", [](auto& it) { it.set_service("\xff"); }},
        {"slots below zero", [](auto& it) { it.set_slots(-1); }},
    };
    RegistryMessage message;
    message.kind = RegistryKind::kTable;
    message.records = {Record(1), Record(2)};
    message.records[1].endpoint = EndpointId("odd");
    message.alive = {kEndpoint};
    for (const auto& [name, change] : odd_changes) {
      wire::Registry wire;
      CPPUNIT_ASSERT(wire.ParseFromString(EncodeRegistry(message)));
      change(*wire.mutable_records(1));
      const auto decoded = DecodeRegistry(wire.SerializeAsString());
      CPPUNIT_ASSERT_MESSAGE(name, decoded.ok());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::size_t{1},
                                   decoded.value().records.size());
      CPPUNIT_ASSERT(decoded.value().records[0].endpoint == kEndpoint);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decoded.value().alive.size());
    }
    // A record of an endpoint that is gone may have no address.
    RegistryMessage gone;
    gone.records = {EndpointRecord()};
    gone.records[0].endpoint = kEndpoint;
    gone.records[0].state = EndpointState::kGone;
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{1},
        DecodeRegistry(EncodeRegistry(gone)).value().records.size());
  }

  void MessagesSurviveEncoding() {
    auto record = Record(7, EndpointState::kDraining);
    record.models = {{ModelId("m"), 4}};
    record.loading = 5;
    record.order_stamp = 6;
    const auto decoded = DecodeRegistry(
        EncodeRegistry({RegistryKind::kTable,
                        {record},
                        {kEndpoint},
                        9,
                        {{EndpointId("s"), milliseconds(2'600)}}}));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& it = decoded.value().records.at(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, it.sequence);
    CPPUNIT_ASSERT(it.state == EndpointState::kDraining);
    CPPUNIT_ASSERT(it.models == record.models);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, it.loading);
    CPPUNIT_ASSERT(decoded.value().alive.at(0) == kEndpoint);
    const auto& silent = decoded.value().silent.at(0);
    CPPUNIT_ASSERT(silent.endpoint == EndpointId("s"));
    CPPUNIT_ASSERT(silent.silent == milliseconds(2'600));
    CPPUNIT_ASSERT(!DecodeRegistry("\xff\xff").ok());
  }

 private:
  static EndpointRecord Numbered(std::size_t n, std::uint64_t sequence) {
    auto record = Record(sequence);
    record.endpoint = EndpointId("e" + std::to_string(n));
    record.address.port = static_cast<std::uint16_t>(n + 1);
    return record;
  }

  RegistryReplicator& At(const char* vm) { return *vms_.at(VmId(vm)); }
  bool TimedOut(const char* vm) {
    return At(vm).TimedOut(seconds(5), now_).contains(kEndpoint);
  }

  bool IsCut(const VmId& from, const VmId& to) const {
    return cut_.contains(from) || cut_.contains(to) ||
           cut_links_.contains(std::minmax(from, to));
  }

  void Deliver() {
    for (bool any = true; any;) {
      any = false;
      for (auto& [vm, it] : vms_) {
        for (const auto& out : it->TakeMessages()) {
          any = true;
          if (IsCut(vm, out.to)) {
            continue;
          }
          if (out.to == VmId("entry")) {
            ++messages_to_entry_;
            tables_to_entry_ += out.message.kind == RegistryKind::kTable;
            bytes_to_entry_ += EncodeRegistry(out.message).size();
          }
          vms_.at(out.to)->Receive(vm, out.message, now_);
        }
      }
    }
  }

  // Messages are delivered in each `delivery`th step only.
  void Run(Duration time, int delivery = 1) {
    int step = 0;
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [vm, it] : vms_) {
        it->Tick(now_);
      }
      if (++step % delivery == 0) {
        Deliver();
      }
    }
  }

  Instant now_{seconds(1)};
  std::map<VmId, std::unique_ptr<RegistryReplicator>> vms_;
  std::set<VmId> cut_;
  std::set<std::pair<VmId, VmId>> cut_links_;  // the lesser VM first
  std::size_t messages_to_entry_ = 0;
  std::size_t tables_to_entry_ = 0;
  std::size_t bytes_to_entry_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegistryReplicatorTest);

}  // namespace baobabrun
