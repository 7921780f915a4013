// Implements the baseline policies.
#include "baselines.h"

#include <algorithm>
#include <memory>
#include <random>

#include "base/hash.h"

namespace baobabrun::bench {

ChooseEndpoint RandomChoice(std::uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return [random](const PlacementQuery&, std::span<const EndpointIndex> from,
                  const EndpointTable&) {
    return from[(*random)() % from.size()];
  };
}

ChooseEndpoint RoundRobin() {
  auto last = std::make_shared<EndpointIndex>(0);
  return [last](const PlacementQuery&, std::span<const EndpointIndex> from,
                const EndpointTable&) {
    const auto next = std::upper_bound(from.begin(), from.end(), *last);
    *last = next == from.end() ? from.front() : *next;
    return *last;
  };
}

ChooseEndpoint LeastLoaded(std::uint64_t seed) {
  auto random = std::make_shared<std::mt19937_64>(seed);
  return
      [random](const PlacementQuery& query, std::span<const EndpointIndex> from,
               const EndpointTable& table) {
        EndpointIndex best = from.front();
        std::int32_t least = -1;
        std::uint64_t ties = 0;
        for (const auto slot : from) {
          const auto running = table.LoadOf(slot, query.now).running;
          if (least < 0 || running < least) {
            best = slot;
            least = running;
            ties = 1;
          } else if (running == least && (*random)() % ++ties == 0) {
            best = slot;
          }
        }
        return best;
      };
}

ChooseEndpoint HashOfFirstBlock() {
  return [](const PlacementQuery& query, std::span<const EndpointIndex> from,
            const EndpointTable& table) {
    return *std::max_element(
        from.begin(), from.end(), [&](EndpointIndex left, EndpointIndex right) {
          const auto rank = [&](EndpointIndex slot) {
            return FastHash(table.at(slot).last.endpoint.value(),
                            query.blocks.front());
          };
          return rank(left) < rank(right);
        });
  };
}

}  // namespace baobabrun::bench
