// Checks that the placement policy reaches its targets for the cache hit rate
// on the same seeded load: 2.5 times the rate of the baseline LeastLoaded,
// and 1.15 times that of HashOfFirstBlock.
#include <cppunit/extensions/HelperMacros.h>

#include <fmt/core.h>

#include "baselines.h"
#include "scenarios.h"

namespace baobabrun::bench {
namespace {

constexpr std::uint64_t kSeeds = 1;

// Returns the hit rate of the policy divided by that of a baseline.
double Gain(FleetOptions fleet,
            std::function<ChooseEndpoint(std::uint64_t)> choose) {
  const auto policy = RunSeeds(fleet, kSeeds);
  fleet.choose = std::move(choose);
  return policy.hit_rate() / RunSeeds(fleet, kSeeds).hit_rate();
}

void AssertGain(double bound, double gain) {
  CPPUNIT_ASSERT_MESSAGE(
      fmt::format("seed 1: {:.3f} times, bound {:.2f}", gain, bound),
      gain >= bound);
}

}  // namespace

class PolicyTargets : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyTargets);
  CPPUNIT_TEST(OwambeStepsAgainstLeastLoaded);
  CPPUNIT_TEST(LlpmAgainstLeastLoaded);
  CPPUNIT_TEST(LlpmAgainstHashOfFirstBlock);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OwambeStepsAgainstLeastLoaded() {
    AssertGain(
        2.5, Gain(OwambeSteps(), [](auto seed) { return LeastLoaded(seed); }));
  }
  void LlpmAgainstLeastLoaded() {
    AssertGain(2.5, Gain(Llpm(), [](auto seed) { return LeastLoaded(seed); }));
  }
  void LlpmAgainstHashOfFirstBlock() {
    AssertGain(1.15, Gain(Llpm(), [](auto) { return HashOfFirstBlock(); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTargets);

}  // namespace baobabrun::bench
