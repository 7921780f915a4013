// An entry's model of the load on the fleet's model engines: which calls wait
// or run at each engine, how long a new call would wait for its first token,
// and which prompt parts each engine has cached. It is updated by the notices
// that all entries exchange about their attempts, and by this entry's own
// attempts. A prediction holds until a report from the endpoint corrects it.
// Lost messages make the model less exact, but not for good: attempts in it
// expire.
//
// The model serves bursts, and changes of weights, which empty all caches:
// calls are sent to where they begin soonest, and cached parts are fetched from
// another cache instead of being prefilled again.
#ifndef GATEWAY_FLEET_LOAD_H_
#define GATEWAY_FLEET_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/call.h"

namespace baobabrun {

// A part of a prompt. A cached part can be used only if all parts before it are
// cached too.
struct WorkPart {
  std::uint64_t key = 0;  // PartKey
  std::int64_t tokens = 0;
};
// Returns a key that identifies a part under one version of the weights and one
// cache scope.
std::uint64_t PartKey(const std::string& scope,
                      std::uint64_t weights,
                      const std::string& part);

// The work that one call causes at an engine.
struct CallWork {
  std::vector<WorkPart> parts;  // in the prompt's order
  // How many parts, from the first, other calls may share.
  std::size_t shared = 0;
  std::int64_t outputs = 0;  // expected output tokens
  std::int64_t fetched = 0;  // tokens that are fetched from another cache
  // The owner of that cache; empty if nothing is fetched.
  EndpointId fetched_from;

  std::int64_t tokens() const;
  std::int64_t own_tokens() const;
};
CallWork WorkOf(const std::vector<PromptPart>& parts,
                const std::string& cache_scope,
                std::uint64_t weights,
                std::int64_t outputs = 0);

// Identifies an attempt within the fleet.
using FleetAttemptId = std::pair<VmId, std::uint64_t>;

struct FleetLoadOptions {
  // Speeds of an engine that has no other work.
  double prefill_tokens_per_ms = 40;
  double fetch_tokens_per_ms = 130;
  // A fetch between zones takes this many times as long as one within a zone.
  double cross_zone_fetch_factor = 2;
  // Time from the end of prefill to the arrival of the first event.
  Duration first_step = milliseconds(15);
  // Time to generate one token of a stream while no prefill runs.
  Duration token_time = milliseconds(6);
  // Half-life of past prefill work in the estimate of the share of an engine's
  // time that prefill takes.
  Duration prefill_half_life = seconds(1);
  // Weight of one late or early first token in an engine's slowness, and the
  // bounds of the slowness.
  double slowness_weight = 0.1;
  double min_slowness = 0.5;
  double max_slowness = 3;
  // Shorter predictions are too inexact to tell an engine's speed.
  Duration min_compared_prediction = milliseconds(25);
  // An attempt is dropped from the model this long after it was sent, since the
  // notice of its end may be lost.
  Duration attempt_timeout = seconds(20);
  // Time from the first token at an engine until a store has the prompt's
  // cached parts.
  Duration save_lag = milliseconds(150);
  // Engines report an eviction this late at most. If a part was predicted or
  // used more recently than that, the report may concern an earlier copy and is
  // ignored.
  Duration report_lag = milliseconds(500);
  // A part counts as cached if at least this fraction of it is.
  double min_cached_fraction = 0.9;
  // Fraction of an engine's memory that cached parts are expected to occupy,
  // the rest being used by running calls; and the same fraction for a store.
  double cache_fraction = 0.85;
  double store_fraction = 0.95;
  // A prompt is saved to a store if at most this fraction of it is the call's
  // own part.
  double max_own_fraction_saved = 0.33;
};

// Predicted cost of a call at one endpoint.
struct LoadEstimate {
  Duration begin{};  // until the endpoint begins to work on the call
  Duration first_token{};
  std::int64_t to_prefill = 0;  // shared tokens that would be prefilled
  std::int64_t fetched = 0;
  // `delay_to_others` is the total delay of the other streams at the endpoint
  // while this call's prompt is prefilled; `delay_from_others` is the delay of
  // this call's stream by the prefill of others.
  Duration delay_to_others{};
  Duration delay_from_others{};
  // The endpoint or store that has most of the prompt cached, other than this
  // endpoint. It is set even if this endpoint should have all of the prompt,
  // since it may have evicted parts.
  std::optional<Address> fetch_from;
  EndpointId fetch_source;  // id of the owner of `fetch_from`
};

// An endpoint that may run calls or serve cached parts, or a store, which only
// serves cached parts.
struct LoadEndpoint {
  EndpointId endpoint;
  Address address;
  ZoneId zone;
  std::int64_t memory_tokens = 0;  // zero if not known
};

// The caches from which the shared parts of one prompt can be fetched. Built
// once for a call, so that the cost of estimating all endpoints grows with
// their number and not with its square. Refers to the endpoints that it was
// built from.
struct CacheSources {
  struct Source {
    const LoadEndpoint* endpoint = nullptr;
    Instant link_until;
  };
  // Sources that have equally many tokens.
  struct Level {
    std::int64_t tokens = 0;
    std::size_t count = 0;
    // Of each zone the two whose links are free first. The second one serves
    // an endpoint that is the first itself.
    std::map<ZoneId, std::vector<Source>> first_free;
  };
  Level most;         // without sources if nothing is cached
  Level second_most;  // fewer tokens than `most`
};

class FleetLoad {
 public:
  explicit FleetLoad(FleetLoadOptions options) : options_(options) {}

