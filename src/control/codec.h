// Encoding of the control library's types as protobuf payloads, for the log,
// for snapshots and for messages between VMs. Equal values give equal bytes.
//
// The Decode functions return ControlError::kMalformed if the bytes can't be
// decoded.
#ifndef CONTROL_CODEC_H_
#define CONTROL_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/error.h"
#include "control/change.h"
#include "control/proposal.h"

namespace baobabrun {

std::string EncodeChangeSet(const ChangeSet& changes);
Result<ChangeSet> DecodeChangeSet(std::string_view bytes);

std::string EncodeFleetState(const FleetState& state);
Result<FleetState> DecodeFleetState(std::string_view bytes);

// Sizes of the encodings in bytes, without the few bytes that frame a
// manifest's text. They cost no copy of that text.
std::size_t EncodedSize(const ChangeSet& changes);
std::size_t EncodedSize(const FleetState& state);

std::string EncodeProposal(const Proposal& proposal);
Result<Proposal> DecodeProposal(std::string_view bytes);

std::string EncodeProposalResult(const ProposalResult& result);
Result<ProposalResult> DecodeProposalResult(std::string_view bytes);

}  // namespace baobabrun

#endif  // CONTROL_CODEC_H_
