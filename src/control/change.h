// Changes of the fleet's committed state. A committed ChangeSet raises the
// state's version by one; a VM that is a few versions behind is sent just the
// sets it lacks, one far behind the whole state.
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
// Leaves a tombstone; a withdrawn key can't be added again.
struct WithdrawKey {
  KeyId key;
};
struct RetireEndpoint {
  EndpointId endpoint;
};
struct CancelRetirement {
  EndpointId endpoint;
};

// Replaces the manifest, if its number is higher than that of the one in force;
// changes nothing otherwise.
struct PutManifest {
  ManifestRecord manifest;
};
// Names newer weights for a model; changes nothing if they aren't newer.
struct NameWeights {
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
                            NameWeights>;
using ChangeSet = std::vector<Change>;

// One line for people, as `apply --dry-run` prints it: "+ contract hall-a".
std::string Describe(const Change& change);

// The changes that lead from `from` to `to`. Keys are only ever added or
// withdrawn: a key that `to` doesn't name stays as it is.
ChangeSet Diff(const Declarations& from, const Declarations& to);

// Whether `change` would leave `state` as it is, since something newer is in
// force.
bool IsOvertaken(const FleetState& state, const Change& change);

// Applies one change in place, without raising the version. Fails, changing
// nothing, if the change doesn't fit.
Status ApplyOne(FleetState& state, const Change& change);

// The state after `changes`, with a version one higher. Fails, changing
// nothing, if a change doesn't fit (an unknown key withdrawn, a withdrawn key
// added).
Result<FleetState> Apply(const FleetState& state, const ChangeSet& changes);

}  // namespace baobabrun

#endif  // CONTROL_CHANGE_H_
