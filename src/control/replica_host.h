// Brings a replica, its files and the state machine together and carries out
// the replica's actions. Has no thread, clock or socket of its own, so that
// tests drive it under a manual clock and with a faulty disk.
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
  // Of a log that starts empty. Empty on a VM that is to join by replacement.
  std::vector<VmId> initial_replicas;
  MachineLimits limits;
  // A snapshot is taken after this many entries, or bytes of log.
  LogIndex snapshot_entries = 1024;
  std::size_t snapshot_bytes = std::size_t{4} << 20;
};

struct ReplicaHooks {
  std::function<void(ReplicaMessage)> send;
  // An entry was applied.
  std::function<void(const LogEntry&, const Applied&)> applied;
  // A state came into force. Called only once this disk notes that the state is
  // committed, so that a restart never leads to an older one. `changes` lead
  // here from the state before, over one or more versions; they are empty
  // where that isn't known, as at the start and after a snapshot.
  std::function<void(FleetStatePtr, const ChangeSet& changes)> state;
  std::function<void(bool leader, Term term)> leadership;
  std::function<void(const Error&)> disk_failed;
};

class ReplicaHost {
 public:
  // Opens the files and brings the state machine to where they note that
  // entries are committed. Later entries are applied once a leader says that
  // they are committed too.
  static Result<std::unique_ptr<ReplicaHost>> Open(ReplicaHostOptions options,
                                                   Disk& disk,
                                                   ReplicaHooks hooks,
                                                   std::mt19937_64 random,
                                                   Instant now);

  // Where a proposal went: its place in the log, or an answer at once.
  struct Place {
    Term term = 0;
    LogIndex index = 0;
  };
  using Proposed = std::variant<Place, ProposalResult>;

  void Receive(const ReplicaMessage& message, Instant now);
  void Tick(Instant now);
  // kNotAccepted if this isn't the leader. Takes effect with the next Run.
  Proposed Propose(const Proposal& proposal, std::int64_t time_ms, Instant now);
  void TransferLeadership(Instant now);
  // Sends what was proposed and carries out all actions that are due.
  void Run(Instant now);
  // Syncs what was written and carries out the actions that follow from it.
  void Sync(Instant now);
  bool needs_sync() const { return written_ > reported_ || unpublished_; }

  const Replica& replica() const { return replica_; }
  const FleetMachine& machine() const { return machine_; }

 private:
  ReplicaHost(ReplicaHostOptions options,
              std::unique_ptr<LogStore> store,
              FleetMachine machine,
              ReplicaHooks hooks,
              std::mt19937_64 random,
              Instant now);

  void Replay();
  Status Do(SendMessage& action);
  Status Do(const SaveHardState& action);
  Status Do(const AppendToDisk& action);
  Status Do(const SendSnapshot& action);
  Status Do(InstallSnapshot& action);
  Status Do(const ApplyEntry& action);
  Status Do(const BecameLeader& action);
  Status Do(const SteppedDown& action);
  Proposed ProposeReplacement(const ReplaceReplica& proposal, Instant now);
  void CarryOut();
  void Publish(const FleetStatePtr& state, const ChangeSet& changes);
  void Fail(const Error& error);
  Status MaybeTakeSnapshot();
  std::vector<LogEntry> EntriesAfter(LogIndex index) const;

  const ReplicaHostOptions options_;
  const std::unique_ptr<LogStore> store_;
  FleetMachine machine_;
  const ReplicaHooks hooks_;
  Replica replica_;
  // The machine's state isn't in force yet; `changes_` lead there, unless
  // versions were skipped.
  bool unpublished_ = false;
  bool skipped_ = false;
  ChangeSet changes_;
  bool replaying_ = false;
  std::uint64_t written_ = 0;   // sequence of the newest write
  std::uint64_t reported_ = 0;  // newest sequence reported as synced
};

}  // namespace baobabrun

#endif  // CONTROL_REPLICA_HOST_H_
