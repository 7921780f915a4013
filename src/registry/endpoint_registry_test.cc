// Tests that merging reports gives the same records in every order of arrival.
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
  CPPUNIT_TEST(AddressBelongsToLastStartedEndpoint);
  CPPUNIT_TEST(WeightsNeverDecrease);
  CPPUNIT_TEST(NewestOrderWins);
  CPPUNIT_TEST(EveryOrderOfArrivalGivesSameRecords);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LateReportChangesNothing() {
    CPPUNIT_ASSERT(registry_.Merge(Record("a", 1, 5), kNow));
    CPPUNIT_ASSERT(
        registry_.Merge(Record("a", 1, 7, EndpointState::kDraining), kNow));
    CPPUNIT_ASSERT(!registry_.Merge(Record("a", 1, 6), kNow));
    CPPUNIT_ASSERT(StateOf(registry_, "a") == EndpointState::kDraining);
    // A report that differs only in its sequence number isn't a change, so that
    // it isn't sent to all VMs.
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
    // A message about an earlier incarnation doesn't end the later one.
    CPPUNIT_ASSERT(!registry_.MarkGone(EndpointId("a"), Incarnation(1), kNow));
    CPPUNIT_ASSERT(StateOf(registry_, "a") == EndpointState::kReady);
  }

  void AddressBelongsToLastStartedEndpoint() {
    registry_.Merge(Record("old", 1, 5), kNow);
    registry_.Merge(Record("new", 2, 1), kNow);
    CPPUNIT_ASSERT(StateOf(registry_, "old") == EndpointState::kGone);
    CPPUNIT_ASSERT(StateOf(registry_, "new") == EndpointState::kReady);
    // A delayed report of an endpoint that started earlier.
    registry_.Merge(Record("older", 1, 6), kNow);
    CPPUNIT_ASSERT(StateOf(registry_, "older") == EndpointState::kGone);
    CPPUNIT_ASSERT(StateOf(registry_, "new") == EndpointState::kReady);
  }

  void WeightsNeverDecrease() {
    auto record = Record("a", 1, 5);
    record.models = {{kModel, 3}};
    registry_.Merge(record, kNow);
    CPPUNIT_ASSERT(registry_.SetWeights(EndpointId("a"), {kModel, 4}));
    record.sequence = 6;  // sent before the load, received after it
    registry_.Merge(record, kNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                         registry_.Find(EndpointId("a"))->WeightsOf(kModel));
  }

  void NewestOrderWins() {
    registry_.Merge(Record("a", 1, 5), kNow);
    registry_.SetLoading(EndpointId("a"), 7, 20);
    registry_.SetLoading(EndpointId("a"), 6, 10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         registry_.Find(EndpointId("a"))->loading);
    registry_.SetLoading(EndpointId("a"), 0, 21);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0},
                         registry_.Find(EndpointId("a"))->loading);
  }

  void EveryOrderOfArrivalGivesSameRecords() {
    std::vector<EndpointRecord> all;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
      for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        auto record = Record(
            incarnation == 2 ? "b" : "a", incarnation, sequence,
            sequence == 3 ? EndpointState::kDraining : EndpointState::kReady,
            static_cast<std::uint16_t>(incarnation % 2));
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
