// Plans the replacement of lost replicas and the growth of the group.
#include "control/replica_planner.h"

#include <algorithm>
#include <set>

namespace baobabrun {
namespace {

const ReplicaCandidate* Find(const std::vector<ReplicaCandidate>& candidates,
                             const VmId& vm) {
  const auto it =
      std::find_if(candidates.begin(), candidates.end(),
                   [&vm](const auto& candidate) { return candidate.vm == vm; });
  return it == candidates.end() ? nullptr : &*it;
}

}  // namespace

std::optional<ReplaceReplica> ReplicaPlanner::Plan(
    const std::vector<VmId>& voters,
    const VmId& learner,
    const std::vector<ReplicaCandidate>& candidates,
    Instant now) {
  if (now < next_proposal_) {
    return std::nullopt;
  }
  const auto is_gone = [&](const VmId& vm) {
    const auto* it = Find(candidates, vm);
    return it != nullptr && !it->alive &&
           it->gone_for >= options_.replace_lost_after;
  };
  // A running replacement isn't changed unless its learner is gone as well.
  if (!learner.empty() && !is_gone(learner)) {
    return std::nullopt;
  }
  const auto gone = std::find_if(voters.begin(), voters.end(), is_gone);
  const auto lost = gone == voters.end() ? VmId() : *gone;
  if (lost.empty() && voters.size() >= options_.target_replicas) {
    return std::nullopt;
  }
  const auto* best = ChooseCandidate(voters, lost, learner, candidates);
  if (best == nullptr) {
    return std::nullopt;
  }
  next_proposal_ = now + options_.interval;
  return ReplaceReplica{"", lost, best->vm};
}

const ReplicaCandidate* ReplicaPlanner::ChooseCandidate(
    const std::vector<VmId>& voters,
    const VmId& lost,
    const VmId& learner,
    const std::vector<ReplicaCandidate>& candidates) {
  std::set<ZoneId> zones;
  for (const auto& it : voters) {
    const auto* voter = Find(candidates, it);
    if (voter != nullptr && it != lost) {
      zones.insert(voter->zone);
    }
  }
  const ReplicaCandidate* best = nullptr;
  for (const auto& it : candidates) {
    const bool free =
        std::find(voters.begin(), voters.end(), it.vm) == voters.end();
    if (!it.alive || !free || it.vm == learner) {
      continue;
    }
    // A zone without a replica is preferred, so that the loss of a zone costs
    // as few replicas as possible.
    if (best == nullptr ||
        (zones.contains(best->zone) && !zones.contains(it.zone))) {
      best = &it;
    }
  }
  return best;
}

}  // namespace baobabrun
