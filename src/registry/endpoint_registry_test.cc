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

bool IsLive(const EndpointRegistry& registry, const char* id) {
  const auto& live = registry.Live();
  return std::any_of(live.begin(), live.end(), [id](const auto* it) {
    return it->endpoint == EndpointId(id);
  });
}

// What another writer may say of the endpoint "a", which has the first port and
// started in incarnation 10.
struct Claim {
  const char* name;
  EndpointRecord record;
};

std::vector<Claim> ClaimsOfUnknownService() {
  const auto claim = [](const char* id, std::uint64_t incarnation,
                        EndpointState state) {
    auto record = Record(id, incarnation, 1, state);
    record.service = "billing";
    return record;
  };
  return {{"another id", claim("x", 20, EndpointState::kReady)},
          {"another id, draining", claim("x", 20, EndpointState::kDraining)},
          {"another id, far ahead", claim("x", 9'999, EndpointState::kReady)},
          {"another id, gone", claim("x", 20, EndpointState::kGone)},
          {"its own id", claim("a", 20, EndpointState::kReady)},
          {"its own id, draining", claim("a", 20, EndpointState::kDraining)},
          {"its own id, far ahead", claim("a", 9'999, EndpointState::kReady)},
          {"its own id, gone", claim("a", 20, EndpointState::kGone)},
          {"its own incarnation", claim("a", 10, EndpointState::kDraining)}};
}

}  // namespace

class EndpointRegistryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointRegistryTest);
  CPPUNIT_TEST(LateReportChangesNothing);
  CPPUNIT_TEST(GoneIsFinalWithinAnIncarnation);
  CPPUNIT_TEST(AddressBelongsToLastStartedEndpoint);
  CPPUNIT_TEST(ReportOfAnUnknownServiceTakesNothing);
  CPPUNIT_TEST(ReportsBeforeTheFirstManifestTakeNothingForLong);
  CPPUNIT_TEST(ServiceNamedLaterTakesNothingFromEndpointsThatReport);
  CPPUNIT_TEST(EndpointsOfAServiceNamedLaterAreKnown);
  CPPUNIT_TEST(EndpointsOfADroppedServiceComeBackWithIt);
  CPPUNIT_TEST(EndpointOutlivesAWrongReportOfAKnownService);
  CPPUNIT_TEST(DelayedReportsBringNoEndpointBack);
  CPPUNIT_TEST(AddressThatGoesToAnotherServiceIsItsAtOnce);
  CPPUNIT_TEST(EndpointThatAnEarlierVersionTookForGoneComesBack);
  CPPUNIT_TEST(DeregisteredEndpointIsNotBroughtBackByItsReports);
  CPPUNIT_TEST(EndpointDeregistersWhoeverClaimsItsId);
  CPPUNIT_TEST(ExpiryBringsNoEarlierEndpointBack);
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
    CPPUNIT_ASSERT(!IsLive(registry_, "old"));
    CPPUNIT_ASSERT(IsLive(registry_, "new"));
    // A delayed report of an endpoint that started earlier.
    registry_.Merge(Record("older", 1, 6), kNow);
    CPPUNIT_ASSERT(!IsLive(registry_, "older"));
    CPPUNIT_ASSERT(IsLive(registry_, "new"));
    // The end of the new one doesn't bring the others back.
    registry_.MarkGone(EndpointId("new"), Incarnation(2), kNow);
    CPPUNIT_ASSERT(registry_.Live().empty());
  }

  // Guards against reports of another writer that take sound endpoints out of
  // service, in whatever order they come.
  void ReportOfAnUnknownServiceTakesNothing() {
    for (const auto& it : ClaimsOfUnknownService()) {
      for (const bool first : {true, false}) {
        EndpointRegistry registry;
        registry.SetServices({"desk"});
        if (first) {
          registry.Report(it.record, kNow);
        }
        registry.Report(Record("a", 10, 5), kNow);
        if (!first) {
          registry.Report(it.record, kNow);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t{1},
                                     registry.LiveOf("desk").size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t{1},
                                     registry.Live().size());
        CPPUNIT_ASSERT_MESSAGE(it.name,
                               StateOf(registry, "a") == EndpointState::kReady);
        // What the endpoint says goes on to count.
        registry.Report(Record("a", 10, 6, EndpointState::kDraining), kNow);
        CPPUNIT_ASSERT_MESSAGE(
            it.name, StateOf(registry, "a") == EndpointState::kDraining);
        registry.MarkGone(EndpointId("a"), Incarnation(10), kNow);
        CPPUNIT_ASSERT_MESSAGE(it.name, registry.Live().empty());
      }
    }
  }

  // All services count as named until there is a manifest.
  void ReportsBeforeTheFirstManifestTakeNothingForLong() {
    for (const auto& it : ClaimsOfUnknownService()) {
      EndpointRegistry registry;
      registry.Report(Record("a", 10, 5), kNow);
      registry.Report(it.record, kNow);
      registry.SetServices({"desk"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t{1},
                                   registry.LiveOf("desk").size());
    }
  }

  void ServiceNamedLaterTakesNothingFromEndpointsThatReport() {
    for (const auto& it : ClaimsOfUnknownService()) {
      EndpointRegistry registry;
      registry.SetServices({"desk"});
      registry.Report(Record("a", 10, 1), kNow);
      registry.Report(it.record, kNow);
      ReportOften(registry, Record("a", 10, 2));
      registry.SetServices({"billing", "desk"});
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t{1},
                                   registry.LiveOf("desk").size());
    }
  }

  void EndpointsOfAServiceNamedLaterAreKnown() {
    registry_.SetServices({"desk"});
    auto record = Record("b", 10, 1);
    record.service = "billing";
    registry_.Report(record, kNow);
    CPPUNIT_ASSERT(registry_.Live().empty());
    registry_.SetServices({"billing", "desk"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry_.LiveOf("billing").size());
  }

  // A VM whose manifest is older takes the service for dropped as well.
  void EndpointsOfADroppedServiceComeBackWithIt() {
    registry_.SetServices({"desk"});
    registry_.Report(Record("a", 10, 1), kNow);
    registry_.SetServices({});
    CPPUNIT_ASSERT(registry_.Live().empty());
    auto claim = Record("x", 20, 1);
    claim.service = "billing";
    registry_.Report(claim, kNow);
    registry_.SetServices({"desk"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry_.LiveOf("desk").size());
  }

  void EndpointOutlivesAWrongReportOfAKnownService() {
    registry_.SetServices({"desk", "lists"});
    registry_.Report(Record("a", 10, 1), kNow);
    auto claim = Record("x", 20, 1);
    claim.service = "lists";
    registry_.Report(claim, kNow);
    CPPUNIT_ASSERT(!IsLive(registry_, "a"));
    ReportOften(registry_, Record("a", 10, 2));
    CPPUNIT_ASSERT(IsLive(registry_, "a"));
    // The record tells other VMs.
    EndpointRegistry other;
    for (const auto& it : registry_.All()) {
      other.Merge(it, kNow);
    }
    CPPUNIT_ASSERT(IsLive(other, "a"));
    CPPUNIT_ASSERT_EQUAL(registry_.digest(), other.digest());
  }

  // What was held up on its way comes all at once, or once.
  void DelayedReportsBringNoEndpointBack() {
    registry_.Report(Record("old", 10, 1), kNow);
    registry_.Report(Record("new", 20, 1), kNow);
    for (std::uint64_t n = 2; n < 10; ++n) {
      registry_.Report(Record("old", 10, n), kNow + seconds(1));
    }
    CPPUNIT_ASSERT(!IsLive(registry_, "old"));
    registry_.Report(Record("old", 10, 9), kNow + seconds(9));
    CPPUNIT_ASSERT(!IsLive(registry_, "old"));
    CPPUNIT_ASSERT(IsLive(registry_, "new"));
  }

  void AddressThatGoesToAnotherServiceIsItsAtOnce() {
    registry_.SetServices({"desk", "lists"});
    registry_.Report(Record("a", 10, 1), kNow);
    auto record = Record("b", 20, 1);
    record.service = "lists";
    registry_.Report(record, kNow);
    CPPUNIT_ASSERT(registry_.LiveOf("desk").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, registry_.LiveOf("lists").size());
  }

  // It did so as another writer had reported an unknown service at the address.
  void EndpointThatAnEarlierVersionTookForGoneComesBack() {
    auto claim = Record("x", 20, 1);
    claim.service = "billing";
    registry_.Merge(Record("a", 10, 5, EndpointState::kGone), kNow);
    registry_.Merge(claim, kNow);
    registry_.SetServices({"desk"});
    CPPUNIT_ASSERT(!IsLive(registry_, "a"));
    ReportOften(registry_, Record("a", 10, 6));
    CPPUNIT_ASSERT(IsLive(registry_, "a"));
    // Other VMs may still hold the earlier record.
    registry_.Merge(Record("a", 10, 5, EndpointState::kGone), kNow);
    CPPUNIT_ASSERT(IsLive(registry_, "a"));
  }

  void DeregisteredEndpointIsNotBroughtBackByItsReports() {
    registry_.Report(Record("a", 10, 1), kNow);
    registry_.Report(Record("x", 20, 1), kNow);
    registry_.MarkGone(EndpointId("a"), Incarnation(10), kNow);
    ReportOften(registry_, Record("a", 10, 2));
    CPPUNIT_ASSERT(!IsLive(registry_, "a"));
  }

  void EndpointDeregistersWhoeverClaimsItsId() {
    registry_.SetServices({"desk", "lists"});
    registry_.Report(Record("a", 10, 1), kNow);
    auto claim = Record("a", 20, 1);
    claim.service = "lists";
    registry_.Report(claim, kNow);
    CPPUNIT_ASSERT(registry_.MarkGone(EndpointId("a"), Incarnation(10), kNow));
    ReportOften(registry_, Record("a", 10, 2));
    CPPUNIT_ASSERT(registry_.LiveOf("desk").empty());
  }

  void ExpiryBringsNoEarlierEndpointBack() {
    registry_.Report(Record("old", 10, 1), kNow);
    registry_.Report(Record("new", 20, 1), kNow);
    registry_.MarkGone(EndpointId("new"), Incarnation(20), kNow);
    registry_.RemoveExpired(kNow + std::chrono::minutes(11));
    CPPUNIT_ASSERT(registry_.All().empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, registry_.digest());
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
  // The endpoint goes on to report, for some seconds.
  static void ReportOften(EndpointRegistry& registry, EndpointRecord record) {
    for (int n = 1; n <= 5; ++n) {
      registry.Report(record, kNow + n * milliseconds(1'200));
      ++record.sequence;
    }
  }

  EndpointRegistry registry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointRegistryTest);

}  // namespace baobabrun
