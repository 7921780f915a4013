// One replica of the control log, based on Raft: elections, replication, commit
// and membership changes. The class does no I/O and has no clock: its
// ReplicaHost executes the actions, passes messages on and provides the time.
//
// - Elections: an election starts with a pre-vote. A replica that received a
//   message from a leader within the election timeout grants no vote. So a
//   leader that received responses from a majority within that time is the only
//   leader: it holds a lease. A leader that has no responses from a majority
//   for that time steps down.
// - Commit: an entry counts as stored on a replica only once it is synced
// there.
//   The leader commits by counting only entries of its own term.
// - Start: followers learn of a commit after the leader, so the stored state of
//   a single replica may be older than what was acknowledged. A replica that
//   starts asks the others what they know to be committed; its state is
//   confirmed once a majority has answered, or the leader, and it has all of
//   it. This needs no leader: if it has the entry that an answer names, its log
//   is equal up to there.
// - Lost disks: a replica that starts with an empty disk can't know which
//   entries it confirmed before. It is not trusted until it has caught up with
//   a leader and its state is confirmed. Until then it votes only for replicas
//   whose logs are empty too, which is how a new fleet elects its first leader.
#ifndef CONTROL_REPLICA_H_
#define CONTROL_REPLICA_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "control/entry_log.h"
#include "control/log_entry.h"
#include "control/replica_message.h"

namespace baobabrun {

struct ReplicaOptions {
  VmId self;
  Duration heartbeat = milliseconds(100);
  // Must be several heartbeats. The time until an election is random between
  // once and twice this timeout.
  Duration election_timeout = seconds(1);
  // Upper bound for how much faster or slower than real time any clock of the
  // fleet runs.
  std::int64_t clock_drift_ppm = 500;
  // Entries kept below a snapshot: the newest ones, up to this number and to
  // these bytes. A replica that lags by no more than this is sent entries
  // instead of the snapshot.
  LogIndex kept_entries = 256;
  std::size_t kept_bytes = std::size_t{4} << 20;
};

enum class ReplicaRole { kFollower, kPreCandidate, kCandidate, kLeader };
std::string_view NameOf(ReplicaRole role);

class Replica {
 public:
  Replica(ReplicaOptions options,
          StoredReplicaState stored,
          std::mt19937_64 random,
          Instant now);

  // The following functions are the inputs. Each may add actions.
  void Receive(const ReplicaMessage& message, Instant now);
  void Tick(Instant now);
  // Reports that all writes up to the AppendToDisk with this sequence are
  // durable.
  void Synced(std::uint64_t sequence, Instant now);
  // Stops this replica permanently because its disk can't be relied on. The
  // host may later create a new Replica from the contents of the disk.
  void DiskFailed();
  // Appends an entry and returns its index; returns nullopt if this replica
  // isn't the leader. Flush sends and writes the entry.
  std::optional<LogIndex> Propose(std::string payload);
  // Starts replacing the voter `remove` with the VM `add`. Fails if this
  // replica isn't the leader or another replacement is in progress. Until the
  // added VM has caught up, a further call with the same `remove` may name
  // another VM, or `remove` itself to cancel the replacement. With an empty
  // `remove` the group grows by one voter; until that VM has caught up, any
  // replacement may supersede the growth.
  Result<LogIndex> ProposeReplacement(const VmId& remove,
                                      const VmId& add,
                                      const std::string& operation_id);
  // Sends and writes the entries proposed since the last Flush.
  void Flush(Instant now);
  // Reports that a start of this replica leads to a state that includes all
  // changes up to `index`. If `respond` is set, a follower tells the leader at
  // once instead of with its next response.
  void Recorded(LogIndex index, bool respond);
  // Reports that the applied entry `index` changed the state.
  void StateChanged(LogIndex index) { last_change_ = index; }
  // Reports that a stored snapshot covers the entries up to `index`.
  void Compacted(LogIndex index);
  // Transfers leadership to the voter with the longest confirmed log. Does
  // nothing if this replica isn't the leader.
  void TransferLeadership(Instant now);

  std::vector<ReplicaAction> TakeActions();
  // Returns when Tick must be called next.
  Instant next_tick() const;

  ReplicaRole role() const { return role_; }
  bool IsLeader() const { return role_ == ReplicaRole::kLeader; }
  // Returns true only while no other replica can be leader.
  bool HasLease(Instant now) const;
  // Returns when the lease ends if no further responses arrive after `now`. The
  // result is in the past if there is no lease.
  Instant LeaseEnd(Instant now) const;
  Term term() const { return hard_state_.term; }
  // Returns the leader of the present term; empty if none is known.
  const VmId& leader() const { return leader_; }
  LogIndex commit_index() const { return commit_; }
  LogIndex applied_index() const { return applied_; }
  // Returns the highest index that a majority of the voters has reported as
  // recorded (see Recorded), as known to the leader; zero on other replicas.
  LogIndex RecordedByMajority() const;
  // Whether the applied entries include every change that a majority had
  // recorded when this replica started.
  bool confirmed() const { return confirmed_; }
  bool failed() const { return failed_; }
  bool trusted() const { return hard_state_.trusted; }
  const EntryLog& log() const { return log_; }
  // The replicas that have granted this one's newest vote or pre-vote.
  const std::set<VmId>& votes() const { return votes_; }
  const Membership& membership() const { return log_.membership(); }
  // Returns for each replica the highest index that it has synced, as known to
  // the leader. On other replicas only their own index is set.
  std::vector<std::pair<VmId, LogIndex>> MatchIndexes() const;

