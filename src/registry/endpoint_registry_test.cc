// Merging of reports: every order of arrival leads to the same records.
#include "registry/endpoint_registry.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace baobabrun {
namespace {

const Instant kNow{seconds(100)};
const ModelId kModel("m");

EndpointRecord Record(const char* id,
                      std::uint64_t incarnation,
                      std::uint64_t sequence,
                      EndpointState state = EndpointState::kReady,
                      std::uint16_t port = 1) {
  EndpointRecord record;
  record.endpoint = EndpointId(id);
  record.service = "desk";
  record.address = {"10.0.0.1", port};
  record.incarnation = Incarnation(incarnation);
  record.sequence = sequence;
  record.state = state;
  record.slots = 4;
  return record;
}

EndpointState StateOf(const EndpointRegistry& registry, const char* id) {
  return registry.Find(EndpointId(id))->state;
}

}  // namespace

class EndpointRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointRegistryTest);
  CPPUNIT_TEST(LateReportChangesNothing);
  CPPUNIT_TEST(GoneIsFinalWithinAnIncarnation);
  CPPUNIT_TEST(AddressBelongsToTheLastBorn);
  CPPUNIT_TEST(WeightsOnlyRise);
  CPPUNIT_TEST(NewestOrderHolds);
  CPPUNIT_TEST(EveryOrderOfArrivalGivesTheSame);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateReportChangesNothing() {
    CPPUNIT_ASSERT(registry_.Merge(Record("a", 1, 5), kNow));
    CPPUNIT_ASSERT(
        registry_.Merge(Record("a", 1, 7, EndpointState::kDraining), kNow));
    CPPUNIT_ASSERT(!registry_.Merge(Record("a", 1, 6), kNow));
    CPPUNIT_ASSERT(StateOf(registry_, "a") == EndpointState::kDraining);
    // A plain report is no change, so that it isn't told to all VMs.
    CPPUNIT_ASSERT(
        !registry_.Merge(Record("a", 1, 8, EndpointState::kDraining), kNow));
  }

  void GoneIsFinalWithinAnIncarnation() {
    registry_.Merge(Record("a", 1, 5), kNow);
    CPPUNIT_ASSERT(registry_.MarkGone(EndpointId("a"), Incarnation(), kNow));
    CPPUNIT_ASSERT(!registry_.Merge(Record("a", 1, 9), kNow));
    CPPUNIT_ASSERT(StateOf(registry_, "a") == EndpointState::kGone);
    CPPUNIT_ASSERT(registry_.Merge(Record("a", 2, 1), kNow));
    CPPUNIT_ASSERT(StateOf(registry_, "a") == EndpointState::kReady);
    // What was said of an earlier life doesn't end the later one.
    CPPUNIT_ASSERT(!registry_.MarkGone(EndpointId("a"), Incarnation(1), kNow));
    CPPUNIT_ASSERT(StateOf(registry_, "a") == EndpointState::kReady);
  }

  void AddressBelongsToTheLastBorn() {
    registry_.Merge(Record("old", 1, 5), kNow);
    registry_.Merge(Record("new", 2, 1), kNow);
    CPPUNIT_ASSERT(StateOf(registry_, "old") == EndpointState::kGone);
    CPPUNIT_ASSERT(StateOf(registry_, "new") == EndpointState::kReady);
    // A report of the old one that was held up on the way.
    registry_.Merge(Record("older", 1, 6), kNow);
    CPPUNIT_ASSERT(StateOf(registry_, "older") == EndpointState::kGone);
    CPPUNIT_ASSERT(StateOf(registry_, "new") == EndpointState::kReady);
  }

  void WeightsOnlyRise() {
    auto record = Record("a", 1, 5);
    record.models = {{kModel, 3}};
    registry_.Merge(record, kNow);
    CPPUNIT_ASSERT(registry_.SetWeights(EndpointId("a"), {kModel, 4}));
    record.sequence = 6;  // said before the load, received after it
    registry_.Merge(record, kNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         registry_.Find(EndpointId("a"))->WeightsOf(kModel));
  }

  void NewestOrderHolds() {
    registry_.Merge(Record("a", 1, 5), kNow);
    registry_.SetLoading(EndpointId("a"), 7, 20);
    registry_.SetLoading(EndpointId("a"), 6, 10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         registry_.Find(EndpointId("a"))->loading);
    registry_.SetLoading(EndpointId("a"), 0, 21);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         registry_.Find(EndpointId("a"))->loading);
  }

  void EveryOrderOfArrivalGivesTheSame() {
    std::vector<EndpointRecord> all;
    for (std::uint64_t born = 1; born <= 3; ++born) {
      for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        auto record = Record(
            born == 2 ? "b" : "a", born, sequence,
            sequence == 3 ? EndpointState::kDraining : EndpointState::kReady,
            static_cast<std::uint16_t>(born % 2));
        record.models = {{kModel, sequence}};
        record.loading = sequence % 2;
        record.order_stamp = sequence;
        all.push_back(std::move(record));
      }
    }
    all.push_back(Record("b", 2, 9, EndpointState::kGone));
    std::optional<std::uint64_t> digest;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      std::shuffle(all.begin(), all.end(), std::mt19937_64(seed));
      EndpointRegistry registry;
      for (const auto& it : all) {
        registry.Merge(it, kNow);
      }
      digest = digest.value_or(registry.digest());
      CPPUNIT_ASSERT_EQUAL(*digest, registry.digest());
    }
  }

 private:
  EndpointRegistry registry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);

}  // namespace baobabrun
