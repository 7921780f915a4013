// Connects a replica, its files and the state machine, and executes the
// replica's actions. Has no thread, clock or socket of its own, so that tests
// can run it with a manual clock and a faulty disk.
#ifndef CONTROL_REPLICA_HOST_H_
#define CONTROL_REPLICA_HOST_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "control/disk.h"
#include "control/fleet_machine.h"
#include "control/log_store.h"
#include "control/proposal.h"
#include "control/replica.h"

namespace baobabrun {

struct ReplicaHostOptions {
  ReplicaOptions replica;
  // Initial voters of a log that starts empty. The list is empty on a VM that
  // joins an existing log as a replacement.
  std::vector<VmId> initial_replicas;
  StateMachineLimits limits;
  // A snapshot is taken after this many entries since the last one, or once the
  // log file exceeds the snapshot's size by this many bytes.
  LogIndex snapshot_entries = 1024;
  std::size_t snapshot_bytes = std::size_t{4} << 20;
  // A stored state that no majority has confirmed is published this long after
  // the start, since a VM that is cut off serves by what it has.
  Duration confirmation_timeout = seconds(2);
};

struct ReplicaHooks {
  std::function<void(ReplicaMessage)> send;
  // Called after an entry was applied.
  std::function<void(const LogEntry&, const Applied&)> applied;
  // Called when a new state takes effect. This disk has recorded by then that
  // the state is committed, so that a restart never leads to an older state.
  // After the start it isn't called before the state is confirmed (see Replica)
  // or the confirmation has timed out.
  // `changes` lead from the previous state to this one, over one or more
  // versions; they are empty if they aren't known, as at the start and after a
  // snapshot was installed.
  std::function<void(FleetStatePtr, const ChangeSet& changes)> state;
  std::function<void(bool leader, Term term)> leadership;
  std::function<void(const Error&)> disk_failed;
};

class ReplicaHost {
 public:
  // Opens the files and applies the entries that they record as committed.
  // Later entries are applied once a leader reports them as committed.
  static Result<std::unique_ptr<ReplicaHost>> Open(ReplicaHostOptions options,
                                                   Disk& disk,
                                                   ReplicaHooks hooks,
                                                   std::mt19937_64 random,
                                                   Instant now);

  // Where a proposal was appended in the log.
  struct LogPosition {
    Term term = 0;
    LogIndex index = 0;
  };
  // The position of the proposal in the log, or its result if that is known
  // without a log entry.
  using ProposeResult = std::variant<LogPosition, ProposalResult>;

  void Receive(const ReplicaMessage& message, Instant now);
  void Tick(Instant now);
  // Returns kNotAccepted if this replica isn't the leader. The next Run sends
  // and writes the entry.
  ProposeResult Propose(const Proposal& proposal,
                        std::int64_t time_ms,
                        Instant now);
  void TransferLeadership(Instant now);
  // Sends and writes proposed entries and executes the replica's actions.
  void Run(Instant now);
  // Syncs the log file, publishes the state if it changed, and executes the
  // actions that follow. Must follow Run without another input in between, so
  // that the file holds the record of every applied change.
  void Sync(Instant now);
  bool needs_sync() const {
    return written_ > reported_ || unrecorded_ ||
           (unpublished_ && may_publish_);
  }
  // The newest entry that changed the fleet's state.
  LogIndex last_change() const { return last_change_; }

  const Replica& replica() const { return replica_; }
  const FleetStateMachine& machine() const { return machine_; }

 private:
  ReplicaHost(ReplicaHostOptions options,
              std::unique_ptr<LogStore> store,
              FleetStateMachine machine,
              ReplicaHooks hooks,
              std::mt19937_64 random,
              Instant now);

  void Replay();
  Status ExecuteAction(SendMessage& action);
  Status ExecuteAction(const SaveHardState& action);
  Status ExecuteAction(const AppendToDisk& action);
  Status ExecuteAction(const SendSnapshot& action);
  Status ExecuteAction(InstallSnapshot& action);
  Status ExecuteAction(const ApplyEntry& action);
  Status ExecuteAction(const BecameLeader& action);
  Status ExecuteAction(const SteppedDown& action);
  ProposeResult ProposeReplacement(const ReplaceReplica& proposal, Instant now);
  void ExecuteActions();
  void MaybePublish();
  void Fail(const Error& error);
  Status MaybeTakeSnapshot();
  std::vector<LogEntry> EntriesAfter(LogIndex index) const;

  const ReplicaHostOptions options_;
  const std::unique_ptr<LogStore> store_;
  FleetStateMachine machine_;
  const ReplicaHooks hooks_;
  Replica replica_;
  bool may_publish_ = false;
  const Instant publish_at_;  // without confirmation
  LogIndex last_change_ = 0;
  // True while the log file's record of the newest commit isn't synced.
  bool unrecorded_ = false;
  // True while the state machine's state isn't published yet. `changes_` lead
  // to it from the published state unless `versions_skipped_` is set.
  bool unpublished_ = false;
  bool versions_skipped_ = false;
  ChangeSet changes_;
  bool replaying_ = false;
  std::uint64_t written_ = 0;   // sequence of the newest write
  std::uint64_t reported_ = 0;  // newest sequence reported as synced
};

}  // namespace baobabrun

#endif  // CONTROL_REPLICA_HOST_H_
