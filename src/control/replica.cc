// The parts of Replica that all its roles use.
#include "control/replica.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

constexpr NameEntry<ReplicaRole> kRoles[] = {
    {ReplicaRole::kFollower, "follower"},
    {ReplicaRole::kPreCandidate, "pre-candidate"},
    {ReplicaRole::kCandidate, "candidate"},
    {ReplicaRole::kLeader, "leader"},
};

}  // namespace

std::string_view NameOf(ReplicaRole role) {
  return NameOf<ReplicaRole>(kRoles, role);
}

Replica::Replica(ReplicaOptions options,
                 StoredReplicaState stored,
                 std::mt19937_64 random,
                 Instant now)
    : options_(std::move(options)),
      random_(random),
      hard_state_(std::move(stored.hard_state)),
      log_(stored.snapshot, std::move(stored.entries)),
      commit_(std::max(stored.snapshot.index, stored.commit)),
      applied_(stored.snapshot.index),
      synced_(log_.last_index()),
      verified_(commit_),
      last_leader_contact_(now),
      start_(random_()),
      commit_query_due_(now) {
  ResetElectionDeadline(now);
  ApplyCommitted();
}

void Replica::Receive(const ReplicaMessage& message, Instant now) {
  if (failed_ || message.to != options_.self || message.from == message.to) {
    return;
  }
  std::visit([&](const auto& it) { Handle(message.from, it, now); },
             message.payload);
}

void Replica::Tick(Instant now) {
  if (failed_) {
    return;
  }
  if (IsLeader()) {
    TickLeader(now);
  } else if (now >= election_deadline_) {
    StartPreVote(now);
  }
  if (!confirmed_ && now >= commit_query_due_) {
    QueryCommits(now);
  }
}

void Replica::Synced(std::uint64_t sequence, Instant now) {
  if (failed_) {
    return;
  }
  while (!writes_.empty() && writes_.front().first <= sequence) {
    synced_ = std::max(synced_, writes_.front().second);
    writes_.pop_front();
  }
  if (IsLeader()) {
    MaybeCommit(now);
  } else if (!leader_.empty()) {
    ConfirmSynced(leader_, std::exchange(unconfirmed_sent_, Instant::min()));
    MaybeMarkTrusted();
  }
  ApplyCommitted();
}

void Replica::DiskFailed() {
  actions_.clear();
  if (IsLeader()) {
    actions_.emplace_back(SteppedDown{term()});
  }
  role_ = ReplicaRole::kFollower;
  leader_ = VmId();
  progress_.clear();
  failed_ = true;
}

void Replica::Compacted(LogIndex index) {
  const auto by_number =
      index > options_.kept_entries ? index - options_.kept_entries : 0;
  const auto by_bytes = log_.IndexBefore(index, options_.kept_bytes);
  log_.Compact(std::min(std::max(by_number, by_bytes), applied_));
}

std::vector<ReplicaAction> Replica::TakeActions() {
  return std::exchange(actions_, {});
}

Instant Replica::next_tick() const {
  if (failed_) {
    return Instant::max();
  }
  const Instant next = IsLeader() ? heartbeat_due_ : election_deadline_;
  return confirmed_ ? next : std::min(next, commit_query_due_);
}

void Replica::Recorded(LogIndex index, bool respond) {
  if (failed_ || index <= recorded_) {
    return;
  }
  recorded_ = index;
  MaybeMarkTrusted();
  if (respond && !IsLeader() && !leader_.empty()) {
    ConfirmSynced(leader_, Instant::min());
  }
}

void Replica::Send(const VmId& to, ReplicaPayload payload) {
  actions_.emplace_back(SendMessage{{options_.self, to, std::move(payload)}});
}

void Replica::SaveState() {
  actions_.emplace_back(SaveHardState{hard_state_});
}

