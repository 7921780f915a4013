// Replica as leader: replication, commit, lease and membership changes.
#include <algorithm>
#include <functional>
#include <utility>

#include "control/control_error.h"
#include "control/replica.h"

namespace baobabrun {
namespace {

// Limits of one append request, and of the entries sent to one replica that it
// hasn't confirmed yet.
constexpr std::size_t kMaxAppendBytes = 256 * 1024;
constexpr LogIndex kMaxUnconfirmedEntries = 4096;

// Returns the highest value that a majority of `values` reaches or exceeds.
template <class T>
T MajorityValue(std::vector<T> values) {
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), nth, values.end(), std::greater<T>());
  return *nth;
}

}  // namespace

std::optional<LogIndex> Replica::Propose(std::string payload) {
  if (!IsLeader()) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.payload = std::move(payload);
  AppendAsLeader(std::move(entry));
  return log_.last_index();
}

Result<LogIndex> Replica::ProposeReplacement(const VmId& remove,
                                             const VmId& add,
                                             const std::string& operation_id) {
  const auto& current = membership();
  // Until the learner of this replacement becomes a voter, another VM may take
  // its place, or the replacement may be cancelled.
  const bool waits = !current.learner.empty() && current.leaving == remove;
  const bool cancels = waits && add == remove;
  std::string problem;
  if (!IsLeader() || log_.TermAt(commit_) != term()) {
    problem = "no leader";
  } else if (log_.membership_index() > commit_ ||
             (!current.leaving.empty() && !waits)) {
    problem = "another replacement runs";
  } else if (!remove.empty() && !current.IsVoter(remove)) {
    problem = remove.value() + " is no replica";
  } else if (add.empty() || (current.IsVoter(add) && !cancels)) {
    problem = "'" + add.value() + "' can't be added";
  }
  if (!problem.empty()) {
    return Error{ControlError::kNotApplicable, std::move(problem)};
  }
  LogEntry entry;
  entry.membership =
      cancels ? Membership{current.voters, {}, {}, operation_id}
              : Membership{current.voters, add, remove, operation_id};
  AppendAsLeader(std::move(entry));
  return log_.last_index();
}

void Replica::AppendAsLeader(LogEntry entry) {
  entry.term = term();
  entry.index = log_.last_index() + 1;
  log_.Append(std::move(entry));
  UpdateProgressMap();
}

void Replica::Flush(Instant now) {
  if (!IsLeader() || flushed_ == log_.last_index()) {
    return;
  }
  for (const auto& it : progress_) {
    SendAppend(it.first, false, now);
  }
  WriteToDisk(log_.Slice(flushed_ + 1, SIZE_MAX));
  flushed_ = log_.last_index();
}

void Replica::TransferLeadership(Instant now) {
  if (!IsLeader()) {
    return;
  }
  Flush(now);
  const VmId* target = nullptr;
  LogIndex furthest = 0;
  for (const auto& [vm, progress] : progress_) {
    if (membership().IsVoter(vm) && progress.match >= furthest) {
      target = &vm;
      furthest = progress.match;
    }
  }
  if (target != nullptr) {
    Send(*target, CampaignNow{term()});
  }
  StepDown(now);
}

Instant Replica::LeaseEnd(Instant now) const {
  if (!IsLeader()) {
    return Instant::min();
  }
  const Instant contact = LastQuorumContact(now);
  if (contact == Instant::min()) {
    return Instant::min();
  }
  // The clocks of the leader and of a follower may drift in opposite
  // directions.
  constexpr std::int64_t kMillion = 1'000'000;
  const Duration margin =
      options_.election_timeout / kMillion * (2 * options_.clock_drift_ppm);
  return contact + options_.election_timeout - margin;
}

bool Replica::HasLease(Instant now) const {
  return now < LeaseEnd(now);
}

LogIndex Replica::RecordedByMajority() const {
  std::vector<LogIndex> recorded;
  for (const auto& it : membership().voters) {
    const auto found = progress_.find(it);
    recorded.push_back(it == options_.self        ? recorded_
                       : found == progress_.end() ? 0
                                                  : found->second.recorded);
  }
  return IsLeader() && !recorded.empty() ? MajorityValue(std::move(recorded))
                                         : 0;
}

std::vector<std::pair<VmId, LogIndex>> Replica::MatchIndexes() const {
  std::vector<std::pair<VmId, LogIndex>> matches;
  for (const auto& it : membership().Replicas()) {
    const auto found = progress_.find(it);
    const LogIndex own = it == options_.self ? synced_ : 0;
    matches.emplace_back(it,
                         found == progress_.end() ? own : found->second.match);
  }
  return matches;
}

void Replica::TickLeader(Instant now) {
  const Instant contact = std::max(became_leader_, LastQuorumContact(now));
  if (now >= contact + options_.election_timeout) {
    StepDown(now);
    return;
  }
  MaybeChangeMembership();
  Flush(now);
  if (now >= heartbeat_due_) {
    SendHeartbeats(now);
    heartbeat_due_ = now + options_.heartbeat;
  }
}

void Replica::SendHeartbeats(Instant now) {
  for (const auto& it : progress_) {
    SendAppend(it.first, true, now);
  }
}

