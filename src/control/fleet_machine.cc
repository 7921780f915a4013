// Applies committed entries to the fleet's state.
#include "control/fleet_machine.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "control/codec.h"
#include "control/control_error.h"
#include "control/convert.h"
#include "control/log.pb.h"

namespace baobabrun {
namespace {

// Every replica stores the results, so replicas of different builds must
// compute the same text, also in change.cc and once_table.cc.
ProposalResult ResultOf(ProposalOutcome outcome,
                        StateVersion version,
                        std::string message = {}) {
  return {outcome, version, std::move(message), std::nullopt};
}

}  // namespace

std::string EncodeProposalEntry(const Proposal& proposal,
                                std::int64_t time_ms) {
  control_proto::ProposalEntry message;
  ToProto(proposal, message.mutable_proposal());
  message.set_time_ms(time_ms);
  return message.SerializeAsString();
}

FleetStateMachine::FleetStateMachine(StateMachineLimits limits)
    : limits_(limits), once_(limits.once) {}

Result<Applied> FleetStateMachine::Apply(const LogEntry& entry) {
  if (entry.membership) {
    return ApplyMembership(*entry.membership);
  }
  if (entry.payload.empty()) {
    return Applied();
  }
  control_proto::ProposalEntry message;
  Proposal proposal;
  if (!message.ParseFromString(entry.payload) ||
      !FromProto(message.proposal(), &proposal)) {
    return Error{ControlError::kMalformed,
                 fmt::format("malformed proposal in entry {}", entry.index)};
  }
  time_ms_ = std::max(time_ms_, message.time_ms());
  Applied applied;
  applied.result = ApplyProposal(proposal, &applied.changes);
  return applied;
}

ProposalResult FleetStateMachine::ApplyProposal(const Proposal& proposal,
                                                ChangeSet* changes) {
  if (const auto* change = std::get_if<ChangeProposal>(&proposal)) {
    return ApplyChange(*change, changes);
  }
  ProposalResult result;
  if (const auto* begin = std::get_if<OnceBegin>(&proposal)) {
    result = once_.Begin(*begin, time_ms_);
  } else if (const auto* end = std::get_if<OnceEnd>(&proposal)) {
    result = once_.End(*end);
  } else {
    result.outcome = ProposalOutcome::kInvalid;
    result.message = "a replacement is no plain entry";
  }
  result.version = state_.version;
  return result;
}

ProposalResult FleetStateMachine::ApplyChange(const ChangeProposal& proposal,
                                              ChangeSet* changes) {
  const std::uint64_t fingerprint = FastHash(EncodeProposal(proposal));
  const auto found = operations_.find(proposal.operation_id);
  if (found != operations_.end()) {
    return found->second.fingerprint == fingerprint
               ? found->second.result
               : ResultOf(ProposalOutcome::kInvalid, state_.version,
                          "the operation id was used for another change");
  }
  auto result = Commit(proposal, changes);
  Remember(proposal.operation_id, fingerprint, result);
  return result;
}

ProposalResult FleetStateMachine::Commit(const ChangeProposal& proposal,
                                         ChangeSet* changes) {
  const StateVersion version = state_.version;
  if (proposal.expected && *proposal.expected != version) {
    return ResultOf(ProposalOutcome::kConflict, version,
                    fmt::format("version {} was expected, {} is in force",
                                proposal.expected->value(), version.value()));
  }
  const bool superseded =
      std::all_of(proposal.changes.begin(), proposal.changes.end(),
                  [this](const auto& it) { return IsSuperseded(state_, it); });
  if (superseded) {
    return ResultOf(ProposalOutcome::kCommitted, version, "nothing to change");
  }
  const auto status = ApplyChanges(proposal.changes);
  if (!status.ok()) {
    return ResultOf(ProposalOutcome::kInvalid, version, status.error().message);
  }
  *changes = proposal.changes;
  return ResultOf(ProposalOutcome::kCommitted, state_.version);
}

// A set of several changes is applied to a copy, because a later change may
// fail. A single change, which is the common case, needs no copy.
Status FleetStateMachine::ApplyChanges(const ChangeSet& changes) {
  if (changes.size() != 1) {
    auto next = baobabrun::Apply(state_, changes);
    if (!next.ok()) {
      return next.error();
    }
    state_ = std::move(next.value());
  } else {
    auto status = ApplySingleChange(state_, changes.front());
    if (!status.ok()) {
      return status;
    }
    state_.version = StateVersion(state_.version.value() + 1);
  }
  shared_.reset();
  return Ok();
}

FleetStatePtr FleetStateMachine::state() const {
  if (!shared_) {
    shared_ = std::make_shared<const FleetState>(state_);
  }
  return shared_;
}

Applied FleetStateMachine::ApplyMembership(const Membership& membership) {
  Applied applied;
  const auto& operation_id = membership.operation_id;
  if (operation_id.empty() || operations_.contains(operation_id)) {
    return applied;
  }
  const auto message =
      membership.learner.empty()
          ? "the replacement was given up"
          : fmt::format("{} catches up, then {} leaves",
                        membership.learner.value(), membership.leaving.value());
  applied.result =
      ResultOf(ProposalOutcome::kCommitted, state_.version, message);
  Remember(operation_id, 0, *applied.result);
  return applied;
}

void FleetStateMachine::Remember(const std::string& operation_id,
                                 std::uint64_t fingerprint,
                                 const ProposalResult& result) {
  if (operation_id.empty()) {
    return;
  }
  operations_[operation_id] = {fingerprint, result};
  operation_order_.push_back(operation_id);
  while (operation_order_.size() > limits_.max_operations) {
    operations_.erase(operation_order_.front());
    operation_order_.pop_front();
  }
}

std::optional<ProposalResult> FleetStateMachine::FindOperation(
    const std::string& operation_id) const {
  const auto found = operations_.find(operation_id);
  if (operation_id.empty() || found == operations_.end()) {
    return std::nullopt;
  }
  return found->second.result;
}

std::string FleetStateMachine::EncodeSnapshot() const {
  control_proto::MachineSnapshot message;
  ToProto(state_, message.mutable_state());
  for (const auto& it : operation_order_) {
    const auto& operation = operations_.at(it);
    auto* out = message.add_operations();
    out->set_operation_id(it);
    out->set_fingerprint(operation.fingerprint);
    ToProto(operation.result, out->mutable_result());
  }
  for (const auto& it : once_.Records()) {
    auto* out = message.add_once();
    ToProto(it.begin, out->mutable_begin());
    out->set_time_ms(it.time_ms);
    if (it.end) {
      ToProto(*it.end, out->mutable_end());
    }
  }
  message.set_time_ms(time_ms_);
  return message.SerializeAsString();
}

Result<FleetStateMachine> FleetStateMachine::FromSnapshot(
    std::string_view bytes,
    StateMachineLimits limits) {
  const Error malformed{ControlError::kMalformed, "malformed snapshot"};
  control_proto::MachineSnapshot message;
  FleetState state;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !FromProto(message.state(), &state)) {
    return malformed;
  }
  FleetStateMachine machine(limits);
  machine.state_ = std::move(state);
  machine.time_ms_ = message.time_ms();
  for (const auto& it : message.operations()) {
    ProposalResult result;
    if (!FromProto(it.result(), &result)) {
      return malformed;
    }
    machine.Remember(it.operation_id(), it.fingerprint(), result);
  }
  for (const auto& it : message.once()) {
    OnceTable::Record record{FromProto(it.begin()), it.time_ms(), std::nullopt};
    if (it.has_end() && !FromProto(it.end(), &record.end.emplace())) {
      return malformed;
    }
    machine.once_.Restore(std::move(record));
  }
  return machine;
}

}  // namespace baobabrun
