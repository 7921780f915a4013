// Decides when a lost replica of the control log is replaced by another VM with
// a disk, so that the group tolerates the next loss, and when the group grows.
// Growth is needed because the log is bootstrapped by the few VMs that all
// others know, which may be fewer than the required fault tolerance needs.
//
// Runs on the leader a few times a second, outside the request path.
#ifndef CONTROL_REPLICA_PLANNER_H_
#define CONTROL_REPLICA_PLANNER_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control/proposal.h"

namespace baobabrun {

// A VM with a disk, in the leader's view of the fleet.
struct ReplicaCandidate {
  VmId vm;
  ZoneId zone;
  bool alive = false;
  Duration gone_for{};  // time since it was declared gone; zero if it isn't
};

struct ReplicaPlannerOptions {
  // A replica is replaced once it has been gone for this time.
  Duration replace_lost_after = milliseconds(500);
  // A replica that none of the candidates is counts as gone after this time:
  // all VMs may have started again since it was lost, so that none remembers
  // it.
  Duration replace_unknown_after = seconds(5);
  // Minimum time between two proposals.
  Duration interval = seconds(1);
  // Number of replicas that the group grows to if enough VMs are available.
  std::size_t target_replicas = 3;
};

class ReplicaPlanner {
 public:
  explicit ReplicaPlanner(ReplicaPlannerOptions options) : options_(options) {}

  // Returns the replacement that the leader should propose now, if any.
  // `voters` and `learner` are the group's present members; `candidates` are
  // all VMs with a disk.
  std::optional<ReplaceReplica> Plan(
      const std::vector<VmId>& voters,
      const VmId& learner,
      const std::vector<ReplicaCandidate>& candidates,
      Instant now);

 private:
  // Returns the VM that should become a replica in addition to the remaining
  // voters (`voters` without `lost`); null if there is none.
  static const ReplicaCandidate* ChooseCandidate(
      const std::vector<VmId>& voters,
      const VmId& lost,
      const VmId& learner,
      const std::vector<ReplicaCandidate>& candidates);

  // Updates unknown_since_.
  void RecordUnknown(const std::vector<VmId>& replicas,
                     const std::vector<ReplicaCandidate>& candidates,
                     Instant now);

  const ReplicaPlannerOptions options_;
  Instant next_proposal_;
  // Replicas that weren't candidates at the last call, and since when.
  std::map<VmId, Instant> unknown_since_;
};

}  // namespace baobabrun

#endif  // CONTROL_REPLICA_PLANNER_H_