// Returns the latest time such that a majority has responded to a request that
// was sent then or later; Instant::min() if there is none.
Instant Replica::LastQuorumContact(Instant now) const {
  std::vector<Instant> contacts;
  for (const auto& it : membership().voters) {
    const auto found = progress_.find(it);
    contacts.push_back(it == options_.self        ? now
                       : found == progress_.end() ? Instant::min()
                                                  : found->second.acked);
  }
  return contacts.empty() ? Instant::min() : MajorityValue(std::move(contacts));
}

void Replica::SendAppend(const VmId& to, bool heartbeat, Instant now) {
  Progress& progress = progress_.at(to);
  AppendRequest request;
  request.term = term();
  request.sent = now;
  request.commit = commit_;
  request.receiver_start = progress.start;
  if (progress.next <= log_.base_index()) {
    // The heartbeat is sent as well, because a replica that needs a snapshot
    // still counts towards the lease.
    if (now >= progress.snapshot_due) {
      progress.snapshot_due = now + options_.election_timeout;
      actions_.emplace_back(SendSnapshot{to, term(), now});
    }
    Send(to, std::move(request));
    return;
  }
  const bool room = progress.next - progress.match <= kMaxUnconfirmedEntries;
  if (room) {
    request.entries = log_.Slice(progress.next, kMaxAppendBytes);
  }
  if (request.entries.empty() && !heartbeat) {
    return;
  }
  request.previous_index = progress.next - 1;
  request.previous_term = log_.TermAt(progress.next - 1).value_or(0);
  progress.next += request.entries.size();
  Send(to, std::move(request));
}

void Replica::Handle(const VmId& from,
                     const AppendResponse& response,
                     Instant now) {
  if (response.term > term()) {
    BecomeFollower(response.term, VmId(), now);
    return;
  }
  const auto found = progress_.find(from);
  if (!IsLeader() || response.term < term() || found == progress_.end()) {
    return;
  }
  Progress& progress = found->second;
  progress.acked = std::max(progress.acked, response.sent);
  if (response.start != progress.start) {
    return;
  }
  progress.recorded = std::max(progress.recorded, response.recorded);
  if (!response.matched) {
    // The replica may have lost entries that it confirmed, together with its
    // disk, so `match` goes back as well. A rejection that arrives late only
    // causes entries to be sent again.
    progress.match = std::min(progress.match, response.index);
    if (response.index + 1 < progress.next) {
      progress.next = response.index + 1;
      SendAppend(from, false, now);
    }
    return;
  }
  progress.match = std::max(progress.match, response.index);
  progress.next = std::max(progress.next, progress.match + 1);
  MaybeCommit(now);
  // The commit may have ended this replica's leadership or removed the sender.
  const auto still = progress_.find(from);
  if (still != progress_.end() && still->second.next <= log_.last_index()) {
    SendAppend(from, false, now);
  }
}

void Replica::MaybeCommit(Instant now) {
  std::vector<LogIndex> matches;
  for (const auto& [vm, match] : MatchIndexes()) {
    if (membership().IsVoter(vm)) {
      matches.push_back(match);
    }
  }
  const LogIndex agreed = MajorityValue(std::move(matches));
  if (agreed <= commit_ || log_.TermAt(agreed) != term()) {
    return;
  }
  commit_ = agreed;
  ApplyCommitted();
  // Changes are acknowledged once a majority has recorded that they are
  // committed, so that followers are told at once.
  SendHeartbeats(now);
  MaybeChangeMembership();
  Flush(now);
  const bool removed = !membership().IsVoter(options_.self);
  if (removed && log_.membership_index() <= commit_) {
    SendHeartbeats(now);
    TransferLeadership(now);
  }
}

// Appends the next membership of a replacement once the previous one is
// committed.
void Replica::MaybeChangeMembership() {
  const Membership& current = membership();
  if (log_.membership_index() > commit_ || log_.TermAt(commit_) != term()) {
    return;
  }
  // A majority of the next group must know of the commits that were
  // acknowledged on the word of a majority of this one.
  if (RecordedByMajority() < last_change_) {
    return;
  }
  Membership next = current;
  if (!current.learner.empty()) {
    if (progress_.at(current.learner).match < commit_) {
      return;
    }
    next.voters.push_back(current.learner);
    next.learner = VmId();
  } else if (!current.leaving.empty()) {
    std::erase(next.voters, current.leaving);
    next.leaving = VmId();
  } else {
    return;
  }
  LogEntry entry;
  entry.membership = std::move(next);
  AppendAsLeader(std::move(entry));
}

// Makes progress_ hold exactly the other replicas of the newest membership.
void Replica::UpdateProgressMap() {
  const auto replicas = membership().Replicas();
  for (const auto& it : replicas) {
    if (it != options_.self && !progress_.contains(it)) {
      progress_[it].next = log_.last_index();
    }
  }
  std::erase_if(progress_, [&replicas](const auto& it) {
    return std::find(replicas.begin(), replicas.end(), it.first) ==
           replicas.end();
  });
}

}  // namespace baobabrun
