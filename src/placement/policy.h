// Which endpoint runs a request: the one with the least expected time to first
// token.
#ifndef PLACEMENT_POLICY_H_
#define PLACEMENT_POLICY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>

#include "base/ids.h"
#include "base/time.h"
#include "placement/endpoint_table.h"
#include "prefix/block_hash.h"
#include "requests/request.h"

namespace baobabrun {

struct PolicyOptions {
  // Prompt tokens an ordinary engine computes in a second.
  double prefill_tokens_per_second = 10'000;
  // How long an ordinary request holds its slot, for the wait at full ones.
  Duration service_time = seconds(2);
  // Added to the expected time of endpoints in other zones.
  Duration other_zone = milliseconds(2);
};

struct PlacementQuery {
  const Request* request = nullptr;
  std::span<const BlockHash> blocks;
  Instant now;
};

struct Choice {
  EndpointSlot slot = 0;
  // Prompt tokens that the endpoint is expected to compute.
  std::int64_t prefill_tokens = 0;
  // Expected time to first token.
  Duration expected{};
};

// Chooses among `candidates`, which is never empty and holds only endpoints
// that match the request and have room.
using ChooseEndpoint =
    std::function<Choice(const PlacementQuery& query,
                         std::span<const EndpointSlot> candidates,
                         const EndpointTable& table)>;

class Policy {
 public:
  Policy(PolicyOptions options, ZoneId zone, std::uint64_t seed)
      : options_(options), zone_(std::move(zone)), random_(seed) {}

  Choice Choose(const PlacementQuery& query,
                std::span<const EndpointSlot> candidates,
                const EndpointTable& table);

 private:
  Choice Estimate(const PlacementQuery& query,
                  EndpointSlot slot,
                  const EndpointTable& table) const;

  const PolicyOptions options_;
  const ZoneId zone_;
  std::mt19937_64 random_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_POLICY_H_
