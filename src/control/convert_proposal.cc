// Converts proposals and their results.
#include <utility>

#include "control/convert.h"

namespace baobabrun {
namespace {

struct ProposalToProto {
  control_proto::Proposal* out;

  void operator()(const ChangeProposal& it) const {
    auto* change = out->mutable_change();
    change->set_operation_id(it.operation_id);
    if (it.expected) {
      change->set_expected(it.expected->value());
    }
    ToProto(it.changes, change->mutable_changes());
  }
  void operator()(const OnceBegin& it) const {
    ToProto(it, out->mutable_once_begin());
  }
  void operator()(const OnceEnd& it) const {
    ToProto(it, out->mutable_once_end());
  }
  void operator()(const ReplaceReplica& it) const {
    auto* replace = out->mutable_replace_replica();
    replace->set_operation_id(it.operation_id);
    replace->set_remove(it.remove.value());
    replace->set_add(it.add.value());
  }
};

bool FromProto(const control_proto::ChangeProposal& in,
               ChangeProposal* proposal) {
  proposal->operation_id = in.operation_id();
  if (in.has_expected()) {
    proposal->expected = StateVersion(in.expected());
  }
  return FromProto(in.changes(), &proposal->changes);
}

ReplaceReplica FromProto(const control_proto::ReplaceReplica& in) {
  return {.operation_id = in.operation_id(),
          .remove = VmId(in.remove()),
          .add = VmId(in.add())};
}

}  // namespace

void ToProto(const OnceBegin& begin, control_proto::OnceBegin* out) {
  out->set_organisation(begin.organisation.value());
  out->set_idempotency_key(begin.idempotency_key);
  out->set_fingerprint(begin.fingerprint);
  out->set_vm(begin.vm.value());
  out->set_attempt(begin.attempt);
}

OnceBegin FromProto(const control_proto::OnceBegin& in) {
  return {.organisation = OrganisationId(in.organisation()),
          .idempotency_key = in.idempotency_key(),
          .fingerprint = in.fingerprint(),
          .vm = VmId(in.vm()),
          .attempt = in.attempt()};
}

void ToProto(const OnceEnd& end, control_proto::OnceEnd* out) {
  out->set_organisation(end.organisation.value());
  out->set_idempotency_key(end.idempotency_key);
  out->set_known(end.known);
  out->set_status(end.status);
  out->set_content_type(end.content_type);
  out->set_body(end.body);
  out->set_body_stored(end.body_stored);
}

bool FromProto(const control_proto::OnceEnd& in, OnceEnd* end) {
  end->organisation = OrganisationId(in.organisation());
  end->idempotency_key = in.idempotency_key();
  end->known = in.known();
  end->status = in.status();
  end->content_type = in.content_type();
  end->body = in.body();
  end->body_stored = in.body_stored();
  return true;
}

void ToProto(const Proposal& proposal, control_proto::Proposal* out) {
  std::visit(ProposalToProto{out}, proposal);
}

bool FromProto(const control_proto::Proposal& in, Proposal* proposal) {
  using Kind = control_proto::Proposal::KindCase;
  switch (in.kind_case()) {
    case Kind::kChange:
      return FromProto(in.change(), &proposal->emplace<ChangeProposal>());
    case Kind::kOnceBegin:
      *proposal = FromProto(in.once_begin());
      return true;
    case Kind::kOnceEnd:
      return FromProto(in.once_end(), &proposal->emplace<OnceEnd>());
    case Kind::kReplaceReplica:
      *proposal = FromProto(in.replace_replica());
      return true;
    case Kind::KIND_NOT_SET:
      return false;
  }
  return false;
}

void ToProto(const ProposalResult& result, control_proto::ProposalResult* out) {
  out->set_outcome(static_cast<std::uint32_t>(result.outcome));
  out->set_version(result.version.value());
  out->set_message(result.message);
  if (result.once) {
    ToProto(*result.once, out->mutable_once());
  }
}

bool FromProto(const control_proto::ProposalResult& in,
               ProposalResult* result) {
  if (in.outcome() >
      static_cast<std::uint32_t>(ProposalOutcome::kOnceMismatch)) {
    return false;
  }
  result->outcome = static_cast<ProposalOutcome>(in.outcome());
  result->version = StateVersion(in.version());
  result->message = in.message();
  return !in.has_once() || FromProto(in.once(), &result->once.emplace());
}

}  // namespace baobabrun
