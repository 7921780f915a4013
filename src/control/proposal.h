// Proposals to the replicated log and their results. A proposal can be made on
// any VM; the peer transport carries it to the leader.
#ifndef CONTROL_PROPOSAL_H_
#define CONTROL_PROPOSAL_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "control/change.h"

namespace baobabrun {

// An operator's change of the fleet's state.
struct ChangeProposal {
  // A retry with the same id gets the result of the first commit.
  std::string operation_id;
  // If set, the change is committed only if the state still has this version.
  std::optional<StateVersion> expected;
  ChangeSet changes;
};

// Records that a call that must not be repeated is about to start. Is committed
// before the call is handed to an endpoint.
struct OnceBegin {
  OrganisationId organisation;
  std::string idempotency_key;
  std::uint64_t fingerprint = 0;  // hash of method, path and body
  VmId vm;                        // the VM that will hand the call over
  // Distinguishes a resend of this proposal from another call with this key.
  std::uint64_t attempt = 0;
};

// Records the outcome of a call that an OnceBegin has started.
struct OnceEnd {
  OrganisationId organisation;
  std::string idempotency_key;
  // False if the outcome is unknown; the call must not be repeated then either.
  bool known = false;
  std::int32_t status = 0;
  std::string content_type;
  std::string body;  // empty if it exceeded the size limit of stored bodies
  bool body_stored = false;
};

// Replaces one replica of the control log with another VM. Until the added VM
// has caught up, another proposal for the same `remove` may name a different VM
// in `add`, or `remove` itself to cancel the replacement.
struct ReplaceReplica {
  std::string operation_id;
  VmId remove;  // empty if the group grows by `add`
  VmId add;
};

using Proposal =
    std::variant<ChangeProposal, OnceBegin, OnceEnd, ReplaceReplica>;

enum class ProposalOutcome {
  kCommitted,
  kConflict,     // the state's version differs from the expected one
  kInvalid,      // can't be applied to the state; `message` gives the reason
  kNotAccepted,  // certainly not committed: no leader or no quorum
  kUnknown,      // may have been committed; retry with the same id
  // Results of OnceBegin only.
  kOnceStarted,         // the call is recorded and may be handed over
  kOnceRunning,         // another attempt of the call is still running
  kOnceStored,          // the call has ended; `once` holds its outcome
  kOnceOutcomeUnknown,  // the call may have run and must not be repeated
  kOnceMismatch,        // the key was used for a different call
};
std::string_view NameOf(ProposalOutcome outcome);

struct ProposalResult {
  ProposalOutcome outcome = ProposalOutcome::kUnknown;
  // Version of the state after the commit; the present version if nothing was
  // committed.
  StateVersion version;
  std::string message;
  std::optional<OnceEnd> once;
};
using ProposalDone = std::function<void(ProposalResult result)>;

}  // namespace baobabrun

#endif  // CONTROL_PROPOSAL_H_
