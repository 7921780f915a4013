// Forwards proposals to the leader and determines their outcome.
#include "control/proposal_client.h"

#include <algorithm>

namespace baobabrun {

ProposalClient::ProposalClient(std::vector<VmId> replicas,
                               Duration retry_interval)
    : replicas_(std::move(replicas)), retry_interval_(retry_interval) {}

void ProposalClient::Start(std::uint64_t request,
                           Proposal proposal,
                           Instant deadline,
                           Instant now) {
  Pending& pending = pending_[request];
  pending.proposal = std::move(proposal);
  pending.deadline = deadline;
  pending.reason = "no leader is known";
  SendAttempt(request, pending, now);
}

void ProposalClient::Receive(const VmId& from,
                             const ProposalResponse& response,
                             Instant now) {
  const bool refused = response.result.outcome == ProposalOutcome::kNotAccepted;
  if (!refused) {
    leader_ = from;
  } else if (leader_ == from || leader_.empty()) {
    leader_ = response.leader == from ? VmId() : response.leader;
  }
  SetKnownReplicas(VmId(), response.replicas);
  const auto found = pending_.find(response.request);
  if (found == pending_.end()) {
    return;
  }
  if (!refused) {
    actions_.emplace_back(FinishProposal{response.request, response.result});
    pending_.erase(found);
    return;
  }
  Pending& pending = found->second;
  if (pending.open_attempts.erase(response.attempt) == 0) {
    return;
  }
  pending.reason = response.result.message;
  // If the response names another leader, the next attempt goes there at once;
  // otherwise it waits a moment, as an election may be in progress.
  constexpr Duration kRetryAfterRefusal = milliseconds(20);
  pending.next_attempt =
      std::min(pending.next_attempt, now + kRetryAfterRefusal);
  if (!leader_.empty() && leader_ != from) {
    SendAttempt(response.request, pending, now);
  }
}

void ProposalClient::Tick(Instant now) {
  for (auto it = pending_.begin(); it != pending_.end();) {
    Pending& pending = it->second;
    if (now >= pending.deadline) {
      Expire(it->first, pending);
      it = pending_.erase(it);
      continue;
    }
    if (now >= pending.next_attempt) {
      if (leader_ == pending.target) {
        leader_ = VmId();  // it didn't respond or is no longer the leader
      }
      SendAttempt(it->first, pending, now);
    }
    ++it;
  }
}

void ProposalClient::Stop() {
  for (const auto& [request, pending] : pending_) {
    Expire(request, pending);
  }
  pending_.clear();
}

void ProposalClient::SetKnownReplicas(const VmId& leader,
                                      const std::vector<VmId>& replicas) {
  if (!leader.empty()) {
    leader_ = leader;
  }
  if (!replicas.empty()) {
    replicas_ = replicas;
  }
}

std::vector<ClientAction> ProposalClient::TakeActions() {
  return std::exchange(actions_, {});
}

Instant ProposalClient::next_tick() const {
  Instant next = Instant::max();
  for (const auto& it : pending_) {
    next = std::min({next, it.second.deadline, it.second.next_attempt});
  }
  return next;
}

VmId ProposalClient::NextTarget() {
  if (!leader_.empty()) {
    return leader_;
  }
  return replicas_[next_replica_++ % replicas_.size()];
}

void ProposalClient::SendAttempt(std::uint64_t request,
                                 Pending& pending,
                                 Instant now) {
  pending.next_attempt = now + retry_interval_;
  if (replicas_.empty()) {
    return;
  }
  pending.target = NextTarget();
  pending.open_attempts.insert(++last_attempt_);
  actions_.emplace_back(
      SendProposal{pending.target, {request, last_attempt_, pending.proposal}});
}

void ProposalClient::Expire(std::uint64_t request, const Pending& pending) {
  ProposalResult result;
  if (pending.open_attempts.empty()) {
    result.outcome = ProposalOutcome::kNotAccepted;
    result.message = pending.reason;
  } else {
    result.outcome = ProposalOutcome::kUnknown;
    result.message = "no answer in time; ask again with the same id";
  }
  actions_.emplace_back(FinishProposal{request, std::move(result)});
}

}  // namespace baobabrun
