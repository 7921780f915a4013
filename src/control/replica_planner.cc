// Plans the replacement of lost replicas and the growth of the group.
#include "control/replica_planner.h"

#include <algorithm>
#include <set>
#include <utility>

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

void ReplicaPlanner::RecordUnknown(
    const std::vector<VmId>& replicas,
    const std::vector<ReplicaCandidate>& candidates,
    Instant now) {
  std::map<VmId, Instant> unknown;
  for (const auto& it : replicas) {
    if (!it.empty() && Find(candidates, it) == nullptr) {
      const auto known = unknown_since_.find(it);
      unknown[it] = known == unknown_since_.end() ? now : known->second;
    }
  }
  unknown_since_ = std::move(unknown);
}

std::optional<ReplaceReplica> ReplicaPlanner::Plan(
    const std::vector<VmId>& voters,
    const VmId& learner,
    const std::vector<ReplicaCandidate>& candidates,
    Instant now) {
  auto replicas = voters;
  replicas.push_back(learner);
  RecordUnknown(replicas, candidates, now);
  if (now < next_proposal_) {
    return std::nullopt;
  }
  const auto is_gone = [&](const VmId& vm) {
    const auto* it = Find(candidates, vm);
    if (it == nullptr) {
      const auto unknown = unknown_since_.find(vm);
      return unknown != unknown_since_.end() &&
             now - unknown->second >= options_.replace_unknown_after;
    }
    return !it->alive && it->gone_for >= options_.replace_lost_after;
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
