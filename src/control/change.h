// Changes of the fleet's committed state. Each committed ChangeSet raises the
// state's version by one. A VM that is a few versions behind receives only the
// change sets that it lacks; a VM that is far behind receives the whole state.
#ifndef CONTROL_CHANGE_H_
#define CONTROL_CHANGE_H_

#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "settings/declarations.h"

namespace baobabrun {

struct PutContract {
  Contract contract;
};
struct RemoveContract {
  OrganisationId organisation;
};
struct PutRoute {
  Route route;
};
struct RemoveRoute {
  RouteId route;
};
struct PutModel {
  Model model;
};
struct RemoveModel {
  ModelId model;
};
struct AddKey {
  KeyRecord record;
};
// Marks the key as withdrawn and keeps its record as a tombstone, so that the
// key can't be added again.
struct WithdrawKey {
  KeyId key;
};
struct RetireEndpoint {
  EndpointId endpoint;
};
struct CancelRetirement {
  EndpointId endpoint;
};

// Replaces the manifest if the new number is higher than that of the manifest
// in force; changes nothing otherwise.
struct PutManifest {
  ManifestRecord manifest;
};
// Sets the weights number of a model if it is higher than the present one;
// changes nothing otherwise.
struct SetModelWeights {
  NamedWeights named;
};

using Change = std::variant<PutContract,
                            RemoveContract,
                            PutRoute,
                            RemoveRoute,
                            PutModel,
                            RemoveModel,
                            AddKey,
                            WithdrawKey,
                            RetireEndpoint,
                            CancelRetirement,
                            PutManifest,
                            SetModelWeights>;
using ChangeSet = std::vector<Change>;

// Returns a one-line description as `apply --dry-run` prints it, for example
// "+ contract hall-a".
std::string Describe(const Change& change);

// Returns the changes that lead from `from` to `to`. Keys are only added or
// withdrawn, never removed: a key that `to` doesn't contain is left unchanged.
ChangeSet Diff(const Declarations& from, const Declarations& to);

// Returns whether `change` would leave `state` unchanged because the state
// already holds the same or a newer manifest or weights number.
bool IsSuperseded(const FleetState& state, const Change& change);

// Applies one change in place without raising the version. If the change can't
// be applied to this state, returns an error and leaves the state unchanged.
Status ApplySingleChange(FleetState& state, const Change& change);

// Returns the state after `changes`, with a version one higher. Returns an
// error if a change can't be applied, for example if it withdraws an unknown
// key or adds a withdrawn key.
Result<FleetState> Apply(const FleetState& state, const ChangeSet& changes);

}  // namespace baobabrun

#endif  // CONTROL_CHANGE_H_
