// Messages that carry proposals from the VM where they were made to the leader,
// and the responses back.
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

// One attempt at a proposal. `request` and `attempt` are unique on the sending
// VM.
struct ProposalRequest {
  std::uint64_t request = 0;
  std::uint64_t attempt = 0;
  Proposal proposal;
};

// The response to one attempt. kNotAccepted means that this attempt is
// certainly not committed; another attempt may be.
struct ProposalResponse {
  std::uint64_t request = 0;
  std::uint64_t attempt = 0;
  ProposalResult result;
  VmId leader;  // the leader known to the sender; may be empty
  std::vector<VmId> replicas;
};

using ProposalMessage = std::variant<ProposalRequest, ProposalResponse>;

std::string EncodeProposalMessage(const ProposalMessage& message);
// Returns ControlError::kMalformed if the bytes can't be decoded.
Result<ProposalMessage> DecodeProposalMessage(std::string_view bytes);

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_MESSAGE_H_
