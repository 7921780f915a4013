// Messages between replicas, and the actions that a replica asks its host to
// carry out.
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
  Term term = 0;  // that the sender would lead
  // A pre-vote only asks whether a vote would be granted; nobody's term
  // changes, so that a replica that was cut off disturbs no leader.
  bool pre = false;
  // The old leader asked for this election and gave up its lease.
  bool transfer = false;
  LogIndex last_index = 0;
  Term last_term = 0;
};

struct VoteResponse {
  Term term = 0;  // as asked for if granted, else the sender's own
  bool pre = false;
  bool granted = false;
};

// Also the leader's heartbeat, when it carries no entries.
struct AppendRequest {
  Term term = 0;
  LogIndex previous_index = 0;
  Term previous_term = 0;
  std::vector<LogEntry> entries;  // follow previous_index without a gap
  LogIndex commit = 0;
  Instant sent;  // by the leader's clock; comes back in the response
};

struct AppendResponse {
  Term term = 0;
  bool matched = false;
  // If matched: every entry up to here equals the leader's and is synced.
  // Else: the last entry that may equal the leader's.
  LogIndex index = 0;
  Instant sent;  // of the request; the earliest instant if there was none
};

// Answered by an AppendResponse.
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

using ReplicaPayload = std::variant<VoteRequest,
                                    VoteResponse,
                                    AppendRequest,
                                    AppendResponse,
                                    SnapshotRequest,
                                    CampaignNow>;

struct ReplicaMessage {
  VmId from;
  VmId to;
  ReplicaPayload payload;
};

// Actions are carried out in the order given. If one fails, the host drops the
// rest and calls Replica::DiskFailed.

struct SendMessage {
  ReplicaMessage message;
};
// Must be durable before the next action.
struct SaveHardState {
  HardState hard_state;
};
// Writes entries; one whose index isn't new replaces that entry and all after
// it. The host calls Replica::Synced with `sequence` once they are durable.
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
// Replaces the stored snapshot and the state machine by this one. The stored
// log keeps the entries after it only if `keep_entries`. Must be durable before
// the next action.
struct InstallSnapshot {
  SnapshotMeta meta;
  std::string data;
  bool keep_entries = false;
};
// Applies a committed entry. Entries come in order of their index.
struct ApplyEntry {
  LogEntry entry;
};
struct BecameLeader {
  Term term = 0;
};
struct SteppedDown {
  Term term = 0;  // that it led
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
