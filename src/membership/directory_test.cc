// VMs discover each other from seeds in whatever order they start, and get the
// records of VMs that join later.
#include "membership/directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace baobabrun {
namespace {

constexpr milliseconds kStep{50};

VmRecord Record(const std::string& vm, bool control) {
  return {VmId(vm), ZoneId("zone-" + vm), RegionId("r"), control, !control};
}

// Runs directories whose messages arrive at once unless the receiver is down.
class Fleet {
 public:
  void Start(const std::string& vm,
             bool control,
             const std::vector<std::string>& seeds) {
    std::vector<VmId> ids;
    ids.reserve(seeds.size());
    for (const auto& it : seeds) {
      ids.emplace_back(it);
    }
    vms_[VmId(vm)] = std::make_unique<Directory>(
        Record(vm, control), ids, std::mt19937_64(vms_.size()), now_);
  }
  void Stop(const std::string& vm) { vms_.erase(VmId(vm)); }

  void Run(Duration time) {
    for (const auto end = now_ + time; now_ < end; now_ += kStep) {
      for (auto& [vm, it] : vms_) {
        Deliver(vm, it->Tick(now_));
      }
    }
  }

  std::set<std::string> KnownTo(const std::string& vm) const {
    std::set<std::string> known;
    for (const auto& it : vms_.at(VmId(vm))->Others()) {
      known.insert(it.vm.value());
    }
    return known;
  }
  std::size_t EntriesAt(const std::string& vm) const {
    return vms_.at(VmId(vm))->CountEntryVms();
  }

 private:
  void Deliver(const VmId& from, const DirectoryActions& actions) {
    for (const auto& it : actions.send) {
      const auto to = vms_.find(it.to);
      if (to != vms_.end()) {
        Deliver(it.to, to->second->Receive(from, it.message, now_));
      }
    }
  }

  Instant now_{seconds(1)};
  std::map<VmId, std::unique_ptr<Directory>> vms_;
};

using Names = std::set<std::string>;

}  // namespace

class DirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DirectoryTest);
  CPPUNIT_TEST(AllVmsFindEachOther);
  CPPUNIT_TEST(LateVmIsAnnouncedAtOnce);
  CPPUNIT_TEST(OneReachableSeedIsEnough);
  CPPUNIT_TEST(RestartedSeedRebuildsItsRecords);
  CPPUNIT_TEST(ReplacedSeedsLeadToTheSameFleet);
  CPPUNIT_TEST(EntryVmsAreCounted);
  CPPUNIT_TEST(OddRecordsAreSkippedAndOthersKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AllVmsFindEachOther() {
    StartAll();
    fleet_.Run(seconds(4));
    CPPUNIT_ASSERT(fleet_.KnownTo("e1") == (Names{"a", "b", "c", "d", "e2"}));
    CPPUNIT_ASSERT(fleet_.KnownTo("d") == (Names{"a", "b", "c", "e1", "e2"}));
    CPPUNIT_ASSERT(fleet_.KnownTo("a") == (Names{"b", "c", "d", "e1", "e2"}));
  }

  void OddRecordsAreSkippedAndOthersKept() {
    const DirectoryMessage message{
        DirectoryKind::kTable,
        {Record("a", true), Record("\xff", true), Record("b", false)},
        7};
    const auto decoded = DecodeDirectory(EncodeDirectory(message));
    CPPUNIT_ASSERT(decoded.ok());
    const auto& records = decoded.value().records;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, records.size());
    CPPUNIT_ASSERT(records[0] == message.records[0]);
    CPPUNIT_ASSERT(records[1] == message.records[2]);
  }

  void LateVmIsAnnouncedAtOnce() {
    StartAll();
    fleet_.Run(seconds(4));
    fleet_.Start("e3", false, {"a", "b", "c"});
    fleet_.Run(kStep);
    CPPUNIT_ASSERT(fleet_.KnownTo("e1").contains("e3"));
    CPPUNIT_ASSERT(fleet_.KnownTo("e3").contains("e1"));
  }

  void OneReachableSeedIsEnough() {
    fleet_.Start("a", true, {"a", "b", "c"});
    fleet_.Start("e1", false, {"a", "b", "c"});
    fleet_.Start("e2", false, {"a", "b", "c"});
    fleet_.Run(seconds(2));
    CPPUNIT_ASSERT(fleet_.KnownTo("e2") == (Names{"a", "e1"}));
  }

  void RestartedSeedRebuildsItsRecords() {
    StartAll();
    fleet_.Run(seconds(4));
    fleet_.Stop("a");
    fleet_.Run(seconds(2));
    fleet_.Start("a", true, {"a", "b", "c"});
    fleet_.Run(seconds(1));
    CPPUNIT_ASSERT(fleet_.KnownTo("a") == (Names{"b", "c", "d", "e1", "e2"}));
  }

  void ReplacedSeedsLeadToTheSameFleet() {
    StartAll();
    fleet_.Run(seconds(4));
    fleet_.Start("e3", false, {"d"});
    fleet_.Run(seconds(2));
    CPPUNIT_ASSERT(fleet_.KnownTo("e3") ==
                   (Names{"a", "b", "c", "d", "e1", "e2"}));
  }

  void EntryVmsAreCounted() {
    StartAll();
    fleet_.Run(seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_.EntriesAt("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fleet_.EntriesAt("e1"));
  }

 private:
  void StartAll() {
    const std::vector<std::string> seeds = {"a", "b", "c"};
    fleet_.Start("e1", false, seeds);
    fleet_.Start("d", true, seeds);
    fleet_.Run(seconds(1));
    for (const auto* it : {"a", "b", "c"}) {
      fleet_.Start(it, true, seeds);
    }
    fleet_.Start("e2", false, seeds);
  }

  Fleet fleet_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DirectoryTest);

}  // namespace baobabrun
