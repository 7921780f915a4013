// Messages between replicas, and the actions that a Replica returns for its
// ReplicaHost to execute.
#ifndef CONTROL_REPLICA_MESSAGE_H_
#define CONTROL_REPLICA_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control/log_entry.h"

namespace baobabrun {

struct VoteRequest {
  Term term = 0;  // the term that the sender would lead
  // A pre-vote only asks whether a vote would be granted. It changes no term,
  // so a replica that returns after a partition doesn't depose the leader.
  bool pre = false;
  // True if the previous leader requested this election and gave up its lease.
  bool transfer = false;
  LogIndex last_index = 0;
  Term last_term = 0;
};

struct VoteResponse {
  Term term = 0;  // the requested term if granted, else the sender's own term
  bool pre = false;
  bool granted = false;
};

// Carries log entries. Without entries it serves as the leader's heartbeat.
struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  std::vector<LogEntry> entries;  // follow previous_index without a gap
  LogIndex commit = 0;
  Instant sent;  // by the leader's clock; the response returns it
  // The start of the receiver that the leader knows (see CommitQuery); zero if
  // it knows none.
  std::uint64_t receiver_start = 0;
};

struct AppendResponse {
  Term term = 0;
  bool matched = false;
  // If `matched`, every entry up to this index equals the leader's and is
  // synced. Otherwise the index of the last entry that may equal the leader's.
  LogIndex index = 0;
  // Copied from the request; Instant::min() if the response carries none.
  Instant sent;
  // A start of the sender leads to a state that includes all changes up to this
  // index.
  LogIndex recorded = 0;
  std::uint64_t start = 0;  // random number drawn at the start of the sender
};

// The follower responds with an AppendResponse.
struct SnapshotRequest {
  Term term = 0;
  SnapshotMeta meta;
  std::string data;
  Instant sent;
};

// Asks a replica to start an election at once, without a pre-vote.
struct CampaignNow {
  Term term = 0;
};

// Sent by a replica that doesn't know yet whether the state on its disk is the
// newest, and to a leader that doesn't know this start of the replica. Answered
// by CommitReport.
struct CommitQuery {
  std::uint64_t start = 0;  // random number drawn at the start of the sender
};

// The highest entry that the sender knows to be committed.
struct CommitReport {
  std::uint64_t start = 0;  // copied from the query
  LogIndex index = 0;
  Term term = 0;  // of that entry
  bool trusted = false;
  // True if the sender was the only leader, so that no later entry was
  // committed.
  bool newest = false;
  LogIndex membership_index = 0;  // of the newest membership in its log
};

using ReplicaPayload = std::variant<VoteRequest,
                                    VoteResponse,
                                    AppendRequest,
                                    AppendResponse,
                                    SnapshotRequest,
                                    CampaignNow,
                                    CommitQuery,
                                    CommitReport>;

struct ReplicaMessage {
  VmId from;
  VmId to;
  ReplicaPayload payload;
};

// The host executes actions in the given order. If one fails, the host drops
// the rest and calls Replica::DiskFailed.

struct SendMessage {
  ReplicaMessage message;
};
// The hard state must be durable before the next action is executed.
struct SaveHardState {
  HardState hard_state;
};
// Writes entries. An entry whose index is in the log already replaces that
// entry and all later ones. The host calls Replica::Synced with `sequence` once
// the entries are durable.
struct AppendToDisk {
  std::uint64_t sequence = 0;
  std::vector<LogEntry> entries;
};
// Sends the host's newest stored snapshot in a SnapshotRequest.
struct SendSnapshot {
  VmId to;
  Term term = 0;
  Instant sent;
};
// Replaces the stored snapshot and the state machine's contents with this
// snapshot. The stored log keeps the entries after the snapshot only if
// `keep_entries` is set. The snapshot must be durable before the next action is
// executed.
struct InstallSnapshot {
  SnapshotMeta meta;
  std::string data;
  bool keep_entries = false;
};
// Applies a committed entry. These actions are in order of the entries' index.
struct ApplyEntry {
  LogEntry entry;
};
struct BecameLeader {
  Term term = 0;
};
struct SteppedDown {
  Term term = 0;  // the term that this replica led
};

using ReplicaAction = std::variant<SendMessage,
                                   SaveHardState,
                                   AppendToDisk,
                                   SendSnapshot,
                                   InstallSnapshot,
                                   ApplyEntry,
                                   BecameLeader,
                                   SteppedDown>;

}  // namespace baobabrun

#endif  // CONTROL_REPLICA_MESSAGE_H_
