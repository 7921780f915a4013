// Simulations of a fleet of limiters. The bound holds exactly under every
// fault, and calls within the rate are hardly ever refused.
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "limits/fleet_trial.h"

namespace baobabrun {
namespace {

constexpr std::uint64_t kSeeds = 2;

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

void CheckAtMost(const std::string& label,
                 std::uint64_t part,
                 std::uint64_t whole,
                 std::uint64_t per_thousand) {
  CPPUNIT_ASSERT_MESSAGE(
      label + ": " + std::to_string(part) + " of " + std::to_string(whole),
      part * 1'000 <= whole * per_thousand);
}

// Wrongful refusals over all seeds of a row and all organisations within their
// rates.
struct RefusalCounts {
  std::uint64_t wrongful_steady = 0;
  std::uint64_t offered_steady = 0;
  std::uint64_t wrongful_after_fault = 0;
  std::uint64_t offered_after_fault = 0;

  void Add(const Row& row, const TrialOutcome& outcome) {
    for (std::size_t i = 0; i < outcome.organisations.size(); ++i) {
      if (row.options.organisations[i].load_percent > 100) {
        continue;
      }
      const auto& it = outcome.organisations[i];
      wrongful_steady += it.wrongful_steady;
      offered_steady += it.offered_steady;
      wrongful_after_fault += it.wrongful_after_fault;
      offered_after_fault += it.offered_after_fault;
    }
  }

  // Wrongful refusals must be at most 0.1% in steady use and at most 1% within
  // 10 s after a fault.
  void Check(const char* name) const {
    const std::string label(name);
    CheckAtMost(label + " steady", wrongful_steady, offered_steady, 1);
    CheckAtMost(label + " after faults", wrongful_after_fault,
                offered_after_fault, 10);
  }
};

// Every organisation must get at least 95% of what one central bucket would
// give it.
void CheckUseAgainstReference(const Row& row, const TrialOutcome& outcome) {
  for (std::size_t i = 0; i < outcome.organisations.size(); ++i) {
    const auto& it = outcome.organisations[i];
    CPPUNIT_ASSERT_MESSAGE(Label(row, i) + " worst served",
                           it.used * 100 >= it.used_by_reference * 95);
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
  CPPUNIT_TEST(WrongfulRefusalsAreRare);
  CPPUNIT_TEST(BoundAndServiceHoldForManyOrganisations);
  CPPUNIT_TEST(LoweredContractAppliesWithinTwoSeconds);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Every organisation lets its burst fill up and then sends far more than its
  // rate, so that a token that is given out twice exceeds the bound.
  void BoundHoldsUnderFaults() {
    Row calm{"saturated, all clocks fast", {}};
    calm.options.length = seconds(45);
    calm.options.organisations = FiveOrganisations();
    for (auto& it : calm.options.organisations) {
      it.load_percent = 300;
    }
    calm.options.organisations[2].home_vm = 1;
    calm.options.all_clocks_fast = true;
    calm.options.pulse = seconds(9);
    calm.options.full_use = true;
    Row lossy = calm;
    lossy.options.all_clocks_fast = false;
    lossy.options.full_use = false;
    lossy.name = "saturated, messages lost, late and doubled";
    lossy.options.lost_percent = 5;
    lossy.options.duplicated_percent = 10;
    lossy.options.max_extra_delay = milliseconds(2'500);
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

  void WrongfulRefusalsAreRare() {
    Row even{"even", {}};
    even.options.length = seconds(60);
    even.options.organisations = FiveOrganisations();
    Row skewed = even;
    skewed.name = "skewed balancer, 3 zones";
    skewed.options.zones = 3;
    skewed.options.skew_percent = 60;
    Row home = even;
    home.name = "all callers on one VM each";
    for (std::size_t i = 0; i < home.options.organisations.size(); ++i) {
      home.options.organisations[i].home_vm = static_cast<int>(i);
      home.options.organisations[i].load_percent = 75;
    }
    Row flood = even;
    flood.name = "one at 5 times its rate";
    flood.options.organisations[1].load_percent = 500;
    Row cut = even;
    cut.name = "zone cut";
    cut.options.faults = {{TrialFault::kCutZone, 1, seconds(15), seconds(45)}};
    Row lossy = even;
    lossy.name = "messages lost, late and doubled";
    lossy.options.lost_percent = 2;
    lossy.options.duplicated_percent = 5;
    lossy.options.max_extra_delay = milliseconds(500);
    Row restarts = even;
    restarts.name = "VMs frozen and restarted";
    restarts.options.faults = {
        {TrialFault::kFreezeVm, 0, seconds(12), seconds(18)},
        {TrialFault::kRestartVm, 5, seconds(30), seconds(31)}};
    for (auto row : {even, skewed, home, flood, cut, lossy, restarts}) {
      RefusalCounts counts;
      for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        row.options.seed = seed;
        const auto outcome = RunTrial(row.options);
        CheckBound(row, outcome);
        CheckUseAgainstReference(row, outcome);
        counts.Add(row, outcome);
      }
      counts.Check(row.name);
    }
  }

  void BoundAndServiceHoldForManyOrganisations() {
    Row row{"640 organisations", {}};
    row.options.length = seconds(30);
    for (int i = 0; i < 640; ++i) {
      row.options.organisations.push_back({2'000, 40'000, i == 7 ? 500 : 30,
                                           i % 8 == 0,
                                           i % 5 == 0 ? i % 8 : -1});
    }
    const auto outcome = RunTrial(row.options);
    CheckBound(row, outcome);
    RefusalCounts counts;
    counts.Add(row, outcome);
    counts.Check(row.name);
  }

  // From 2 s after the change, organisation 0 must keep within half its
  // contract.
  void LoweredContractAppliesWithinTwoSeconds() {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      TrialOptions options;
      options.seed = seed;
      options.length = seconds(30);
      options.organisations = FiveOrganisations();
      options.organisations[0].load_percent = 300;
      options.organisations[0].home_vm = 1;
      options.new_contract_percent = 50;
      options.contract_change_at = seconds(15);
      const auto outcome = RunTrial(options);
      const std::string label = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, Micro{0},
                                   outcome.organisations[0].overrun);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, Micro{0},
                                   outcome.new_contract_overrun);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);

}  // namespace baobabrun
