// Basic types of the replicated log: entries, membership, the state that a
// replica must keep on disk, and the description of a snapshot.
#ifndef CONTROL_LOG_ENTRY_H_
#define CONTROL_LOG_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace baobabrun {

// Number of an election. At most one leader exists for each term, so a term can
// also be used as a fencing token.
using Term = std::uint64_t;
// Position in the log; the first entry has index 1.
using LogIndex = std::uint64_t;

// The replicas of the log. A replacement goes through three memberships: the
// first adds `learner`, the second makes the learner a voter, and the third
// removes `leaving`. If the group only grows, `leaving` is empty and the second
// membership is the last.
struct Membership {
  std::vector<VmId> voters;
  VmId learner;  // receives the log but has no vote; empty if there is none
  VmId leaving;  // removed once the learner is a voter; empty if there is none
  std::string operation_id;  // operation that created this membership

  bool IsVoter(const VmId& vm) const;
  // Returns the voters and the learner.
  std::vector<VmId> Replicas() const;

  bool operator==(const Membership&) const = default;
};

struct LogEntry {
  Term term = 0;
  LogIndex index = 0;
  // An encoded proposal. Empty in the first entry of a term and in entries that
  // change the membership.
  std::string payload;
  std::optional<Membership> membership;

  bool operator==(const LogEntry&) const = default;
};

// State that must be durable before a replica sends a response based on it.
struct HardState {
  Term term = 0;
  VmId vote;  // the replica voted for in `term`; empty if there is none
  // False while the replica may lack entries that it confirmed earlier, because
  // it started with an empty disk. See Replica.
  bool trusted = false;

  bool operator==(const HardState&) const = default;
};

// The last entry that a snapshot covers, and the membership at that entry.
struct SnapshotMeta {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;

  bool operator==(const SnapshotMeta&) const = default;
};

// The state that a replica reads from its disk at the start.
struct StoredReplicaState {
  HardState hard_state;
  SnapshotMeta snapshot;
  std::vector<LogEntry> entries;  // follow the snapshot without a gap
  // Highest index known to be committed; the snapshot or `entries` cover it.
  LogIndex commit = 0;
};

}  // namespace baobabrun

#endif  // CONTROL_LOG_ENTRY_H_
