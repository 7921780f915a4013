// Handles forwarded proposals on a replica. The leader appends them to the log
// and responds once their entries are applied; other replicas refuse them.
#ifndef CONTROL_PROPOSAL_SERVER_H_
#define CONTROL_PROPOSAL_SERVER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/ids.h"
#include "control/proposal_message.h"
#include "control/replica_host.h"

namespace baobabrun {

class ProposalServer {
 public:
  using SendResponse =
      std::function<void(const VmId& to, const ProposalResponse& response)>;

  explicit ProposalServer(SendResponse send) : send_(std::move(send)) {}

  void Receive(ReplicaHost& host,
               const VmId& from,
               const ProposalRequest& request,
               std::int64_t time_ms,
               Instant now);
  // Sends responses for the proposals that wait for this entry.
  void OnApplied(const LogEntry& entry, const Applied& applied);
  // Drops the pending proposals without a response. Is called when the replica
  // has stopped after a disk failure.
  void DropPending() { pending_.clear(); }

 private:
  struct PendingProposal {
    Term term = 0;
    VmId from;
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
  };
  using AttemptKey = std::tuple<VmId, std::uint64_t, std::uint64_t>;

  void Refuse(const AttemptKey& key, const ProposalResponse& response);
  bool WasRefused(const AttemptKey& key) const {
    return refused_.contains(key);
  }

  const SendResponse send_;
  std::multimap<LogIndex, PendingProposal> pending_;
  // The newest attempts that were refused. If the network duplicates a message,
  // the copy must not be accepted after this replica has become leader, because
  // the sender counts the attempt as not committed.
  std::set<AttemptKey> refused_;
  std::deque<AttemptKey> refused_order_;  // the keys of refused_, oldest first
};

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_SERVER_H_