 private:
  // The leader's record of another replica.
  struct Progress {
    LogIndex next = 1;   // the next entry to send; higher than `match`
    LogIndex match = 0;  // synced there and equal to the leader's log
    LogIndex recorded = 0;
    // The replica's start that `match` and `recorded` belong to, from its
    // newest CommitQuery. Responses of other starts don't count: the replica
    // may have lost its disk since.
    std::uint64_t start = 0;
    // Newest `sent` value that the replica returned in a response.
    Instant acked = Instant::min();
    // Earliest time at which a snapshot may be sent again.
    Instant snapshot_due = Instant::min();
  };

  // replica.cc
  void Send(const VmId& to, ReplicaPayload payload);
  void SaveState();
  void BecomeFollower(Term term, const VmId& leader, Instant now);
  void EnterTerm(Term term, const VmId& vote);
  void StepDown(Instant now);
  void ResetElectionDeadline(Instant now);
  void WriteToDisk(std::vector<LogEntry> entries);
  void ApplyCommitted();
  void QueryCommits(Instant now);
  void UpdateConfirmed();
  void Handle(const VmId& from, const CommitQuery& query, Instant now);
  void Handle(const VmId& from, const CommitReport& report, Instant now);
  std::size_t Majority() const { return membership().voters.size() / 2 + 1; }

  // replica_election.cc
  bool MayCampaign() const;
  bool HasRecentLeader(Instant now) const;
  bool MayGrant(const VoteRequest& request) const;
  void StartPreVote(Instant now);
  void StartElection(bool transfer, Instant now);
  void RequestVotes(const VoteRequest& request);
  void BecomeLeader(Instant now);
  void Handle(const VmId& from, const VoteRequest& request, Instant now);
  void Handle(const VmId& from, const VoteResponse& response, Instant now);
  void Handle(const VmId& from, const CampaignNow& request, Instant now);

  // replica_leader.cc
  void TickLeader(Instant now);
  Instant LastQuorumContact(Instant now) const;
  void AppendAsLeader(LogEntry entry);
  void SendAppend(const VmId& to, bool heartbeat, Instant now);
  void SendHeartbeats(Instant now);
  void MaybeCommit(Instant now);
  void MaybeChangeMembership();
  void UpdateProgressMap();
  void Handle(const VmId& from, const AppendResponse& response, Instant now);

  // replica_follower.cc
  bool AcceptLeader(const VmId& from, Term term, Instant now);
  LogIndex ConflictHint(LogIndex previous) const;
  bool StoreEntries(const std::vector<LogEntry>& entries);
  void ConfirmSynced(const VmId& to, Instant sent);
  void AdvanceCommit(LogIndex commit);
  void MaybeMarkTrusted();
  void Handle(const VmId& from, const AppendRequest& request, Instant now);
  void Handle(const VmId& from, const SnapshotRequest& request, Instant now);

  const ReplicaOptions options_;
  std::mt19937_64 random_;
  std::vector<ReplicaAction> actions_;

  HardState hard_state_;
  EntryLog log_;
  ReplicaRole role_ = ReplicaRole::kFollower;
  VmId leader_;
  bool failed_ = false;

  // applied_ <= commit_, applied_ <= synced_, synced_ <= log_.last_index().
  LogIndex commit_;
  LogIndex applied_;
  LogIndex synced_;
  LogIndex recorded_ = 0;     // see Recorded
  LogIndex last_change_ = 0;  // see StateChanged
  // Writes that aren't synced yet: the sequence number, and the highest index
  // of that write that is still in the log.
  std::deque<std::pair<std::uint64_t, LogIndex>> writes_;
  std::uint64_t last_sequence_ = 0;

  // On followers, the log equals the present leader's log up to this index.
  LogIndex verified_;
  // On followers, `sent` of the newest request whose entries aren't synced yet.
  Instant unconfirmed_sent_ = Instant::min();
  // When a message from a leader last arrived. A restart counts as such a
  // message, because the replica may have responded to a leader, and so
  // extended its lease, just before the restart.
  Instant last_leader_contact_;
  Instant election_deadline_;

  // False from the start until a majority has reported what it knows to be
  // committed, and this replica has all of it.
  bool confirmed_ = false;
  std::uint64_t start_;  // identifies the answers to this start's queries
  std::map<VmId, CommitReport> commit_reports_;
  Instant commit_query_due_;

  // On candidates, the replicas that granted their vote or pre-vote.
  std::set<VmId> votes_;

  // The following members are used by the leader only.
  std::map<VmId, Progress> progress_;
  Instant became_leader_;
  Instant heartbeat_due_;
  LogIndex flushed_ = 0;  // entries up to this index were written and sent
};

}  // namespace baobabrun

#endif  // CONTROL_REPLICA_H_
