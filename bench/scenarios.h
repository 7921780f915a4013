// The fleets of the policy bench and the ways to place that it compares.
#ifndef BENCH_SCENARIOS_H_
#define BENCH_SCENARIOS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fleet_run.h"

namespace baobabrun::bench {

// Events come 2 s late and lose 5%, loads are 1 s old; hot prefixes shift, an
// engine crashes, and all change their weights.
FleetOptions OwambeSteps();
FleetOptions Llpm();
// Owambe Steps, where one engine turns ten times slower; no crash and no change
// of weights.
FleetOptions SlowEngine();

struct Way {
  std::string name;
  std::function<FleetOptions(FleetOptions)> apply;
};
// The policy first, then the baselines, then the policy without each part.
std::vector<Way> Ways();

// Figures over the runs with seeds 1 to `seeds` together.
FleetFigures RunSeeds(const FleetOptions& options, std::uint64_t seeds);

}  // namespace baobabrun::bench

#endif  // BENCH_SCENARIOS_H_
