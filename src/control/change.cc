// Describes, computes and applies changes of the fleet's state.
#include "control/change.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

#include "control/control_error.h"

namespace baobabrun {
namespace {

// Returns the identifier by which an item is found in its list.
const OrganisationId& IdOf(const Contract& it) {
  return it.organisation;
}
const KeyId& IdOf(const KeyRecord& it) {
  return it.key;
}
const RouteId& IdOf(const Route& it) {
  return it.route;
}
const ModelId& IdOf(const Model& it) {
  return it.model;
}
const EndpointId& IdOf(const EndpointId& it) {
  return it;
}
const ModelId& IdOf(const NamedWeights& it) {
  return it.model;
}

template <class Items, class Id>
auto Find(Items& items, const Id& id) {
  return std::find_if(items.begin(), items.end(),
                      [&id](const auto& it) { return IdOf(it) == id; });
}

// Replaces the item with the same id, or appends the item if there is none.
template <class T>
void Put(std::vector<T>& items, const T& item) {
  const auto it = Find(items, IdOf(item));
  if (it == items.end()) {
    items.push_back(item);
  } else {
    *it = item;
  }
}

Error NotApplicable(std::string message) {
  return {ControlError::kNotApplicable, std::move(message)};
}

template <class T, class Id>
Status Remove(std::vector<T>& items, const Id& id, std::string_view kind) {
  const auto it = Find(items, id);
  if (it == items.end()) {
    return NotApplicable(fmt::format("no {} {}", kind, id.value()));
  }
  items.erase(it);
  return Ok();
}

// Rejects a key whose hash belongs to another key id already: otherwise a
// withdrawn key could be used again under another id.
Status AddKeyTo(std::vector<KeyRecord>& keys, const KeyRecord& record) {
  for (const auto& it : keys) {
    if (it.key == record.key) {
      return it == record ? Ok()
                          : Status(NotApplicable(fmt::format(
                                "key {} {}", record.key.value(),
                                it.withdrawn ? "was withdrawn"
                                             : "exists with other contents")));
    }
    if (it.hash == record.hash) {
      return NotApplicable(fmt::format("key {} is the same as key {}",
                                       record.key.value(), it.key.value()));
    }
  }
  keys.push_back(record);
  return Ok();
}

// Applies one change to a state that no other thread reads.
struct Applier {
  FleetState& state;

