// Names of the proposal outcomes.
#include "control/proposal.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<ProposalOutcome> kOutcomes[] = {
    {ProposalOutcome::kCommitted, "committed"},
    {ProposalOutcome::kConflict, "conflict"},
    {ProposalOutcome::kInvalid, "invalid"},
    {ProposalOutcome::kNotAccepted, "not accepted"},
    {ProposalOutcome::kUnknown, "unknown"},
    {ProposalOutcome::kOnceStarted, "once started"},
    {ProposalOutcome::kOnceRunning, "once running"},
    {ProposalOutcome::kOnceStored, "once stored"},
    {ProposalOutcome::kOnceOutcomeUnknown, "once outcome unknown"},
    {ProposalOutcome::kOnceMismatch, "once mismatch"},
};

}  // namespace

std::string_view NameOf(ProposalOutcome outcome) {
  return NameOf<ProposalOutcome>(kOutcomes, outcome);
}

}  // namespace baobabrun
