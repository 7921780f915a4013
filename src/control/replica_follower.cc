// Replica as follower: receiving entries and snapshots from the leader.
#include <algorithm>
#include <utility>

#include "control/replica.h"

namespace baobabrun {

// Returns whether `from` is the leader of the present or a newer term. If its
// term is older, sends a response with the present term and returns false.
bool Replica::AcceptLeader(const VmId& from, Term term, Instant now) {
  if (term < hard_state_.term) {
    Send(from, AppendResponse{hard_state_.term, false, commit_, Instant::min(),
                              recorded_, start_});
    return false;
  }
  BecomeFollower(term, from, now);
  last_leader_contact_ = now;
  ResetElectionDeadline(now);
  return true;
}

void Replica::Handle(const VmId& from,
                     const AppendRequest& request,
                     Instant now) {
  if (!AcceptLeader(from, request.term, now)) {
    return;
  }
  if (request.receiver_start != start_) {
    Send(from, CommitQuery{start_});
  }
  const LogIndex previous = request.previous_index;
  const bool known = previous < log_.base_index() ||
                     log_.TermAt(previous) == request.previous_term;
  if (!known) {
    Send(from, AppendResponse{term(), false, ConflictHint(previous),
                              request.sent, recorded_, start_});
    return;
  }
  const bool wrote = StoreEntries(request.entries);
  verified_ = std::max(verified_, previous + request.entries.size());
  AdvanceCommit(request.commit);
  if (wrote) {
    unconfirmed_sent_ = std::max(unconfirmed_sent_, request.sent);
  } else {
    ConfirmSynced(from, request.sent);
  }
  MaybeMarkTrusted();
}

void Replica::Handle(const VmId& from,
                     const SnapshotRequest& request,
                     Instant now) {
  if (!AcceptLeader(from, request.term, now)) {
    return;
  }
  const SnapshotMeta& meta = request.meta;
  if (meta.index > commit_) {
    // If the log agrees with the snapshot, later entries may be confirmed
    // already and must be kept.
    const bool keep = log_.TermAt(meta.index) == meta.term;
    if (!keep) {
      log_.Reset(meta);
      writes_.clear();
    }
    actions_.emplace_back(InstallSnapshot{meta, request.data, keep});
    synced_ = keep ? std::max(synced_, meta.index) : meta.index;
    commit_ = meta.index;
    applied_ = meta.index;
    verified_ = std::max(verified_, meta.index);
  }
  ConfirmSynced(from, request.sent);
  MaybeMarkTrusted();
}

// Returns the index of the last entry before `previous` that may equal the
// leader's. Skips all entries of the conflicting term at once.
LogIndex Replica::ConflictHint(LogIndex previous) const {
  if (previous > log_.last_index()) {
    return log_.last_index();
  }
  const auto conflicting = log_.TermAt(previous);
  LogIndex hint = previous - 1;
  while (hint > commit_ && log_.TermAt(hint) == conflicting) {
    --hint;
  }
  return hint;
}

// Adds new entries to the log, replacing conflicting ones. Returns whether
// anything has to be written.
bool Replica::StoreEntries(const std::vector<LogEntry>& entries) {
  auto it = entries.begin();
  while (it != entries.end() && (it->index <= log_.base_index() ||
                                 log_.TermAt(it->index) == it->term)) {
    ++it;
  }
  if (it == entries.end()) {
    return false;
  }
  if (it->index <= log_.last_index()) {
    const LogIndex kept = it->index - 1;
    log_.TruncateFrom(it->index);
    synced_ = std::min(synced_, kept);
    for (auto& write : writes_) {
      write.second = std::min(write.second, kept);
    }
  }
  std::vector<LogEntry> added(it, entries.end());
  for (const auto& entry : added) {
    log_.Append(entry);
  }
  WriteToDisk(std::move(added));
  return true;
}

// Reports to the leader up to which index its log is synced here.
void Replica::ConfirmSynced(const VmId& to, Instant sent) {
  Send(to, AppendResponse{term(), true, std::min(verified_, synced_), sent,
                          recorded_, start_});
}

void Replica::AdvanceCommit(LogIndex commit) {
  commit_ = std::max(commit_, std::min(commit, verified_));
  ApplyCommitted();
}

// Once the log reaches an entry that a leader has committed in its own term, it
// lacks no entry that was committed before. If the replica also knows of each
// commit that was acknowledged on its word, it becomes trusted.
void Replica::MaybeMarkTrusted() {
  if (!hard_state_.trusted && confirmed_ && commit_ > 0 &&
      recorded_ >= commit_ && log_.TermAt(commit_) == term()) {
    hard_state_.trusted = true;
    SaveState();
  }
}

}  // namespace baobabrun
