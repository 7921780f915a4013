// Encodes and decodes forwarded proposals.
#include "control/proposal_message.h"

#include <utility>

#include "control/control_error.h"
#include "control/convert.h"
#include "control/log.pb.h"

namespace baobabrun {
namespace {

struct MessageToProto {
  control_proto::ProposalMessage* out;

  void operator()(const ProposalRequest& it) const {
    auto* request = out->mutable_request();
    request->set_request(it.request);
    request->set_attempt(it.attempt);
    ToProto(it.proposal, request->mutable_proposal());
  }
  void operator()(const ProposalResponse& it) const {
    auto* response = out->mutable_response();
    response->set_request(it.request);
    response->set_attempt(it.attempt);
    response->set_leader(it.leader.value());
    for (const auto& replica : it.replicas) {
      response->add_replicas(replica.value());
    }
    ToProto(it.result, response->mutable_result());
  }
};

bool FromProto(const control_proto::ProposalRequest& in,
               ProposalRequest* request) {
  request->request = in.request();
  request->attempt = in.attempt();
  return FromProto(in.proposal(), &request->proposal);
}

bool FromProto(const control_proto::ProposalResponse& in,
               ProposalResponse* response) {
  response->request = in.request();
  response->attempt = in.attempt();
  response->leader = VmId(in.leader());
  for (const auto& it : in.replicas()) {
    response->replicas.emplace_back(it);
  }
  return FromProto(in.result(), &response->result);
}

}  // namespace

std::string EncodeProposalMessage(const ProposalMessage& message) {
  control_proto::ProposalMessage out;
  std::visit(MessageToProto{&out}, message);
  return out.SerializeAsString();
}

Result<ProposalMessage> DecodeProposalMessage(std::string_view bytes) {
  control_proto::ProposalMessage in;
  ProposalMessage message;
  bool valid = in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  if (valid && in.has_request()) {
    valid = FromProto(in.request(), &message.emplace<ProposalRequest>());
  } else if (valid && in.has_response()) {
    valid = FromProto(in.response(), &message.emplace<ProposalResponse>());
  } else {
    valid = false;
  }
  if (!valid) {
    return Error{ControlError::kMalformed, "malformed proposal message"};
  }
  return message;
}

}  // namespace baobabrun
