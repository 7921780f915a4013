// The control part of one VM's process: a thread that runs a replica of the
// log, if this VM has one, and forwards proposals to the leader.
#ifndef CONTROL_CONTROL_NODE_H_
#define CONTROL_CONTROL_NODE_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "control/change.h"
#include "control/proposal.h"
#include "membership/peer_message.h"
#include "settings/declarations.h"

namespace baobabrun {

struct ControlOptions {
  VmId self;
  // The initial replicas of a log that starts empty; the same on every VM. A
  // replica that isn't in this list waits until a ReplaceReplica adds it.
  std::vector<VmId> replicas;
  // Whether this VM runs a replica. If not, it only forwards proposals.
  bool replica = false;
  // Whether this VM may bootstrap the log together with the other `replicas`.
  // If not, and its disk is empty, it waits until a ReplaceReplica adds it.
  bool may_bootstrap = true;
  std::filesystem::path data_dir;  // folder of the replica's files
  Duration heartbeat = milliseconds(100);
  // An election starts between once and twice this time after the last message
  // from the leader.
  Duration election_timeout = seconds(1);
  std::int64_t clock_drift_ppm = 500;
  SendToPeer send;
  // Called on replicas when a new state takes effect, with versions that never
  // decrease. `changes` lead from the state of the previous call to this one,
  // over one or more versions; they are empty if they aren't known, as at the
  // start.
  std::function<void(FleetStatePtr state, const ChangeSet& changes)> on_state;
  // Called when this replica becomes leader of a term and when it steps down.
  std::function<void(bool leader, std::uint64_t term)> on_leadership;
};

struct ControlStatus {
  VmId leader;  // empty if not known
  std::uint64_t term = 0;
  // True if this VM was the leader and no other VM could be when the status was
  // read.
  bool has_lease = false;
  // When the lease ends if no further responses arrive.
  Instant lease_end = Instant::min();
  // True while this VM's replica is stopped because its disk has failed.
  bool disk_failed = false;
  std::uint64_t commit_index = 0;
  VmId learner;  // the VM that is being added; empty if there is none
  // The voters, then the learner if there is one, with the highest log index
  // that each has synced, as known to the leader. On other replicas only this
  // VM's own index is set.
  std::vector<std::pair<VmId, std::uint64_t>> replicas;
};

class ControlLoop;

// Runs the control thread. The callbacks in ControlOptions and the `done`
// functions run on that thread and must not block.
class ControlNode {
 public:
  // Opens the files, calls on_state with the stored state, and starts the
  // thread. Errors: ControlError::kBadOptions, kCorrupt, kDiskFull, kDisk.
  static Result<std::unique_ptr<ControlNode>> Start(ControlOptions options);
  // Calls Stop.
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Queues a message of topic kControl or kOperators. Never blocks; drops the
  // message if the queue is full.
  void Receive(PeerMessage message);

  // Calls `done` once, at the deadline at the latest. The outcome is
  // kNotAccepted only if the proposal is certainly not committed, and kUnknown
  // if it may be committed. Retries use the same operation id; an empty id is
  // replaced by a random one. Never blocks; if the queue is full, `done` runs
  // immediately on the caller's thread.
  void Propose(Proposal proposal, Instant deadline, const ProposalDone& done);

  ControlStatus Status() const;

  // Transfers leadership, finishes all proposals and ends the thread.
  void Stop();

 private:
  explicit ControlNode(std::unique_ptr<ControlLoop> loop);

  std::unique_ptr<ControlLoop> loop_;
};

}  // namespace baobabrun

#endif  // CONTROL_CONTROL_NODE_H_