  Status operator()(const PutContract& it) const {
    Put(state.declarations.contracts, it.contract);
    return Ok();
  }
  Status operator()(const RemoveContract& it) const {
    return Remove(state.declarations.contracts, it.organisation, "contract");
  }
  Status operator()(const PutRoute& it) const {
    Put(state.declarations.routes, it.route);
    return Ok();
  }
  Status operator()(const RemoveRoute& it) const {
    return Remove(state.declarations.routes, it.route, "route");
  }
  Status operator()(const PutModel& it) const {
    Put(state.declarations.models, it.model);
    return Ok();
  }
  Status operator()(const RemoveModel& it) const {
    return Remove(state.declarations.models, it.model, "model");
  }
  Status operator()(const AddKey& it) const {
    return AddKeyTo(state.declarations.keys, it.record);
  }
  Status operator()(const WithdrawKey& it) const {
    const auto found = Find(state.declarations.keys, it.key);
    if (found == state.declarations.keys.end()) {
      return NotApplicable(fmt::format("no key {}", it.key.value()));
    }
    found->withdrawn = true;
    return Ok();
  }
  Status operator()(const RetireEndpoint& it) const {
    Put(state.retired, it.endpoint);
    return Ok();
  }
  Status operator()(const CancelRetirement& it) const {
    return Remove(state.retired, it.endpoint, "retired endpoint");
  }
  Status operator()(const PutManifest& it) const {
    if (it.manifest.number > state.manifest.number) {
      state.manifest = it.manifest;
    }
    return Ok();
  }
  Status operator()(const SetModelWeights& it) const {
    if (it.named.weights > state.WeightsOf(it.named.model)) {
      Put(state.named_weights, it.named);
    }
    return Ok();
  }
};

struct Describer {
  std::string operator()(const PutContract& it) const {
    return "+ contract " + it.contract.organisation.value();
  }
  std::string operator()(const RemoveContract& it) const {
    return "- contract " + it.organisation.value();
  }
  std::string operator()(const PutRoute& it) const {
    return "+ route " + it.route.route.value();
  }
  std::string operator()(const RemoveRoute& it) const {
    return "- route " + it.route.value();
  }
  std::string operator()(const PutModel& it) const {
    return "+ model " + it.model.model.value();
  }
  std::string operator()(const RemoveModel& it) const {
    return "- model " + it.model.value();
  }
  std::string operator()(const AddKey& it) const {
    return fmt::format("+ key {} of {}", it.record.key.value(),
                       it.record.organisation.value());
  }
  std::string operator()(const WithdrawKey& it) const {
    return "- key " + it.key.value();
  }
  std::string operator()(const RetireEndpoint& it) const {
    return "- endpoint " + it.endpoint.value();
  }
  std::string operator()(const CancelRetirement& it) const {
    return "+ endpoint " + it.endpoint.value();
  }
  std::string operator()(const PutManifest& it) const {
    return fmt::format("+ manifest {}", it.manifest.number);
  }
  std::string operator()(const SetModelWeights& it) const {
    return fmt::format("+ weights {} of {}", it.named.weights,
                       it.named.model.value());
  }
};

// Appends a Put for each item of `to` that is new or differs, and a Remove for
// each item of `from` that is gone.
template <class PutChange, class RemoveChange, class T>
void DiffItems(const std::vector<T>& from,
               const std::vector<T>& to,
               ChangeSet& changes) {
  for (const auto& it : to) {
    const auto old = Find(from, IdOf(it));
    if (old == from.end() || !(*old == it)) {
      changes.push_back(PutChange{it});
    }
  }
  for (const auto& it : from) {
    if (Find(to, IdOf(it)) == to.end()) {
      changes.push_back(RemoveChange{IdOf(it)});
    }
  }
}

void DiffKeys(const std::vector<KeyRecord>& from,
              const std::vector<KeyRecord>& to,
              ChangeSet& changes) {
  for (const auto& it : to) {
    const auto old = Find(from, it.key);
    KeyRecord added = it;
    added.withdrawn = false;
    if (old == from.end() || old->hash != it.hash ||
        old->organisation != it.organisation) {
      changes.push_back(AddKey{added});
    }
    if (it.withdrawn && (old == from.end() || !old->withdrawn)) {
      changes.push_back(WithdrawKey{it.key});
    }
  }
}

}  // namespace

std::string Describe(const Change& change) {
  return std::visit(Describer(), change);
}

ChangeSet Diff(const Declarations& from, const Declarations& to) {
  ChangeSet changes;
  DiffItems<PutContract, RemoveContract>(from.contracts, to.contracts, changes);
  DiffItems<PutRoute, RemoveRoute>(from.routes, to.routes, changes);
  DiffItems<PutModel, RemoveModel>(from.models, to.models, changes);
  DiffKeys(from.keys, to.keys, changes);
  return changes;
}

bool IsSuperseded(const FleetState& state, const Change& change) {
  if (const auto* put = std::get_if<PutManifest>(&change)) {
    return put->manifest.number <= state.manifest.number;
  }
  if (const auto* name = std::get_if<SetModelWeights>(&change)) {
    return name->named.weights <= state.WeightsOf(name->named.model);
  }
  return false;
}

Status ApplySingleChange(FleetState& state, const Change& change) {
  return std::visit(Applier{state}, change);
}

Result<FleetState> Apply(const FleetState& state, const ChangeSet& changes) {
  FleetState next = state;
  for (const auto& it : changes) {
    auto status = ApplySingleChange(next, it);
    if (!status.ok()) {
      return status.error();
    }
  }
  next.version = StateVersion(state.version.value() + 1);
  return next;
}

}  // namespace baobabrun
