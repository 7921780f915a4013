// The control duty of one VM's process: a thread that runs a replica of the
// log, if this VM has one, and brings proposals to the leader.
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
  // The replicas of a log that starts empty, the same on every VM. A replica
  // that isn't among them waits until a ReplaceReplica adds it.
  std::vector<VmId> replicas;
  bool replica = false;  // else this VM only forwards proposals
  // Whether this VM may start the log together with the other `replicas`. If
  // not, and its disk is empty, it waits until a ReplaceReplica adds it.
  bool founds = true;
  std::filesystem::path data_dir;  // of a replica
  Duration heartbeat = milliseconds(100);
  // An election starts once or twice this long after the leader was last heard.
  Duration election_timeout = seconds(1);
  std::int64_t clock_drift_ppm = 500;
  SendToPeer send;
  // Called on replicas when a state came into force, versions rising. `changes`
  // lead here from the state of the call before, over one or more versions;
  // empty where that isn't known, as at the start.
  std::function<void(FleetStatePtr state, const ChangeSet& changes)> on_state;
  // Called when this replica becomes leader of a term or stops leading it.
  std::function<void(bool leader, std::uint64_t term)> on_leadership;
};

struct ControlStatus {
  VmId leader;  // empty: not known
  std::uint64_t term = 0;
  // True if this VM led and no other could at the moment of the question.
  bool has_lease = false;
  // Until when that holds if nothing more is heard.
  Instant lease_end = Instant::min();
  bool disk_failed = false;  // this VM's replica is out until its disk works
  std::uint64_t commit_index = 0;
  VmId learner;  // is being added; empty: none
  // Voters first, then a learner; how far each is, as the leader knows it
  // (elsewhere only this VM's own figure is set).
  std::vector<std::pair<VmId, std::uint64_t>> replicas;
};

class ControlLoop;

// Hooks and `done` functions run on the node's thread and must not block.
class ControlNode {
 public:
  // Opens the files, calls on_state with the stored state, and starts the
  // thread. Errors: ControlError::kBadOptions, kCorrupt, kDiskFull, kDisk.
  static Result<std::unique_ptr<ControlNode>> Start(ControlOptions options);
  // Stops.
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Takes a message of topic kControl or kOperators. Never blocks; a message
  // that finds the ring full is dropped.
  void Receive(PeerMessage message);

  // Calls `done` once, at the deadline at the latest: kNotAccepted only if the
  // proposal is certainly not committed, kUnknown if it may be. Retries use the
  // same operation id; an empty one is replaced by a random one. Never blocks;
  // if the ring is full, `done` runs at once on the caller's thread.
  void Propose(Proposal proposal, Instant deadline, const ProposalDone& done);

  ControlStatus Status() const;

  // Hands leadership over, finishes all proposals and ends the thread.
  void Stop();

 private:
  explicit ControlNode(std::unique_ptr<ControlLoop> loop);

  std::unique_ptr<ControlLoop> loop_;
};

}  // namespace baobabrun

#endif  // CONTROL_CONTROL_NODE_H_
