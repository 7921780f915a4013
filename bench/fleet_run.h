// Simulates the dispatchers of several VMs that send requests to stand-in
// engines. A manual clock advances in steps of a millisecond. The same options
// and seed give the same results on every machine.
#ifndef BENCH_FLEET_RUN_H_
#define BENCH_FLEET_RUN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "placement/dispatcher.h"
#include "standin/engine.h"
#include "workload.h"

namespace baobabrun::bench {

struct FleetOptions {
  std::vector<std::string> zones;
  std::size_t engines = 9;
  std::size_t entries = 8;                // VMs with a dispatcher
  Duration zone_delay = milliseconds(1);  // one-way delay between zones
  WorkloadOptions workload;
  standin::EngineOptions engine;
  Duration heartbeat = milliseconds(500);
  Duration length = seconds(270);
  Duration warm_up = seconds(20);  // requests before this are not measured
  Duration crash_at = seconds(90);
  Duration crash_duration = seconds(10);
  // A rollout drains the engines one by one and loads new weights.
  Duration rollout_at = seconds(150);
  Duration rollout_interval = seconds(6);
  // Maximum time to drain an engine.
  Duration rollout_drain_limit = seconds(30);
  Duration reload_duration = seconds(5);
  // From `slow_from` on, the last engine takes `slow_percent` percent of the
  // normal time for each step.
  std::int32_t slow_percent = 100;
  Duration slow_from = seconds(0);
  DispatcherOptions dispatcher;
  // Creates the placement policy of one entry. If null, the project's own
  // policy is used.
  std::function<ChooseEndpoint(std::uint64_t seed)> choose;
};

struct FleetResults {
  std::size_t requests = 0;
  std::size_t completed = 0;  // requests that ended without a refusal
  std::size_t refused = 0;
  std::int64_t prompt_tokens = 0;  // of all attempts that an engine started
  std::int64_t cached_tokens = 0;  // part of prompt_tokens found in the cache
  // Tokens that an engine computed although another engine had them in its
  // cache.
  std::int64_t wasted_tokens = 0;
  // Times to the first token, in seconds and in ascending order.
  std::vector<double> first_tokens;
  // The same, only for the organisation with the highest 99th percentile.
  std::vector<double> slowest_first_tokens;
  // The lowest share of completed requests of any organisation.
  double min_completed_share = 1.0;

  double hit_rate() const;
  double wasted_share() const;  // share of wasted tokens in prompt_tokens
  double FirstToken(double quantile) const;
  double SlowestFirstToken(double quantile) const;
};

class FleetRun {
 public:
  FleetRun(FleetOptions options, std::uint64_t seed);
  FleetResults Run();

 private:
  struct Endpoint {
    std::unique_ptr<standin::Engine> engine;
    Announcement announcement;
    std::uint64_t incarnation = 1;
    bool up = true;
    // Cached tokens of the attempts that this endpoint has started.
    std::map<AttemptId, std::int64_t> cached;
  };
  struct Entry {
    std::unique_ptr<Dispatcher> dispatcher;
    ZoneId zone;
  };
  struct PendingRequest {
    GeneratedRequest job;
    std::size_t entry = 0;
    Instant arrived;
    bool first_token_received = false;  // whether the first token has arrived
  };
  struct OrganisationResults {
    std::size_t requests = 0;
    std::size_t completed = 0;
    std::vector<double> first_tokens;
  };

  void ScheduleAt(Instant when, std::function<void()> action);
  void SubmitNextRequest();
  void SendHeartbeat(std::size_t n);
  void StepEngine(std::size_t n);
  void StepEntry(std::size_t n);
  void OnDispatch(std::size_t entry, const Dispatch& it);
  void OnCancel(std::size_t entry, AttemptId attempt);
  void OnRequestResult(const RequestResult& it);
  void OnOutput(std::size_t n, const standin::EngineOutput& it);
  void DeliverReport(AttemptId attempt, AttemptReport report);
  void Crash(std::size_t n, Duration lasts, const std::string& weights);
  void StartRollout();
  void Reload(std::size_t n, Instant last);
  Duration NetworkDelay(std::size_t entry, std::size_t engine) const;
  std::int64_t LongestCachedPrefixTokens(
      const std::vector<BlockHash>& blocks) const;
  bool IsMeasured(const PendingRequest& it) const;

  const FleetOptions options_;
  std::mt19937_64 random_;
  Workload workload_;
  Instant start_;
  Instant now_;
  std::vector<Endpoint> endpoints_;
  std::vector<Entry> entries_;
  std::multimap<Instant, std::function<void()>> due_;
  std::unordered_map<RequestId, PendingRequest> pending_;
  // The request and engine index of each attempt that hasn't ended.
  std::unordered_map<AttemptId, std::pair<RequestId, std::size_t>> attempts_;
  std::string weights_ = "v1";
  // Number of engines that load or have the new weights.
  std::size_t reloaded_engines_ = 0;
  std::uint64_t last_request_ = 0;
  FleetResults results_;
  std::vector<OrganisationResults> organisations_;
};

}  // namespace baobabrun::bench

#endif  // BENCH_FLEET_RUN_H_
