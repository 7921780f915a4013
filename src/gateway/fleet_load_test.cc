// Tests the predictions of the load model and how events correct them.
#include "gateway/fleet_load.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>
#include <vector>

namespace baobabrun {
namespace {

const EndpointId kA("a");
const EndpointId kB("b");
const VmId kVm("vm");

LoadEndpoint At(const EndpointId& endpoint) {
  return {endpoint,
          {"10.0.0.1", endpoint == kA ? std::uint16_t{1} : std::uint16_t{2}},
          ZoneId("z"),
          100'000};
}

const std::vector<LoadEndpoint> kBoth = {At(kA), At(kB)};

CallWork Sheet(const char* own, std::uint64_t weights = 1) {
  return WorkOf({{"book", 2'000}, {"sheet", 4'000}, {own, 1'000}}, "", weights);
}

}  // namespace

class FleetLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLoadTest);
  CPPUNIT_TEST(CachedPartsNeedNoPrefill);
  CPPUNIT_TEST(WaitingCallsDelayTheNextCall);
  CPPUNIT_TEST(PartsCanBeFetchedAfterPrefill);
  CPPUNIT_TEST(StoreServesPartsThatEnginesEvicted);
  CPPUNIT_TEST(MostlyUnsharedPromptsAreNotSaved);
  CPPUNIT_TEST(FetchesWaitForABusyLink);
  CPPUNIT_TEST(FetchedPartsNeedNoPrefill);
  CPPUNIT_TEST(CacheReportsOverridePredictions);
  CPPUNIT_TEST(PartlyCachedPartIsCounted);
  CPPUNIT_TEST(SlowEngineIsDetected);
  CPPUNIT_TEST(PrefillDelaysStreams);
  CPPUNIT_TEST(PartsAreNotSharedBetweenWeightsOrScopes);
  CPPUNIT_TEST(PartsOfAFailedAttemptAreNotCached);
  CPPUNIT_TEST(OldAttemptsExpire);
  CPPUNIT_TEST(FullMemoryDelaysCalls);
  CPPUNIT_TEST(EndpointIsNoSourceForItself);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CachedPartsNeedNoPrefill() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, ToPrefill(kA, Sheet("x")));
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ToPrefill(kA, Sheet("y")));
    const auto work =
        WorkOf({{"book", 2'000}, {"other", 4'000}, {"z", 10}}, "", 1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, ToPrefill(kA, work));
  }

