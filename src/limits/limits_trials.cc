// Prints the results of seeded simulations of the limits: limits_trials [first
// seed] [last seed]. Each seed runs with the same calls and faults under three
// policies: static shares, one central bucket, and shares that VMs lend to each
// other.
#include <fmt/core.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include "limits/fleet_trial.h"

namespace baobabrun {
namespace {

struct Scenario {
  std::string name;
  TrialOptions options;
};

std::vector<Scenario> Scenarios(std::uint64_t seed) {
  TrialOptions base;
  base.seed = seed;
  base.length = seconds(120);
  base.organisations = FiveOrganisations();
  std::vector<Scenario> out;
  const auto add = [&out](const char* name, const TrialOptions& options) {
    out.push_back({name, options});
  };
  add("even", base);
  auto skewed = base;
  skewed.skew_percent = 60;
  add("skewed balancer", skewed);
  auto home = base;
  for (std::size_t i = 0; i < home.organisations.size(); ++i) {
    home.organisations[i].home_vm = static_cast<int>(i);
    home.organisations[i].load_percent = 75;
  }
  add("all callers of a tenant on one VM", home);
  auto flood = base;
  flood.organisations[1].load_percent = 500;
  add("one at 5 times its rate", flood);
  auto cut = base;
  cut.zones = 3;
  cut.faults = {{TrialFault::kCutZone, 1, seconds(30), seconds(90)}};
  add("zone cut for 60 s, 3 zones", cut);
  auto lossy = base;
  lossy.lost_percent = 5;
  lossy.duplicated_percent = 5;
  lossy.max_extra_delay = milliseconds(1500);
  add("messages lost, late, doubled", lossy);
  auto faults = lossy;
  faults.skew_percent = 30;
  faults.faults = {
      {TrialFault::kFreezeVm, 0, seconds(20), seconds(24)},
      {TrialFault::kRestartVm, 2, seconds(35), seconds(36)},
      {TrialFault::kCutVm, 3, seconds(50), seconds(65)},
      {TrialFault::kCutZone, 2, seconds(75), seconds(95)},
  };
  add("all faults", faults);
  auto many = base;
  many.length = seconds(30);
  many.organisations.clear();
  for (int i = 0; i < 640; ++i) {
    many.organisations.push_back(
        {2'000, 40'000, 30, i % 8 == 0, i % 5 == 0 ? i % 8 : -1});
  }
  add("640 organisations", many);
  return out;
}

void Print(const char* policy,
           const std::vector<OrganisationLoad>& loads,
           const TrialOutcome& outcome) {
  std::uint64_t steady = 0;
  std::uint64_t offered_steady = 0;
  std::uint64_t after = 0;
  std::uint64_t offered_after = 0;
  Micro overrun = 0;
  double worst = 100;
  for (std::size_t i = 0; i < outcome.organisations.size(); ++i) {
    const auto& it = outcome.organisations[i];
    overrun = std::max(overrun, it.overrun);
    worst = std::min(worst, 100.0 * static_cast<double>(it.used) /
                                static_cast<double>(it.used_by_reference));
    // For an organisation above its rate, it isn't a fault which of its calls
    // are refused.
    if (loads[i].load_percent > 100) {
      continue;
    }
    steady += it.wrongful_steady;
    offered_steady += it.offered_steady;
    after += it.wrongful_after_fault;
    offered_after += it.offered_after_fault;
  }
  const auto wait = [&outcome](int percent) {
    const auto n = outcome.waits.size();
    const auto at = n * percent / 100;
    return n == 0 ? 0.0 : static_cast<double>(outcome.waits[at].count()) / 1e6;
  };
  const auto percent = [](std::uint64_t part, std::uint64_t whole) {
    return whole == 0
               ? 0.0
               : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
  };
  fmt::print(
      "  {:<8} overrun {:>8} tok  wrongful steady {:6.3f}%  near faults "
      "{:6.3f}%  worst served {:6.1f}%  wait p99 {:6.1f} ms  {:7.1f} "
      "messages/s  {:8.0f} B/s {}\n",
      policy, (overrun + kMicro - 1) / kMicro, percent(steady, offered_steady),
      percent(after, offered_after), worst, wait(99),
      static_cast<double>(outcome.messages) / outcome.seconds,
      static_cast<double>(outcome.message_bytes) / outcome.seconds,
      outcome.conservation_error);
}

}  // namespace
}  // namespace baobabrun

int main(int argc, char** argv) {
  using baobabrun::TrialPolicy;
  const auto first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const auto last = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : first;
  for (auto seed = first; seed <= last; ++seed) {
    for (auto& it : baobabrun::Scenarios(seed)) {
      fmt::print("seed {} {}\n", seed, it.name);
      it.options.policy = TrialPolicy::kStaticSplit;
      baobabrun::Print("static", it.options.organisations,
                       RunTrial(it.options));
      it.options.policy = TrialPolicy::kCentral;
      baobabrun::Print("central", it.options.organisations,
                       RunTrial(it.options));
      it.options.policy = TrialPolicy::kShares;
      baobabrun::Print("shares", it.options.organisations,
                       RunTrial(it.options));
    }
  }
  return 0;
}
