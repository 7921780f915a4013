// Compares the placement policy with simple ones, and with itself without each
// of its parts, on the same seeded load: policy_bench [SEEDS].
#include <fmt/core.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "scenarios.h"

namespace baobabrun::bench {
namespace {

void PrintHeader(const std::string& scenario) {
  fmt::print("\n{}\n{:<26}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>10}{:>9}\n",
             scenario, "way", "hits", "wasted", "p50 s", "p99 s", "p99.9 s",
             "worst p99", "served", "refused");
}

void PrintRow(const std::string& name, const FleetFigures& it) {
  fmt::print(
      "{:<26}{:>8.3f}{:>8.3f}{:>8.3f}{:>8.3f}{:>9.3f}{:>9.3f}{:>10.4f}{:>9}\n",
      name, it.hit_rate(), it.wasted_share(), it.FirstToken(0.5),
      it.FirstToken(0.99), it.FirstToken(0.999), it.WorstFirstToken(0.99),
      it.worst_served, it.refused);
}

void Compare(const std::string& name,
             const FleetOptions& base,
             std::uint64_t seeds) {
  PrintHeader(fmt::format("{}, seeds 1 to {}", name, seeds));
  for (const auto& way : Ways()) {
    PrintRow(way.name, RunSeeds(way.apply(base), seeds));
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
