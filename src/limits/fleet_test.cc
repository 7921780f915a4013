// Seeded runs of a fleet of limiters: the bound is exact under every fault, and
// inside the rate hardly anything is refused.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "limits/fleet_trial.h"

namespace baobabrun {
namespace {

constexpr std::uint64_t kSeeds = 4;

struct Row {
  const char* name;
  TrialOptions options;
};

std::string Label(const Row& row, std::size_t organisation) {
  return std::string(row.name) + ", seed " + std::to_string(row.options.seed) +
         ", organisation " + std::to_string(organisation);
}

void CheckBound(const Row& row, const TrialOutcome& outcome) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Label(row, 0), std::string(),
                               outcome.conservation_error);
  for (std::size_t i = 0; i < outcome.organisations.size(); ++i) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Label(row, i), Micro{0},
                                 outcome.organisations[i].overrun);
  }
}

std::vector<FaultPlan> AllFaults() {
  return {{TrialFault::kFreezeVm, 0, seconds(10), seconds(13)},
          {TrialFault::kRestartVm, 2, seconds(16), seconds(17)},
          {TrialFault::kCutVm, 3, seconds(20), seconds(25)},
          {TrialFault::kFreezeVm, 1, seconds(28), milliseconds(29'300)},
          {TrialFault::kCutZone, 2, seconds(30), seconds(38)},
          {TrialFault::kRestartVm, 0, milliseconds(33'500), seconds(34)},
          {TrialFault::kRestartVm, 0, seconds(35), seconds(36)}};
}

}  // namespace

class FleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetTest);
  CPPUNIT_TEST(BoundHoldsUnderFaults);
  CPPUNIT_TEST(LoweredContractIsInForceWithinTwoSeconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Every organisation sends far more than its rate, so that any token given
  // out twice shows.
  void BoundHoldsUnderFaults() {
    Row calm{"saturated", {}};
    calm.options.length = seconds(45);
    calm.options.organisations = FiveOrganisations();
    for (auto& it : calm.options.organisations) {
      it.load_percent = 300;
    }
    calm.options.organisations[2].home_vm = 1;
    Row lossy = calm;
    lossy.name = "saturated, messages lost, late and doubled";
    lossy.options.lost_percent = 5;
    lossy.options.doubled_percent = 10;
    lossy.options.late = milliseconds(2'500);
    Row faults = lossy;
    faults.name = "saturated, all faults";
    faults.options.zones = 3;
    faults.options.skew_percent = 40;
    faults.options.faults = AllFaults();
    Row exact = faults;
    exact.name = "saturated, all faults, exact clocks";
    exact.options.drift_ppm = 0;
    for (auto row : {calm, lossy, faults, exact}) {
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        row.options.seed = seed;
        CheckBound(row, RunTrial(row.options));
      }
    }
  }

  // From 2 s after the change, organisation 0 keeps half its contract.
  void LoweredContractIsInForceWithinTwoSeconds() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      TrialOptions options;
      options.seed = seed;
      options.length = seconds(30);
      options.organisations = FiveOrganisations();
      options.organisations[0].load_percent = 300;
      options.organisations[0].home_vm = 1;
      options.changed_percent = 50;
      options.change_at = seconds(15);
      const auto outcome = RunTrial(options);
      const std::string label = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, Micro{0},
                                   outcome.organisations[0].overrun);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, Micro{0}, outcome.changed_overrun);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace baobabrun
