// Checks that the placement policy stays within regression bounds relative to
// the baselines LeastLoaded and HashOfFirstBlock, in simulations with a fixed
// seed.
#include <cppunit/extensions/HelperMacros.h>

#include <fmt/core.h>

#include "baselines.h"
#include "scenarios.h"

namespace baobabrun::bench {
namespace {

constexpr std::uint64_t kSeeds = 1;

FleetResults RunWith(FleetOptions fleet,
                     std::function<ChooseEndpoint(std::uint64_t)> choose) {
  fleet.choose = std::move(choose);
  return RunSeeds(fleet, kSeeds);
}

FleetResults RunLeastLoaded(const FleetOptions& fleet) {
  return RunWith(fleet, [](auto seed) { return LeastLoaded(seed); });
}

FleetResults RunHash(const FleetOptions& fleet) {
  return RunWith(fleet, [](auto) { return HashOfFirstBlock(); });
}

void AssertAtLeast(double bound, double value) {
  CPPUNIT_ASSERT_MESSAGE(
      fmt::format("seed 1: {:.3f}, bound {:.3f}", value, bound),
      value >= bound);
}

void AssertNoLater(const FleetResults& policy, const FleetResults& other) {
  AssertAtLeast(policy.FirstToken(0.99), other.FirstToken(0.99));
}

}  // namespace

class PolicyBounds : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyBounds);
  CPPUNIT_TEST(OwambeStepsIsNoSlowerThanBaselines);
  CPPUNIT_TEST(LlpmIsNoSlowerThanBaselines);
  CPPUNIT_TEST(SlowEngineCausesNoRefusals);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwambeStepsIsNoSlowerThanBaselines() {
    const auto policy = RunSeeds(bench::OwambeSteps(), kSeeds);
    const auto hash = RunHash(bench::OwambeSteps());
    AssertAtLeast(1.15 * hash.hit_rate(), policy.hit_rate());
    AssertNoLater(policy, hash);
    AssertNoLater(policy, RunLeastLoaded(bench::OwambeSteps()));
    AssertAtLeast(1.0, policy.min_completed_share);
  }

  void LlpmIsNoSlowerThanBaselines() {
    const auto policy = RunSeeds(bench::Llpm(), kSeeds);
    AssertNoLater(policy, RunHash(bench::Llpm()));
    AssertNoLater(policy, RunLeastLoaded(bench::Llpm()));
    AssertAtLeast(1.0, policy.min_completed_share);
  }

  void SlowEngineCausesNoRefusals() {
    const auto policy = RunSeeds(SlowEngine(), kSeeds);
    AssertNoLater(policy, RunLeastLoaded(SlowEngine()));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, policy.refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyBounds);

}  // namespace baobabrun::bench
