// Sends proposals made on this VM to the leader, retries them, and reports
// their outcome. It has no thread, socket or clock of its own: the caller
// passes the time in and executes the returned actions.
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
  VmId to;  // possibly this VM
  ProposalRequest request;
};
struct FinishProposal {
  std::uint64_t request = 0;
  ProposalResult result;
};
using ClientAction = std::variant<SendProposal, FinishProposal>;

class ProposalClient {
 public:
  // An attempt that has no response after `retry_interval` is followed by an
  // attempt at another replica.
  ProposalClient(std::vector<VmId> replicas, Duration retry_interval);

  // Starts a proposal. `request` must be unused. Exactly one FinishProposal
  // follows, at the deadline at the latest. At the deadline the outcome is
  // kNotAccepted if every attempt was refused, and kUnknown if an attempt may
  // still be committed.
  void Start(std::uint64_t request,
             Proposal proposal,
             Instant deadline,
             Instant now);
  void Receive(const VmId& from, const ProposalResponse& response, Instant now);
  void Tick(Instant now);
  // Finishes all proposals as if their deadlines had passed.
  void Stop();
  // Sets the leader and the replicas known from another source, such as this
  // VM's own replica. An empty argument is ignored.
  void SetKnownReplicas(const VmId& leader, const std::vector<VmId>& replicas);

  std::vector<ClientAction> TakeActions();
  Instant next_tick() const;

 private:
  struct Pending {
    Proposal proposal;
    Instant deadline;
    Instant next_attempt;
    VmId target;  // replica that the newest attempt was sent to
    // Attempts that weren't refused and so may be committed.
    std::set<std::uint64_t> open_attempts;
    std::string reason;  // message of the newest refusal
  };

  VmId NextTarget();
  void SendAttempt(std::uint64_t request, Pending& pending, Instant now);
  void Expire(std::uint64_t request, const Pending& pending);

  std::vector<VmId> replicas_;
  const Duration retry_interval_;
  VmId leader_;  // empty if not known
  // Position in replicas_ of the next target while the leader isn't known.
  std::size_t next_replica_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<ClientAction> actions_;
};

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_CLIENT_H_
