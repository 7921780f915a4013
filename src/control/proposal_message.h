// Messages that carry proposals from the VM where they were made to the leader,
// and the answers back.
#ifndef CONTROL_PROPOSAL_MESSAGE_H_
#define CONTROL_PROPOSAL_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "control/proposal.h"

namespace baobabrun {

// One try of a proposal. `request` and `attempt` are unique on the sending VM.
struct ProposalRequest {
  std::uint64_t request = 0;
  std::uint64_t attempt = 0;
  Proposal proposal;
};

// The answer to one try. kNotAccepted means that this very try is certainly not
// committed; another one may be.
struct ProposalResponse {
  std::uint64_t request = 0;
  std::uint64_t attempt = 0;
  ProposalResult result;
  VmId leader;  // as the sender knows it; may be empty
  std::vector<VmId> replicas;
};

using ProposalMessage = std::variant<ProposalRequest, ProposalResponse>;

std::string EncodeProposalMessage(const ProposalMessage& message);
// Error: ControlError::kMalformed.
Result<ProposalMessage> DecodeProposalMessage(std::string_view bytes);

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_MESSAGE_H_
