// Defines the fleets and the policy variants.
#include "scenarios.h"

#include <algorithm>

#include "baselines.h"

namespace baobabrun::bench {
namespace {

constexpr std::int32_t kEventLossPpm = 50'000;

standin::EngineOptions Engine() {
  standin::EngineOptions it;
  it.load_lag = seconds(1);
  it.cache.capacity_blocks = 128;
  it.cache.event_delay = seconds(2);
  it.cache.event_loss_ppm = kEventLossPpm;
  return it;
}

using Choose = std::function<ChooseEndpoint(std::uint64_t)>;

PolicyVariant Baseline(std::string name, const Choose& choose) {
  return {std::move(name), [choose](FleetOptions it) {
            it.choose = choose;
            return it;
          }};
}

PolicyVariant WithChange(
    std::string name,
    const std::function<void(DispatcherOptions&)>& change) {
  return {std::move(name), [change](FleetOptions it) {
            change(it.dispatcher);
            return it;
          }};
}

void Append(std::vector<double>* to, const std::vector<double>& from) {
  to->insert(to->end(), from.begin(), from.end());
}

}  // namespace

FleetOptions OwambeSteps() {
  FleetOptions it;
  it.zones = {"ikeja", "lekki", "yaba", "surulere"};
  it.engines = 9;
  it.entries = 8;
  it.engine = Engine();
  it.workload.requests_per_second = 7;
  return it;
}

FleetOptions Llpm() {
  FleetOptions it;
  it.zones = {"kl-a", "kl-b", "cyberjaya"};
  it.engines = 12;
  it.entries = 7;
  it.zone_delay = milliseconds(2);
  it.engine = Engine();
  it.workload.requests_per_second = 10;
  // The prompts share fewer and longer texts: long safety codes followed by
  // short modules.
  it.workload.topics = 3;
  it.workload.topic_blocks = 5;
  it.workload.document_blocks = 2;
  return it;
}

FleetOptions SlowEngine() {
  auto it = OwambeSteps();
  const Duration never = std::chrono::hours(1);
  it.crash_at = never;
  it.rollout_at = never;
  it.slow_percent = 1000;
  it.slow_from = seconds(40);
  return it;
}

std::vector<PolicyVariant> PolicyVariants() {
  return {
      {"policy", [](FleetOptions it) { return it; }},
      Baseline("random", [](auto seed) { return RandomChoice(seed); }),
      Baseline("round robin", [](auto) { return RoundRobin(); }),
      Baseline("least loaded", [](auto seed) { return LeastLoaded(seed); }),
      Baseline("hash of first block", [](auto) { return HashOfFirstBlock(); }),
      WithChange("no predictions",
                 [](auto& it) { it.prefix.prediction_lifetime = -seconds(1); }),
      WithChange("drop on gap", [](auto& it) { it.prefix.drop_on_gap = true; }),
      WithChange("no distrust after gap",
                 [](auto& it) { it.prefix.trusted_lifetimes = 1e9; }),
      WithChange("no peers' load",
                 [](auto& it) { it.endpoints.peer_load_expiry = {}; }),
      WithChange("plain recompute cost",
                 [](auto& it) { it.policy.recompute_weight = 1; }),
      WithChange("no affinity", [](auto& it) { it.policy.affinity = 0; }),
      WithChange("no slowness", [](auto& it) { it.policy.slow_ratio = 1e9; }),
      WithChange("no re-placement",
                 [](auto& it) { it.reroute_after = std::chrono::hours(1); }),
      WithChange("no busy cost", [](auto& it) { it.policy.busy_cost = {}; }),
      WithChange("no zone cost",
                 [](auto& it) { it.policy.other_zone_cost = {}; }),
      WithChange("no overcommit", [](auto& it) { it.overcommit = 0; }),
  };
}

FleetResults RunSeeds(const FleetOptions& options, std::uint64_t seeds) {
  FleetResults all;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto one = FleetRun(options, seed).Run();
    all.requests += one.requests;
    all.completed += one.completed;
    all.refused += one.refused;
    all.prompt_tokens += one.prompt_tokens;
    all.cached_tokens += one.cached_tokens;
    all.wasted_tokens += one.wasted_tokens;
    all.min_completed_share =
        std::min(all.min_completed_share, one.min_completed_share);
    Append(&all.first_tokens, one.first_tokens);
    Append(&all.slowest_first_tokens, one.slowest_first_tokens);
  }
  std::sort(all.first_tokens.begin(), all.first_tokens.end());
  std::sort(all.slowest_first_tokens.begin(), all.slowest_first_tokens.end());
  return all;
}

}  // namespace baobabrun::bench
