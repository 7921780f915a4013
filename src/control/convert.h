// Conversion between the control library's types and its protobuf messages.
// Internal header of the control library, as it includes protobuf headers.
//
// A FromProto function that returns bool returns false if the message is
// malformed.
#ifndef CONTROL_CONVERT_H_
#define CONTROL_CONVERT_H_

#include "control/change.h"
#include "control/control.pb.h"
#include "control/proposal.h"

namespace baobabrun {

void ToProto(const FleetState& state, control_proto::FleetState* out);
bool FromProto(const control_proto::FleetState& in, FleetState* state);

void ToProto(const ChangeSet& changes, control_proto::ChangeSet* out);
bool FromProto(const control_proto::ChangeSet& in, ChangeSet* changes);

void ToProto(const OnceBegin& begin, control_proto::OnceBegin* out);
OnceBegin FromProto(const control_proto::OnceBegin& in);

void ToProto(const OnceEnd& end, control_proto::OnceEnd* out);
bool FromProto(const control_proto::OnceEnd& in, OnceEnd* end);

void ToProto(const Proposal& proposal, control_proto::Proposal* out);
bool FromProto(const control_proto::Proposal& in, Proposal* proposal);

void ToProto(const ProposalResult& result, control_proto::ProposalResult* out);
bool FromProto(const control_proto::ProposalResult& in, ProposalResult* result);

}  // namespace baobabrun

#endif  // CONTROL_CONVERT_H_
