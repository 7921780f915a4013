// Chooses the endpoint for a request: the one with the lowest expected time to
// first token. The estimate uses the prompt tokens that the endpoint must
// compute, the work it already has, its zone, and its speed in comparison with
// the other endpoints.
#ifndef PLACEMENT_POLICY_H_
#define PLACEMENT_POLICY_H_

#include <cstdint>
#include <functional>
#include <random>
#include <span>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "placement/endpoint_table.h"
#include "prefix/block_hash.h"
#include "requests/request.h"

namespace baobabrun {

struct PolicyOptions {
  // Prompt tokens that an engine of ordinary speed computes per second.
  double prefill_tokens_per_second = 10'000;
  // Upper bound of the same rate for any engine. It determines when a deadline
  // can't be met any more.
  double max_prefill_tokens_per_second = 100'000;
  // Weight of a token that this request must compute, relative to a token that
  // is already queued at the endpoint. It is higher because computing the token
  // delays later requests and evicts other cache blocks.
  double recompute_weight = 10.0;
  // Assumed time for which a request occupies a slot, until a request has
  // completed at the endpoint.
  Duration service_time = seconds(2);
  // Added to the expected time at an endpoint without free slots, and in
  // proportion to its used slots at others. It spreads requests among endpoints
  // that are equal otherwise.
  Duration busy_cost = milliseconds(20);
  // Added to the expected time at endpoints in other zones.
  Duration other_zone_cost = milliseconds(2);
  // Assumed probability that another VM has just placed a request with the same
  // prefix at the endpoint that ranks first for its next block, although no
  // cache event reports it yet. All VMs rank the endpoints for a block in the
  // same order.
  double affinity = 0.5;
  // An endpoint counts as slow if its slowness is at least this multiple of the
  // median.
  double slow_ratio = 2.0;
  // Weight of one observation in the moving average of an endpoint's slowness.
  double slowness_weight = 0.2;
  // Time in which the slowness of an endpoint without observations decays by
  // half, so that slow endpoints are used again.
  Duration slowness_half_life = seconds(20);
};

struct PlacementQuery {
  const Request* request = nullptr;
  std::span<const BlockHash> blocks;
  // Number of leading blocks that each endpoint has cached, by slot.
  std::span<const std::uint16_t> depths;
  Instant now;
};

// Prompt tokens that the endpoint is expected to compute because they are not
// in its cache.
std::int64_t MissingTokens(const PlacementQuery& query, EndpointIndex slot);

// Chooses one of `candidates`, which is never empty and contains only endpoints
// that can run the request and have capacity.
using ChooseEndpoint =
    std::function<EndpointIndex(const PlacementQuery& query,
                                std::span<const EndpointIndex> candidates,
                                const EndpointTable& table)>;

class Policy {
 public:
  Policy(PolicyOptions options, ZoneId zone, std::uint64_t seed)
      : options_(options), zone_(std::move(zone)), random_(seed) {}

  EndpointIndex Choose(const PlacementQuery& query,
                       std::span<const EndpointIndex> candidates,
                       const EndpointTable& table);

  // Expected time to first token at an endpoint of ordinary speed.
  Duration ExpectedTimeToFirstToken(const PlacementQuery& query,
                                    EndpointIndex slot,
                                    const EndpointTable& table) const;
  // The shortest time in which any endpoint can compute `tokens` prompt tokens.
  Duration MinPrefillTime(std::int64_t tokens) const;

  // Returns whether an endpoint is slow in comparison with `others`, which
  // includes the endpoint itself.
  bool IsSlow(EndpointIndex slot,
              std::span<const EndpointIndex> others,
              const EndpointTable& table,
              Instant now) const;

  // Record observations of an attempt. `observed` may be the time waited so
  // far, if there is no first token yet.
  void OnFirstToken(EndpointState& state,
                    Duration expected,
                    Duration observed,
                    Instant now) const;
  void OnComplete(EndpointState& state, Duration held_slot) const;

 private:
  struct Scored {
    EndpointIndex slot = 0;
    double seconds = 0;
  };

  double ExpectedSeconds(const PlacementQuery& query,
                         EndpointIndex slot,
                         const EndpointTable& table) const;
  double SlownessOf(const EndpointState& state, Instant now) const;
  double RecomputeCost(double tokens) const;
  double MedianSlowness(std::span<const EndpointIndex> slots,
                        const EndpointTable& table,
                        Instant now) const;
  void ApplySlowness(const PlacementQuery& query,
                     std::span<const EndpointIndex> candidates,
                     const EndpointTable& table);
  void ApplyAffinity(const PlacementQuery& query, const EndpointTable& table);
  EndpointIndex PickLowest();

  const PolicyOptions options_;
  const ZoneId zone_;
  std::mt19937_64 random_;
  // Working memory of Choose. A member so that it isn't allocated at each call.
  std::vector<Scored> scored_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_POLICY_H_
