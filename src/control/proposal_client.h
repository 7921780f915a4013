// Brings proposals made on this VM to the leader, wherever it is, and tells
// what became of them. Decides only: no thread, socket or clock of its own.
#ifndef CONTROL_PROPOSAL_CLIENT_H_
#define CONTROL_PROPOSAL_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "control/proposal.h"
#include "control/proposal_message.h"

namespace baobabrun {

struct SendProposal {
  VmId to;  // may be this VM
  ProposalRequest request;
};
struct FinishProposal {
  std::uint64_t request = 0;
  ProposalResult result;
};
using ClientAction = std::variant<SendProposal, FinishProposal>;

class ProposalClient {
 public:
  // A try without an answer for `retry` is followed by one at another replica.
  ProposalClient(std::vector<VmId> replicas, Duration retry);

  // `request` must be new. Ends with one FinishProposal, at the deadline at the
  // latest: kNotAccepted if every try was refused, kUnknown if one may still be
  // committed.
  void Start(std::uint64_t request,
             Proposal proposal,
             Instant deadline,
             Instant now);
  void Receive(const VmId& from, const ProposalResponse& response, Instant now);
  void Tick(Instant now);
  // Finishes everything, as at the deadline.
  void Stop();
  // What this VM knows by other ways; ignored where empty.
  void Learn(const VmId& leader, const std::vector<VmId>& replicas);

  std::vector<ClientAction> TakeActions();
  Instant next_tick() const;

 private:
  struct Pending {
    Proposal proposal;
    Instant deadline;
    Instant next_try;
    VmId target;  // of the newest try
    // Tries that weren't refused and may be committed.
    std::set<std::uint64_t> open_attempts;
    std::string reason;  // of the newest refusal
  };

  VmId NextTarget();
  void Try(std::uint64_t request, Pending& pending, Instant now);
  void Expire(std::uint64_t request, const Pending& pending);

  std::vector<VmId> replicas_;
  const Duration retry_;
  VmId leader_;                   // empty: not known
  std::size_t next_replica_ = 0;  // to try while the leader isn't known
  std::uint64_t last_attempt_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<ClientAction> actions_;
};

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_CLIENT_H_
