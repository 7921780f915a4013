// Elections of a replica: pre-votes, votes, and becoming leader.
#include <utility>

#include "control/replica.h"

namespace baobabrun {

bool Replica::MayCampaign() const {
  const bool trusted = hard_state_.trusted || log_.last_index() == 0;
  return trusted && membership().IsVoter(options_.self);
}

bool Replica::HasRecentLeader(Instant now) const {
  return IsLeader() || now - last_leader_contact_ < options_.election_timeout;
}

bool Replica::MayGrant(const VoteRequest& request) const {
  // Only replicas that bootstrap a new fleet together may vote before they are
  // trusted: their logs are empty and they are in the initial membership.
  const bool bootstrapping =
      request.last_index == 0 && membership().IsVoter(options_.self);
  if (!hard_state_.trusted && !bootstrapping) {
    return false;
  }
  return std::pair(request.last_term, request.last_index) >=
         std::pair(log_.last_term(), log_.last_index());
}

void Replica::StartPreVote(Instant now) {
  ResetElectionDeadline(now);
  if (!MayCampaign()) {
    return;
  }
  role_ = ReplicaRole::kPreCandidate;
  leader_ = VmId();
  votes_ = {options_.self};
  if (votes_.size() >= Majority()) {
    StartElection(false, now);
    return;
  }
  RequestVotes({.term = term() + 1,
                .pre = true,
                .transfer = false,
                .last_index = log_.last_index(),
                .last_term = log_.last_term()});
}

void Replica::StartElection(bool transfer, Instant now) {
  ResetElectionDeadline(now);
  role_ = ReplicaRole::kCandidate;
  leader_ = VmId();
  votes_ = {options_.self};
  hard_state_.trusted = true;
  EnterTerm(term() + 1, options_.self);
  if (votes_.size() >= Majority()) {
    BecomeLeader(now);
    return;
  }
  RequestVotes({.term = term(),
                .pre = false,
                .transfer = transfer,
                .last_index = log_.last_index(),
                .last_term = log_.last_term()});
}

void Replica::RequestVotes(const VoteRequest& request) {
  for (const auto& it : membership().voters) {
    if (it != options_.self) {
      Send(it, request);
    }
  }
}

void Replica::BecomeLeader(Instant now) {
  role_ = ReplicaRole::kLeader;
  leader_ = options_.self;
  became_leader_ = now;
  heartbeat_due_ = now + options_.heartbeat;
  flushed_ = log_.last_index();
  progress_.clear();
  actions_.emplace_back(BecameLeader{term()});
  // Entries of older terms are committed only together with an entry of this
  // term, so the leader appends one at once. The first entry of the log also
  // gives replicas that join later the initial membership.
  LogEntry first;
  if (log_.last_index() == 0) {
    first.membership = membership();
  }
  AppendAsLeader(std::move(first));
  Flush(now);
}

void Replica::Handle(const VmId& from,
                     const VoteRequest& request,
                     Instant now) {
  if (HasRecentLeader(now) && !request.transfer) {
    Send(from, VoteResponse{term(), request.pre, false});
    return;
  }
  if (request.pre) {
    const bool granted = request.term > term() && MayGrant(request);
    Send(from, VoteResponse{granted ? request.term : term(), true, granted});
    return;
  }
  if (request.term > term()) {
    BecomeFollower(request.term, VmId(), now);
  }
  const bool free = hard_state_.vote.empty() || hard_state_.vote == from;
  const bool granted = request.term == term() && free && MayGrant(request);
  if (granted && hard_state_.vote != from) {
    role_ = ReplicaRole::kFollower;
    hard_state_.vote = from;
    hard_state_.trusted = true;
    SaveState();
    ResetElectionDeadline(now);
  }
  Send(from, VoteResponse{term(), false, granted});
}

void Replica::Handle(const VmId& from,
                     const VoteResponse& response,
                     Instant now) {
  if (!response.granted) {
    if (response.term > term()) {
      BecomeFollower(response.term, VmId(), now);
    }
    return;
  }
  const bool pre = role_ == ReplicaRole::kPreCandidate && response.pre &&
                   response.term == term() + 1;
  const bool real = role_ == ReplicaRole::kCandidate && !response.pre &&
                    response.term == term();
  if ((!pre && !real) || !membership().IsVoter(from)) {
    return;
  }
  votes_.insert(from);
  if (votes_.size() < Majority()) {
    return;
  }
  if (pre) {
    StartElection(false, now);
  } else {
    BecomeLeader(now);
  }
}

void Replica::Handle(const VmId& /*from*/,
                     const CampaignNow& request,
                     Instant now) {
  if (request.term == term() && role_ == ReplicaRole::kFollower &&
      MayCampaign()) {
    StartElection(true, now);
  }
}

}  // namespace baobabrun
