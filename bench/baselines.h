// Simple placement policies that the project's policy is compared with. Each
// one replaces the policy in a dispatcher that is otherwise the same: it still
// checks endpoints for free capacity, retries, and exchanges the requests in
// flight with the other VMs.
#ifndef BENCH_BASELINES_H_
#define BENCH_BASELINES_H_

#include <cstdint>

#include "placement/policy.h"

namespace baobabrun::bench {

// Each function returns a policy that chooses one of the endpoints that the
// dispatcher offers.
ChooseEndpoint RandomChoice(std::uint64_t seed);
ChooseEndpoint RoundRobin();
ChooseEndpoint LeastLoaded(std::uint64_t seed);
// Chooses the endpoint with the highest rendezvous hash of its id and the
// prompt's first block.
ChooseEndpoint HashOfFirstBlock();

}  // namespace baobabrun::bench

#endif  // BENCH_BASELINES_H_
