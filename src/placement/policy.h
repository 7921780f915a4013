// Which endpoint runs a request: the one with the least expected time to first
// token, from the prompt tokens it must compute, the work it already has, its
// zone, and how it does in comparison with the others.
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
  // Prompt tokens an ordinary engine computes in a second.
  double prefill_tokens_per_second = 10'000;
  // The same for the fastest engine imaginable: tells when a deadline can't be
  // met any more.
  double fastest_tokens_per_second = 100'000;
  // How much more a token to compute counts than one that waits to be computed:
  // it takes the engine's time from later requests and room from other blocks.
  double recompute_weight = 10.0;
  // How long a request holds its slot, before any has ended there.
  Duration service_time = seconds(2);
  // Added to the expected time at a full endpoint; less in proportion to its
  // free slots. Spreads requests among endpoints that are equal otherwise.
  Duration busy_cost = milliseconds(20);
  // Added for endpoints in other zones.
  Duration other_zone = milliseconds(2);
  // How likely it is that another VM has just placed a prefix, of which no
  // event tells yet, where this one would: all VMs rank endpoints for a block
  // in the same order.
  double affinity = 0.5;
  // An endpoint counts as slow from this many times the median slowness.
  double slow_from = 2.0;
  // Weight of one observation in an endpoint's slowness.
  double slowness_weight = 0.2;
  // Time in which half of a slowness without observations is forgotten, so
  // that slow endpoints are tried again.
  Duration slowness_half_life = seconds(20);
};

struct PlacementQuery {
  const Request* request = nullptr;
  std::span<const BlockHash> blocks;
  // Leading blocks held, by slot.
  std::span<const std::uint16_t> depths;
  Instant now;
};

// Prompt tokens that the endpoint is expected to compute.
std::int64_t MissingTokens(const PlacementQuery& query, EndpointSlot slot);

// Chooses among `candidates`, which is never empty and holds only endpoints
// that match the request and have room.
using ChooseEndpoint =
    std::function<EndpointSlot(const PlacementQuery& query,
                               std::span<const EndpointSlot> candidates,
                               const EndpointTable& table)>;

class Policy {
 public:
  Policy(PolicyOptions options, ZoneId zone, std::uint64_t seed)
      : options_(options), zone_(std::move(zone)), random_(seed) {}

  EndpointSlot Choose(const PlacementQuery& query,
                      std::span<const EndpointSlot> candidates,
                      const EndpointTable& table);

  // Expected time to first token at an endpoint of ordinary speed.
  Duration Expected(const PlacementQuery& query,
                    EndpointSlot slot,
                    const EndpointTable& table) const;
  // The least time in which any endpoint could compute so many tokens.
  Duration LeastTime(std::int64_t tokens) const;

  // Whether an endpoint is slow in comparison with `others`, which includes it.
  bool IsSlow(EndpointSlot slot,
              std::span<const EndpointSlot> others,
              const EndpointTable& table,
              Instant now) const;

  // What was seen of a try; `observed` may be the time waited so far.
  void OnFirstToken(EndpointState& state,
                    Duration expected,
                    Duration observed,
                    Instant now) const;
  void OnComplete(EndpointState& state, Duration held_slot) const;

 private:
  struct Scored {
    EndpointSlot slot = 0;
    double seconds = 0;
  };

  double Seconds(const PlacementQuery& query,
                 EndpointSlot slot,
                 const EndpointTable& table) const;
  double SlownessOf(const EndpointState& state, Instant now) const;
  double RecomputeCost(double tokens) const;
  double MedianSlowness(std::span<const EndpointSlot> slots,
                        const EndpointTable& table,
                        Instant now) const;
  void ApplySlowness(const PlacementQuery& query,
                     std::span<const EndpointSlot> candidates,
                     const EndpointTable& table);
  void ApplyAffinity(const PlacementQuery& query, const EndpointTable& table);
  EndpointSlot Least();

  const PolicyOptions options_;
  const ZoneId zone_;
  std::mt19937_64 random_;
  // Kept between calls only for its memory.
  std::vector<Scored> scored_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_POLICY_H_