void Replica::BecomeFollower(Term term, const VmId& leader, Instant now) {
  if (IsLeader()) {
    StepDown(now);
  }
  role_ = ReplicaRole::kFollower;
  leader_ = leader;
  if (term > hard_state_.term) {
    EnterTerm(term, VmId());
  }
}

void Replica::EnterTerm(Term term, const VmId& vote) {
  hard_state_.term = term;
  hard_state_.vote = vote;
  // The logs of this replica and of a new leader are known to be equal only up
  // to the commit index.
  verified_ = commit_;
  unconfirmed_sent_ = Instant::min();
  SaveState();
}

void Replica::StepDown(Instant now) {
  actions_.emplace_back(SteppedDown{term()});
  role_ = ReplicaRole::kFollower;
  leader_ = VmId();
  progress_.clear();
  verified_ = commit_;
  // Entries that were proposed but not flushed must be written before any later
  // entry.
  if (flushed_ < log_.last_index()) {
    WriteToDisk(log_.Slice(flushed_ + 1, SIZE_MAX));
    flushed_ = log_.last_index();
  }
  ResetElectionDeadline(now);
}

void Replica::ResetElectionDeadline(Instant now) {
  std::uniform_int_distribution<Duration::rep> extra(
      0, options_.election_timeout.count());
  election_deadline_ =
      now + options_.election_timeout + Duration(extra(random_));
}

void Replica::WriteToDisk(std::vector<LogEntry> entries) {
  writes_.emplace_back(++last_sequence_, entries.back().index);
  actions_.emplace_back(AppendToDisk{last_sequence_, std::move(entries)});
}

void Replica::ApplyCommitted() {
  const LogIndex end = std::min(commit_, synced_);
  while (applied_ < end) {
    ++applied_;
    actions_.emplace_back(ApplyEntry{log_.At(applied_)});
  }
  // A leader's log holds all entries that were committed before its term.
  confirmed_ |= IsLeader() && log_.TermAt(applied_) == term();
}

void Replica::QueryCommits(Instant now) {
  commit_query_due_ = now + options_.heartbeat;
  UpdateConfirmed();
  if (confirmed_) {
    return;
  }
  for (const auto& it : membership().voters) {
    if (it != options_.self) {
      Send(it, CommitQuery{start_});
    }
  }
}

void Replica::UpdateConfirmed() {
  std::size_t known = 0;
  bool newest = false;
  for (const auto& it : membership().voters) {
    const auto found = commit_reports_.find(it);
    if (found == commit_reports_.end()) {
      known += it == options_.self && hard_state_.trusted ? 1 : 0;
      continue;
    }
    if (found->second.index > applied_) {
      return;
    }
    newest |= found->second.newest;
    // The voters of a replaced membership don't know of later commits. A
    // majority of them has stored the membership that replaced it.
    if (found->second.membership_index <= log_.membership_index()) {
      known += found->second.trusted ? 1 : 0;
    }
  }
  confirmed_ |= newest || (known >= Majority());
}

void Replica::Handle(const VmId& from, const CommitQuery& query, Instant now) {
  const auto found = progress_.find(from);
  if (found != progress_.end() && found->second.start != query.start) {
    found->second.start = query.start;
    found->second.match = 0;
    found->second.recorded = 0;
    SendAppend(from, true, now);
  }
  const auto commit_term = log_.TermAt(commit_).value_or(0);
  const bool newest = HasLease(now) && commit_term == term();
  Send(from,
       CommitReport{query.start, commit_, commit_term, hard_state_.trusted,
                    newest, log_.membership_index()});
}

void Replica::Handle(const VmId& from,
                     const CommitReport& report,
                     Instant /*now*/) {
  if (report.start != start_) {
    return;
  }
  // Logs that have the same entry are equal up to that entry.
  if (report.index > commit_ && log_.TermAt(report.index) == report.term) {
    verified_ = std::max(verified_, report.index);
    AdvanceCommit(report.index);
  }
  commit_reports_[from] = report;
  UpdateConfirmed();
  MaybeMarkTrusted();
}

}  // namespace baobabrun
