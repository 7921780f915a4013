// Answers forwarded proposals on a replica: takes them into the log if this is
// the leader, and answers once their entries are applied.
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
  // Answers those who wait for this entry.
  void OnApplied(const LogEntry& entry, const Applied& applied);
  // Nobody is answered any more: the replica's state was lost or replaced.
  void Forget() { waiting_.clear(); }

 private:
  struct Waiting {
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
  std::multimap<LogIndex, Waiting> waiting_;
  // The newest tries that were refused. A network that doubles messages must
  // not bring one back later, when this replica leads.
  std::set<AttemptKey> refused_;
  std::deque<AttemptKey> refused_order_;  // the same, oldest first
};

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_SERVER_H_