  void WaitingCallsDelayTheNextCall() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    const auto first = Estimate(kA, Sheet("y")).first_token;
    CPPUNIT_ASSERT(first > Estimate(kB, Sheet("y")).first_token);
    now_ += milliseconds(50);
    CPPUNIT_ASSERT(Estimate(kA, Sheet("y")).first_token < first);
    load_.Began({kVm, 1}, now_);
    CPPUNIT_ASSERT(Estimate(kA, Sheet("y")).first_token <
                   milliseconds(1'000 / 40 + 20));
    CPPUNIT_ASSERT_EQUAL(1, load_.InFlight(kA));
    load_.Ended({kVm, 1}, now_);
    CPPUNIT_ASSERT_EQUAL(0, load_.InFlight(kA));
  }

  void PartsCanBeFetchedAfterPrefill() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    CPPUNIT_ASSERT(!Estimate(kB, Sheet("y")).fetch_from);
    load_.Began({kVm, 1}, now_);
    const auto estimate = Estimate(kB, Sheet("y"));
    CPPUNIT_ASSERT(estimate.fetch_from == At(kA).address);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, estimate.fetched);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, estimate.to_prefill);
    // An endpoint that isn't among the given ones isn't used as a source.
    CPPUNIT_ASSERT(!EstimateAmong(At(kB), Sheet("y"), {At(kB)}).fetch_from);
  }

  void StoreServesPartsThatEnginesEvicted() {
    const EndpointId store("store");
    const std::vector<LoadEndpoint> all = {
        At(kA), At(kB), {store, {"10.0.0.3", 3}, ZoneId("z"), 500'000}};
    CPPUNIT_ASSERT(load_.WorthSaving(store, Sheet("x")));
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_, store);
    load_.Began({kVm, 1}, now_);
    CPPUNIT_ASSERT(!load_.WorthSaving(store, Sheet("y")));
    load_.ClearCache(kA);
    now_ += seconds(1);
    const auto estimate = EstimateAmong(At(kA), Sheet("y"), all);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, estimate.fetched);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, estimate.to_prefill);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{3}, estimate.fetch_from->port);
  }

  void MostlyUnsharedPromptsAreNotSaved() {
    const EndpointId store("store");
    CPPUNIT_ASSERT(load_.WorthSaving(store, Sheet("x")));
    CPPUNIT_ASSERT(!load_.WorthSaving(
        store, WorkOf({{"book", 2'000}, {"x", 9'000}}, "", 1)));
    // No part of this prompt can serve other calls.
    CPPUNIT_ASSERT(!load_.WorthSaving(store, WorkOf({{"x", 10}}, "", 1)));
  }

  void FetchesWaitForABusyLink() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    load_.Began({kVm, 1}, now_);
    const auto idle = Estimate(kB, Sheet("y")).first_token;
    auto work = Sheet("y");
    work.fetched = 6'000;
    work.fetched_from = kA;
    load_.Sent({kVm, 2}, kB, work, now_);
    const EndpointId other("c");
    const auto busy = EstimateAmong(At(other), Sheet("z"), kBoth);
    CPPUNIT_ASSERT(busy.fetch_from.has_value());
    CPPUNIT_ASSERT(busy.first_token > idle);
    now_ += seconds(1);
    CPPUNIT_ASSERT(EstimateAmong(At(other), Sheet("z"), kBoth).first_token ==
                   idle);
  }

  void FetchedPartsNeedNoPrefill() {
    auto work = Sheet("x");
    work.fetched = 6'000;
    work.fetched_from = kB;
    load_.Sent({kVm, 1}, kA, work, now_);
    // Only the call's own 1,000 tokens keep the engine busy.
    CPPUNIT_ASSERT(Estimate(kA, Sheet("y")).first_token <
                   milliseconds(2 * 1'000 / 40 + 20));
  }

  void CacheReportsOverridePredictions() {
    const auto sheet = Sheet("x").parts[1].key;
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    // This report is older than the attempt.
    CPPUNIT_ASSERT(!load_.ApplyCacheReport(kA, sheet, 0, now_));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ToPrefill(kA, Sheet("y")));
    now_ += seconds(1);
    CPPUNIT_ASSERT(load_.ApplyCacheReport(kA, sheet, 0, now_));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4'000}, ToPrefill(kA, Sheet("y")));
    CPPUNIT_ASSERT(load_.ApplyCacheReport(kA, sheet, 4'000, now_));
    CPPUNIT_ASSERT(!load_.ApplyCacheReport(kA, sheet, 4'000, now_));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ToPrefill(kA, Sheet("y")));
  }

  void PartlyCachedPartIsCounted() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    now_ += seconds(1);
    CPPUNIT_ASSERT(
        load_.ApplyCacheReport(kA, Sheet("x").parts[1].key, 1'500, now_));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2'500}, ToPrefill(kA, Sheet("y")));
    // Prefilling the part again makes it complete.
    load_.Sent({kVm, 2}, kA, Sheet("y"), now_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, ToPrefill(kA, Sheet("z")));
  }

  void SlowEngineIsDetected() {
    const auto before = Estimate(kA, Sheet("n")).first_token;
    for (std::uint64_t n = 1; n <= 20; ++n) {
      const auto work = WorkOf({{std::to_string(n), 8'000}}, "", 1);
      const auto predicted = Estimate(kA, work).first_token;
      load_.Sent({kVm, n}, kA, work, now_);
      now_ += n <= 10 ? 2 * predicted : predicted;
      load_.Began({kVm, n}, now_);
      load_.Ended({kVm, n}, now_);
      now_ += seconds(1);
    }
    CPPUNIT_ASSERT(load_.Slowness(kA) > 1.5);
    CPPUNIT_ASSERT(load_.Slowness(kA) < 2.5);
    CPPUNIT_ASSERT(Estimate(kA, Sheet("n")).first_token > before);
    CPPUNIT_ASSERT_EQUAL(1.0, load_.Slowness(kB));
  }

  void PrefillDelaysStreams() {
    auto reply = WorkOf({{"reply", 500}}, "", 1);
    reply.outputs = 100;
    load_.Sent({kVm, 1}, kA, reply, now_);
    load_.Began({kVm, 1}, now_);
    CPPUNIT_ASSERT(Estimate(kA, Sheet("x")).delay_to_others >
                   Estimate(kB, Sheet("x")).delay_to_others);
    load_.Sent({kVm, 2}, kB, Sheet("x"), now_);
    load_.Began({kVm, 2}, now_);
    CPPUNIT_ASSERT(Estimate(kB, reply).delay_from_others >
                   Estimate(kA, reply).delay_from_others);
    now_ += seconds(10);
    CPPUNIT_ASSERT(Estimate(kB, reply).delay_from_others < milliseconds(1));
  }

  void PartsAreNotSharedBetweenWeightsOrScopes() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    load_.Began({kVm, 1}, now_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, ToPrefill(kA, Sheet("y", 2)));
    CPPUNIT_ASSERT(!Estimate(kB, Sheet("y", 2)).fetch_from);
    const auto isolated =
        WorkOf({{"book", 2'000}, {"sheet", 4'000}, {"y", 1'000}}, "hall", 1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, ToPrefill(kA, isolated));
    load_.ClearCache(kA);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, ToPrefill(kA, Sheet("y")));
  }

  void PartsOfAFailedAttemptAreNotCached() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    load_.Ended({kVm, 1}, now_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{6'000}, ToPrefill(kA, Sheet("y")));
    CPPUNIT_ASSERT(Estimate(kA, Sheet("y")).first_token ==
                   Estimate(kB, Sheet("y")).first_token);
  }

  void OldAttemptsExpire() {
    load_.Sent({kVm, 1}, kA, Sheet("x"), now_);
    now_ += seconds(30);
    load_.Expire(now_);
    CPPUNIT_ASSERT_EQUAL(0, load_.InFlight(kA));
    // Events of an attempt that has expired, or that was never reported, have
    // no effect.
    load_.Began({kVm, 1}, now_);
    load_.Ended({kVm, 9}, now_);
    CPPUNIT_ASSERT_EQUAL(0, load_.InFlight(kA));
  }

  void FullMemoryDelaysCalls() {
    for (std::uint64_t n = 1; n <= 14; ++n) {
      load_.Sent({kVm, n}, kA, Sheet("x"), now_);
      load_.Began({kVm, n}, now_);
    }
    CPPUNIT_ASSERT(Estimate(kA, Sheet("x")).first_token >
                   Estimate(kB, Sheet("x")).first_token);
  }

  // Sources are looked up once for all endpoints. Each endpoint's estimate must
  // be the one that it gets from the other endpoints alone.
  void EndpointIsNoSourceForItself() {
    std::mt19937_64 random(1);
    constexpr const char* kOwn[] = {"a", "b", "c"};
    for (int round = 0; round < 200; ++round) {
      FleetLoad load{FleetLoadOptions()};
      std::vector<LoadEndpoint> all;
      for (std::uint16_t n = 0; n < 6; ++n) {
        all.push_back({EndpointId("e" + std::to_string(n)),
                       {"10.0.0.1", n},
                       ZoneId(n % 2 == 0 ? "z" : "y"),
                       100'000});
      }
      for (std::uint64_t n = 0; n < random() % 12; ++n) {
        auto work = Sheet(kOwn[random() % std::size(kOwn)]);
        const auto& at = all[random() % all.size()];
        load.Sent({VmId("v"), n}, at.endpoint, work, now_);
        if (random() % 3 != 0) {
          load.Began({VmId("v"), n}, now_);
        }
        if (random() % 3 == 0) {
          work.fetched = 5'000;
          work.fetched_from = all[random() % all.size()].endpoint;
          load.Sent({VmId("w"), n}, at.endpoint, work, now_);
        }
      }
      const auto work = Sheet(kOwn[random() % std::size(kOwn)]);
      const auto sources = load.SourcesOf(work, all, now_);
      for (const auto& it : all) {
        auto others = all;
        std::erase_if(others, [&it](const auto& other) {
          return other.endpoint == it.endpoint;
        });
        const auto estimate = load.Estimate(it, work, sources, now_);
        const auto wanted =
            load.Estimate(it, work, load.SourcesOf(work, others, now_), now_);
        CPPUNIT_ASSERT(estimate.first_token == wanted.first_token);
        CPPUNIT_ASSERT_EQUAL(wanted.fetched, estimate.fetched);
        CPPUNIT_ASSERT(estimate.fetch_source != it.endpoint);
        CPPUNIT_ASSERT_EQUAL(wanted.fetch_from.has_value(),
                             estimate.fetch_from.has_value());
      }
    }
  }

 private:
  LoadEstimate EstimateAmong(const LoadEndpoint& endpoint,
                             const CallWork& work,
                             const std::vector<LoadEndpoint>& endpoints) {
    return load_.Estimate(endpoint, work,
                          load_.SourcesOf(work, endpoints, now_), now_);
  }
  LoadEstimate Estimate(const EndpointId& endpoint, const CallWork& work) {
    return EstimateAmong(At(endpoint), work, kBoth);
  }
  // No part is fetched.
  std::int64_t ToPrefill(const EndpointId& endpoint, const CallWork& work) {
    return EstimateAmong(At(endpoint), work, {}).to_prefill;
  }

  FleetLoad load_{FleetLoadOptions()};
  Instant now_{seconds(10)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLoadTest);

}  // namespace baobabrun
