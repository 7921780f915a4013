// The state machine behind the replicated log: the fleet's state, operators'
// operations and at-most-once records. Every replica applies the same entries
// in the same order and reaches the same state.
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

struct MachineLimits {
  // Operations whose answers are kept for resends, the newest.
  std::size_t max_operations = 10'000;
  OnceLimits once;
};

// What applying one entry did.
struct Applied {
  // The answer to the proposal; nothing for entries that carry none.
  std::optional<ProposalResult> result;
  // Changes by which the state's version went up; empty if it didn't.
  ChangeSet changes;
};

// The payload of a log entry. `time_ms` is the leader's wall clock since 1970;
// it only serves retention.
std::string EncodeProposalEntry(const Proposal& proposal, std::int64_t time_ms);

class FleetMachine {
 public:
  explicit FleetMachine(MachineLimits limits = {});

  // Error: ControlError::kMalformed if the entry can't be read.
  Result<Applied> Apply(const LogEntry& entry);

  // Never null. A copy, made when asked for after changes, that later changes
  // leave alone.
  FleetStatePtr state() const;
  StateVersion version() const { return state_.version; }
  // The stored answer to an operation, for answering a resend at once.
  std::optional<ProposalResult> FindOperation(
      const std::string& operation_id) const;

  std::string EncodeSnapshot() const;
  static Result<FleetMachine> FromSnapshot(std::string_view bytes,
                                           MachineLimits limits = {});

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

  MachineLimits limits_;
  FleetState state_;
  mutable FleetStatePtr shared_;  // copy of state_; null if out of date
  std::map<std::string, Operation> operations_;
  std::deque<std::string>
      operation_order_;  // keys of operations_, oldest first
  OnceTable once_;
  std::int64_t time_ms_ = 0;  // of the newest entry; never goes back
};

}  // namespace baobabrun

#endif  // CONTROL_FLEET_MACHINE_H_
