// The simulated fleets of the policy benchmark and the policies that it
// compares.
#ifndef BENCH_SCENARIOS_H_
#define BENCH_SCENARIOS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fleet_run.h"

namespace baobabrun::bench {

// The fleets of two deployments. Cache events arrive 2 s late and 5% of them
// are lost; reported loads are 1 s old. During the run the hot prefixes change,
// an engine crashes, and a rollout replaces the weights of all engines.
FleetOptions OwambeSteps();
FleetOptions Llpm();
// The fleet of Owambe Steps, in which one engine becomes ten times slower.
// There is no crash and no rollout.
FleetOptions SlowEngine();

struct PolicyVariant {
  std::string name;
  std::function<FleetOptions(FleetOptions)> apply;
};
// Returns the project's policy, then the baselines, then the policy with each
// of its parts turned off in turn.
std::vector<PolicyVariant> PolicyVariants();

// Runs the simulation with the seeds 1 to `seeds` and returns the combined
// results.
FleetResults RunSeeds(const FleetOptions& options, std::uint64_t seeds);

}  // namespace baobabrun::bench

#endif  // BENCH_SCENARIOS_H_
