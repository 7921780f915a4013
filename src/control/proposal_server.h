// Handles forwarded proposals on a replica. The leader appends them to the log
// and responds once their entries are applied and a majority of the replicas
// has recorded on disk that the newest change of the state is committed. So a
// response never tells of a state that the next start might not lead to. Other
// replicas refuse proposals.
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
  // Prepares the responses for the proposals that wait for this entry.
  // `last_change` is the newest entry that changed the state, up to this one.
  void OnApplied(const LogEntry& entry,
                 const Applied& applied,
                 LogIndex last_change);
  // Sends the responses that depend on no change after `recorded`, up to which
  // a majority has recorded the changes.
  void Release(LogIndex recorded);
  // Drops the responses that wait for Release. Their senders try again at the
  // next leader. Is called when the replica stops leading.
  void DropUnreleased() { unreleased_.clear(); }
  // Drops the pending proposals without a response. Is called when the replica
  // has stopped after a disk failure.
  void DropPending() {
    pending_.clear();
    unreleased_.clear();
  }

 private:
  struct PendingProposal {
    Term term = 0;
    VmId from;
    std::uint64_t request = 0;
    std::uint64_t attempt = 0;
  };
  struct UnreleasedResponse {
    LogIndex last_change = 0;
    VmId to;
    ProposalResponse response;
  };
  using AttemptKey = std::tuple<VmId, std::uint64_t, std::uint64_t>;

  void Refuse(const AttemptKey& key, const ProposalResponse& response);
  bool WasRefused(const AttemptKey& key) const {
    return refused_.contains(key);
  }

  const SendResponse send_;
  std::multimap<LogIndex, PendingProposal> pending_;
  std::deque<UnreleasedResponse> unreleased_;  // by rising last_change
  // The newest attempts that were refused. If the network duplicates a message,
  // the copy must not be accepted after this replica has become leader, because
  // the sender counts the attempt as not committed.
  std::set<AttemptKey> refused_;
  std::deque<AttemptKey> refused_order_;  // the keys of refused_, oldest first
};

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_SERVER_H_
