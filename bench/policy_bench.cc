// Compares the placement policy with simple policies, and with variants of
// itself that have one part turned off, on the same seeded load.
//
//   policy_bench [SEEDS]   (number of seeds, default 1)
#include <fmt/core.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "scenarios.h"

namespace baobabrun::bench {
namespace {

void PrintHeader(const std::string& scenario) {
  fmt::print("\n{}\n{:<26}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>10}{:>9}\n",
             scenario, "policy", "hits", "wasted", "p50 s", "p99 s", "p99.9 s",
             "worst p99", "served", "refused");
}

void PrintRow(const std::string& name, const FleetResults& it) {
  fmt::print(
      "{:<26}{:>8.3f}{:>8.3f}{:>8.3f}{:>8.3f}{:>9.3f}{:>9.3f}{:>10.4f}{:>9}\n",
      name, it.hit_rate(), it.wasted_share(), it.FirstToken(0.5),
      it.FirstToken(0.99), it.FirstToken(0.999), it.SlowestFirstToken(0.99),
      it.min_completed_share, it.refused);
}

void Compare(const std::string& name,
             const FleetOptions& base,
             std::uint64_t seeds) {
  PrintHeader(fmt::format("{}, seeds 1 to {}", name, seeds));
  for (const auto& variant : PolicyVariants()) {
    PrintRow(variant.name, RunSeeds(variant.apply(base), seeds));
  }
}

}  // namespace
}  // namespace baobabrun::bench

int main(int argc, char** argv) {
  using namespace baobabrun::bench;  // NOLINT(google-build-using-namespace)
  const std::uint64_t seeds =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  Compare("Owambe Steps", OwambeSteps(), seeds);
  Compare("LLPM", Llpm(), seeds);
  Compare("Slow engine", SlowEngine(), seeds);
  return 0;
}