  void Sent(const FleetAttemptId& key,
            const EndpointId& endpoint,
            const CallWork& work,
            Instant now,
            const EndpointId& saved_to = EndpointId());
  // The first event of the answer arrived.
  void Began(const FleetAttemptId& key, Instant now);
  void Ended(const FleetAttemptId& key, Instant now);
  // Ends the attempts of `vm` with a serial up to `newest` that aren't among
  // `in_flight`, which is sorted: the notice of their end was lost.
  void Retain(const VmId& vm,
              std::uint64_t newest,
              const std::vector<std::uint64_t>& in_flight,
              Instant now);
  // Sets how many tokens the endpoint's memory holds. Without this call,
  // kAssumedMemoryTokens is assumed.
  void SetMemory(const EndpointId& endpoint, std::int64_t tokens, bool store);
  // Applies the endpoint's own report that `tokens` of `part` are cached now.
  // Returns whether the report corrected a prediction.
  bool ApplyCacheReport(const EndpointId& endpoint,
                        std::uint64_t part,
                        std::int64_t tokens,
                        Instant now);
  // The endpoint's cache was emptied, or the endpoint was replaced.
  void ClearCache(const EndpointId& endpoint);
  void Expire(Instant now);

  // `endpoints` are all endpoints and stores with the same weights.
  CacheSources SourcesOf(const CallWork& work,
                         const std::vector<LoadEndpoint>& endpoints,
                         Instant now) const;
  // `sources` are those of `work`; it may include `endpoint`, which is skipped.
  LoadEstimate Estimate(const LoadEndpoint& endpoint,
                        const CallWork& work,
                        const CacheSources& sources,
                        Instant now) const;
  std::int32_t InFlight(const EndpointId& endpoint) const;
  // Ratio of the engine's actual to its predicted time until the first token.
  double Slowness(const EndpointId& endpoint) const;
  // Returns whether the prompt should be saved to the store. A store keeps
  // whole prompts and evicts others for each, which engines might have fetched;
  // so only prompts that are mostly shared are worth saving.
  bool WorthSaving(const EndpointId& store, const CallWork& work) const;

 private:
  struct Cached {
    std::int64_t tokens = 0;
    // Predicted, until the first token of the call that prefills it.
    Instant ready;
    Instant used;
  };
  struct AttemptLoad {
    EndpointId endpoint;
    Instant sent;
    std::int64_t tokens = 0;
    Duration work{};  // predicted prefill time
    // Predicted; zero if it isn't used to update the engine's slowness.
    Duration first_token{};
    bool began = false;
    std::vector<std::uint64_t> prefilled_parts;  // parts that it prefills
    // A store; empty if the prompt isn't saved.
    EndpointId saved_to;
    CallWork saved;  // what is saved there, including the call's own part
  };
  struct Engine {
    Instant busy_until;  // predicted end of all prefill
    Instant link_until;  // predicted end of all fetches from and to this engine
    std::int64_t cache_capacity = 0;  // in tokens; zero if not known
    std::map<std::uint64_t, Cached> cache;
    std::int64_t cached_tokens = 0;
    std::int64_t running_tokens = 0;  // tokens of all attempts in flight
    // Attempts without a first event yet, oldest first.
    std::vector<FleetAttemptId> waiting;
    std::int32_t in_flight = 0;
    double slowness = 1;
    // Prefill time of the calls sent to this engine, decayed by
    // `prefill_half_life`; the value is as of `recent_prefill_at`.
    Duration recent_prefill{};
    Instant recent_prefill_at;
  };

  // The cached beginning of a prompt at an engine.
  struct CachedPrefix {
    std::size_t parts = 0;    // completely cached parts
    std::int64_t tokens = 0;  // including the cached tokens of the next part
  };
  // Looks at the first `most` parts. If `ready_by` is set, only parts that are
  // ready by then count.
  CachedPrefix CachedPrefixOf(const Engine& engine,
                              const CallWork& work,
                              std::size_t most,
                              std::optional<Instant> ready_by) const;
  // A cache from which parts can be fetched; `endpoint` is null if there is
  // none.
  struct Source {
    const LoadEndpoint* endpoint = nullptr;
    std::int64_t tokens = 0;  // how many tokens are worth fetching
    Duration time{};          // predicted time until the fetch is complete
  };
  // `prefix` and `link_until` are those of the engine at `endpoint`.
  Source ChooseSource(const LoadEndpoint& endpoint,
                      const CachedPrefix& prefix,
                      Instant link_until,
                      const CacheSources& sources,
                      Instant now) const;
  void AddToCache(Engine& engine,
                  const CallWork& work,
                  std::size_t depth,
                  Instant ready,
                  Instant now);
  void EvictOverflow(Engine& engine) const;
  void Fetch(Engine& engine, const CallWork& work, Instant now);
  Duration PrefillTime(std::int64_t tokens, double slowness) const;
  // The time of a fetch within a zone over an idle link.
  Duration FetchTime(std::int64_t tokens) const;
  // The share of the engine's time that prefill takes; it may exceed 1.
  double PrefillShare(const Engine& engine, Instant now) const;
  void UpdateSlowness(Engine& engine,
                      const AttemptLoad& attempt,
                      Instant now) const;
  void RemoveWaiting(Engine& engine, const FleetAttemptId& key, Instant now);

  const FleetLoadOptions options_;
  std::map<EndpointId, Engine> engines_;
  std::map<FleetAttemptId, AttemptLoad> attempts_;
};

}  // namespace baobabrun

#endif  // GATEWAY_FLEET_LOAD_H_
