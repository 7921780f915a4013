// Handles forwarded proposals.
#include "control/proposal_server.h"

namespace baobabrun {
namespace {

constexpr std::size_t kMaxPending = 8192;
constexpr std::size_t kMaxRefused = 8192;

ProposalResult NotAccepted(std::string message) {
  ProposalResult result;
  result.outcome = ProposalOutcome::kNotAccepted;
  result.message = std::move(message);
  return result;
}

}  // namespace

void ProposalServer::Receive(ReplicaHost& host,
                             const VmId& from,
                             const ProposalRequest& request,
                             std::int64_t time_ms,
                             Instant now) {
  const AttemptKey key(from, request.request, request.attempt);
  ProposalResponse response{request.request, request.attempt,
                            NotAccepted("this VM has too much to do"),
                            host.replica().leader(),
                            host.replica().membership().voters};
  if (WasRefused(key) || pending_.size() + unreleased_.size() >= kMaxPending) {
    Refuse(key, response);
    return;
  }
  auto proposed = host.Propose(request.proposal, time_ms, now);
  if (const auto* position = std::get_if<ReplicaHost::LogPosition>(&proposed)) {
    pending_.emplace(position->index,
                     PendingProposal{position->term, from, request.request,
                                     request.attempt});
    return;
  }
  response.result = std::get<ProposalResult>(std::move(proposed));
  if (response.result.outcome == ProposalOutcome::kNotAccepted) {
    Refuse(key, response);
  } else {
    unreleased_.push_back({host.last_change(), from, std::move(response)});
  }
}

void ProposalServer::OnApplied(const LogEntry& entry,
                               const Applied& applied,
                               LogIndex last_change) {
  const auto end = pending_.upper_bound(entry.index);
  for (auto it = pending_.begin(); it != end; ++it) {
    // An entry that a snapshot skipped doesn't show what became of its
    // proposal, so no response is sent.
    const PendingProposal& pending = it->second;
    if (it->first != entry.index) {
      continue;
    }
    ProposalResponse response;
    response.request = pending.request;
    response.attempt = pending.attempt;
    if (pending.term != entry.term || !applied.result) {
      response.result = NotAccepted("another leader took over");
      send_(pending.from, response);
      continue;
    }
    response.result = *applied.result;
    unreleased_.push_back({last_change, pending.from, std::move(response)});
  }
  pending_.erase(pending_.begin(), end);
}

void ProposalServer::Release(LogIndex recorded) {
  while (!unreleased_.empty() && unreleased_.front().last_change <= recorded) {
    const auto released = std::move(unreleased_.front());
    unreleased_.pop_front();
    send_(released.to, released.response);
  }
}

void ProposalServer::Refuse(const AttemptKey& key,
                            const ProposalResponse& response) {
  if (refused_.insert(key).second) {
    refused_order_.push_back(key);
  }
  if (refused_order_.size() > kMaxRefused) {
    refused_.erase(refused_order_.front());
    refused_order_.pop_front();
  }
  send_(std::get<0>(key), response);
}

}  // namespace baobabrun
