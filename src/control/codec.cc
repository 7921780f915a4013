// Encodes and decodes the control library's types.
#include "control/codec.h"

#include <string>
#include <variant>

#include "control/control_error.h"
#include "control/convert.h"

namespace baobabrun {
namespace {

template <class Message, class T>
std::string Encode(const T& value) {
  Message message;
  ToProto(value, &message);
  return message.SerializeAsString();
}

template <class Message, class T>
Result<T> Decode(std::string_view bytes, std::string_view kind) {
  Message message;
  T value;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !FromProto(message, &value)) {
    return Error{ControlError::kMalformed, "malformed " + std::string(kind)};
  }
  return value;
}

}  // namespace

std::string EncodeChangeSet(const ChangeSet& changes) {
  return Encode<control_proto::ChangeSet>(changes);
}

Result<ChangeSet> DecodeChangeSet(std::string_view bytes) {
  return Decode<control_proto::ChangeSet, ChangeSet>(bytes, "change set");
}

std::string EncodeFleetState(const FleetState& state) {
  return Encode<control_proto::FleetState>(state);
}

Result<FleetState> DecodeFleetState(std::string_view bytes) {
  return Decode<control_proto::FleetState, FleetState>(bytes, "fleet state");
}

std::size_t EncodedSize(const ChangeSet& changes) {
  std::size_t bytes = 0;
  for (const auto& it : changes) {
    const auto* put = std::get_if<PutManifest>(&it);
    bytes += put != nullptr && put->manifest.text != nullptr
                 ? put->manifest.text->size()
                 : EncodeChangeSet({it}).size();
  }
  return bytes;
}

std::size_t EncodedSize(const FleetState& state) {
  FleetState rest = state;
  rest.manifest = {};
  control_proto::FleetState message;
  ToProto(rest, &message);
  const auto& text = state.manifest.text;
  return message.ByteSizeLong() + (text == nullptr ? 0 : text->size());
}

std::string EncodeProposal(const Proposal& proposal) {
  return Encode<control_proto::Proposal>(proposal);
}

Result<Proposal> DecodeProposal(std::string_view bytes) {
  return Decode<control_proto::Proposal, Proposal>(bytes, "proposal");
}

std::string EncodeProposalResult(const ProposalResult& result) {
  return Encode<control_proto::ProposalResult>(result);
}

Result<ProposalResult> DecodeProposalResult(std::string_view bytes) {
  return Decode<control_proto::ProposalResult, ProposalResult>(
      bytes, "proposal result");
}

}  // namespace baobabrun
