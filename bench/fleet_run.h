// A run of several VMs' dispatchers before engine stand-ins under a manual
// clock, in steps of a millisecond. The same options and seed give the same
// figures on every machine.
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
  std::size_t entries = 8;
  Duration zone_delay = milliseconds(1);  // one way, between zones
  WorkloadOptions workload;
  standin::EngineOptions engine;
  Duration heartbeat = milliseconds(500);
  Duration length = seconds(270);
  Duration warm_up = seconds(20);  // not counted
  Duration crash_at = seconds(90);
  Duration crash_lasts = seconds(10);
  // Engines change to new weights one by one, after running empty.
  Duration roll_out_at = seconds(150);
  Duration roll_out_gap = seconds(6);
  Duration roll_out_drain = seconds(30);  // at most
  Duration reload_lasts = seconds(5);
  // An engine that takes this many percent of the normal time, from when.
  std::int32_t slow_percent = 100;
  Duration slow_from = seconds(0);
  DispatcherOptions dispatcher;
  // Makes the choice of one entry; null: the policy.
  std::function<ChooseEndpoint(std::uint64_t seed)> choose;
};

struct FleetFigures {
  std::size_t requests = 0;
  std::size_t whole = 0;
  std::size_t refused = 0;
  std::int64_t prompt_tokens = 0;    // of all tries that began
  std::int64_t cached_tokens = 0;    // of these, found in the cache
  std::int64_t wasted_tokens = 0;    // computed although another engine had them
  std::vector<double> first_tokens;  // seconds, sorted
  std::vector<double> worst_first_tokens;  // of the worst served organisation
  double worst_served = 1.0;  // least share of whole answers of an organisation

  double hit_rate() const;
  double wasted_share() const;  // of all prompt tokens
  double FirstToken(double quantile) const;
  double WorstFirstToken(double quantile) const;
};

class FleetRun {
 public:
  FleetRun(FleetOptions options, std::uint64_t seed);
  FleetFigures Run();

 private:
  struct Endpoint {
    std::unique_ptr<standin::Engine> engine;
    Announcement announcement;
    std::uint64_t incarnation = 1;
    bool up = true;
    // Prompt and cached tokens of its tries, by attempt.
    std::map<AttemptId, std::int64_t> cached;
  };
  struct Entry {
    std::unique_ptr<Dispatcher> dispatcher;
    ZoneId zone;
  };
  struct Open {
    Job job;
    std::size_t entry = 0;
    Instant arrived;
    bool begun = false;
  };
  struct OrganisationFigures {
    std::size_t requests = 0;
    std::size_t whole = 0;
    std::vector<double> first_tokens;
  };

  void At(Instant when, std::function<void()> what);
  void Arrive();
  void Announce(std::size_t n);
  void StepEngine(std::size_t n);
  void StepEntry(std::size_t n);
  void OnDispatch(std::size_t entry, const Dispatch& it);
  void OnCancel(std::size_t entry, AttemptId attempt);
  void OnRequestResult(const RequestResult& it);
  void OnOutput(std::size_t n, const standin::EngineOutput& it);
  void Reply(AttemptId attempt, AttemptReport report);
  void Crash(std::size_t n, Duration lasts, const std::string& weights);
  void RollOut();
  void Reload(std::size_t n, Instant last);
  Duration Delay(std::size_t entry, std::size_t engine) const;
  std::int64_t BestHeld(const std::vector<BlockHash>& blocks) const;
  bool Counts(const Open& it) const;

  const FleetOptions options_;
  std::mt19937_64 random_;
  Workload workload_;
  Instant start_;
  Instant now_;
  std::vector<Endpoint> endpoints_;
  std::vector<Entry> entries_;
  std::multimap<Instant, std::function<void()>> due_;
  std::unordered_map<RequestId, Open> open_;
  // The request and engine of each try that is not over.
  std::unordered_map<AttemptId, std::pair<RequestId, std::size_t>> tries_;
  std::string weights_ = "v1";
  std::size_t reloaded_ = 0;  // engines with the new weights
  std::uint64_t last_request_ = 0;
  FleetFigures figures_;
  std::vector<OrganisationFigures> organisations_;
};

}  // namespace baobabrun::bench

#endif  // BENCH_FLEET_RUN_H_
