// The state machine of the replicated log. It holds the fleet's state, the
// results of operators' operations, and the at-most-once records. Every replica
// applies the same entries in the same order and so reaches the same state.
#ifndef CONTROL_FLEET_MACHINE_H_
#define CONTROL_FLEET_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"
#include "control/log_entry.h"
#include "control/once_table.h"
#include "control/proposal.h"
#include "settings/declarations.h"

namespace baobabrun {

struct StateMachineLimits {
  // Number of newest operations whose results are kept for retries.
  std::size_t max_operations = 10'000;
  OnceLimits once;
};

// The effect of applying one entry.
struct Applied {
  // The result of the proposal; nullopt if the entry has no proposal.
  std::optional<ProposalResult> result;
  // The changes that raised the state's version; empty if it wasn't raised.
  ChangeSet changes;
};

// Returns the payload of a log entry. `time_ms` is Unix time by the leader's
// clock; it is used only for the retention of at-most-once records.
std::string EncodeProposalEntry(const Proposal& proposal, std::int64_t time_ms);

class FleetStateMachine {
 public:
  explicit FleetStateMachine(StateMachineLimits limits = {});

  // Returns ControlError::kMalformed if the entry can't be decoded.
  Result<Applied> Apply(const LogEntry& entry);

  // Returns an immutable copy of the state; never null. The copy is made at the
  // first call after a change, and later changes don't affect it.
  FleetStatePtr state() const;
  StateVersion version() const { return state_.version; }
  // Returns the stored result of an operation, so that a retry can be answered
  // without a log entry; nullopt if there is none.
  std::optional<ProposalResult> FindOperation(
      const std::string& operation_id) const;

  std::string EncodeSnapshot() const;
  static Result<FleetStateMachine> FromSnapshot(std::string_view bytes,
                                                StateMachineLimits limits = {});

 private:
  struct Operation {
    std::uint64_t fingerprint = 0;  // of the proposal
    ProposalResult result;
  };

  ProposalResult ApplyProposal(const Proposal& proposal, ChangeSet* changes);
  ProposalResult ApplyChange(const ChangeProposal& proposal,
                             ChangeSet* changes);
  ProposalResult Commit(const ChangeProposal& proposal, ChangeSet* changes);
  Status ApplyChanges(const ChangeSet& changes);
  Applied ApplyMembership(const Membership& membership);
  void Remember(const std::string& operation_id,
                std::uint64_t fingerprint,
                const ProposalResult& result);

  StateMachineLimits limits_;
  FleetState state_;
  mutable FleetStatePtr shared_;  // copy of state_; null if outdated
  std::map<std::string, Operation> operations_;
  std::deque<std::string>
      operation_order_;  // keys of operations_, oldest first
  OnceTable once_;
  std::int64_t time_ms_ = 0;  // highest time of any entry so far
};

}  // namespace baobabrun

#endif  // CONTROL_FLEET_MACHINE_H_
