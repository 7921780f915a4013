// Simple ways to choose an endpoint, to compare the policy with. They take the
// place of the policy in a dispatcher that is the same otherwise: with room,
// retries and the exchange of requests in flight.
#ifndef BENCH_BASELINES_H_
#define BENCH_BASELINES_H_

#include <cstdint>

#include "placement/policy.h"

namespace baobabrun::bench {

ChooseEndpoint RandomChoice(std::uint64_t seed);
ChooseEndpoint RoundRobin();
ChooseEndpoint LeastLoaded(std::uint64_t seed);
// The endpoint ranked first for the prompt's first block.
ChooseEndpoint HashOfFirstBlock();

}  // namespace baobabrun::bench

#endif  // BENCH_BASELINES_H_
