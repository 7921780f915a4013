// Converts the fleet's state and its changes.
#include <algorithm>
#include <type_traits>
#include <utility>

#include "control/convert.h"

namespace baobabrun {
namespace {

template <class Id, class Field>
void TextsToProto(const std::vector<Id>& ids, Field* field) {
  for (const auto& it : ids) {
    field->Add(std::string(it.value()));
  }
}

template <class Id, class Field>
void TextsFromProto(const Field& field, std::vector<Id>* ids) {
  for (const auto& it : field) {
    ids->push_back(Id(it));
  }
}

void ToProto(const Contract& contract, control_proto::Contract* out) {
  out->set_organisation(contract.organisation.value());
  TextsToProto(contract.models, out->mutable_models());
  TextsToProto(contract.routes, out->mutable_routes());
  out->set_tokens_per_second(contract.tokens_per_second);
  out->set_burst_tokens(contract.burst_tokens);
  out->set_requests_per_second(contract.requests_per_second);
  out->set_burst_requests(contract.burst_requests);
  out->set_max_output_tokens(contract.max_output_tokens);
  out->set_max_concurrent(contract.max_concurrent);
  out->set_weight(contract.weight);
  out->set_priority(static_cast<std::uint32_t>(contract.priority));
  out->set_when_isolated(static_cast<std::uint32_t>(contract.when_isolated));
}

bool FromProto(const control_proto::Contract& in, Contract* contract) {
  if (in.priority() > static_cast<std::uint32_t>(PriorityClass::kBatch) ||
      in.when_isolated() > static_cast<std::uint32_t>(WhenIsolated::kRefuse)) {
    return false;
  }
  contract->organisation = OrganisationId(in.organisation());
  TextsFromProto(in.models(), &contract->models);
  TextsFromProto(in.routes(), &contract->routes);
  contract->tokens_per_second = in.tokens_per_second();
  contract->burst_tokens = in.burst_tokens();
  contract->requests_per_second = in.requests_per_second();
  contract->burst_requests = in.burst_requests();
  contract->max_output_tokens = in.max_output_tokens();
  contract->max_concurrent = in.max_concurrent();
  contract->weight = in.weight();
  contract->priority = static_cast<PriorityClass>(in.priority());
  contract->when_isolated = static_cast<WhenIsolated>(in.when_isolated());
  return true;
}

void ToProto(const KeyRecord& record, control_proto::KeyRecord* out) {
  out->set_key(record.key.value());
  out->set_organisation(record.organisation.value());
  out->set_hash(record.hash.data(), record.hash.size());
  out->set_withdrawn(record.withdrawn);
}

bool FromProto(const control_proto::KeyRecord& in, KeyRecord* record) {
  if (in.hash().size() != kKeyHashBytes) {
    return false;
  }
  record->key = KeyId(in.key());
  record->organisation = OrganisationId(in.organisation());
  std::copy(in.hash().begin(), in.hash().end(), record->hash.begin());
  record->withdrawn = in.withdrawn();
  return true;
}

void ToProto(const Route& route, control_proto::Route* out) {
  out->set_route(route.route.value());
  out->set_path(route.path);
  out->set_service(route.service);
  out->set_open(route.open);
  for (const auto& it : route.repeatable) {
    out->add_repeatable(it);
  }
}

bool FromProto(const control_proto::Route& in, Route* route) {
  route->route = RouteId(in.route());
  route->path = in.path();
  route->service = in.service();
  route->open = in.open();
  route->repeatable.assign(in.repeatable().begin(), in.repeatable().end());
  return true;
}

void ToProto(const Model& model, control_proto::Model* out) {
  out->set_model(model.model.value());
  out->set_weights(model.weights);
  out->set_adapter(model.adapter);
  out->set_block_tokens(model.block_tokens);
  out->set_wanted_endpoints(model.wanted_endpoints);
}

bool FromProto(const control_proto::Model& in, Model* model) {
  model->model = ModelId(in.model());
  model->weights = in.weights();
  model->adapter = in.adapter();
  model->block_tokens = in.block_tokens();
  model->wanted_endpoints = in.wanted_endpoints();
  return true;
}

void ToProto(const ManifestRecord& manifest, control_proto::Manifest* out) {
  out->set_number(manifest.number);
  if (manifest.text != nullptr) {
    out->set_text(*manifest.text);
  }
}

bool FromProto(const control_proto::Manifest& in, ManifestRecord* manifest) {
  manifest->number = in.number();
  manifest->text = std::make_shared<const std::string>(in.text());
  return true;
}

void ToProto(const NamedWeights& named, control_proto::NamedWeights* out) {
  out->set_model(named.model.value());
  out->set_weights(named.weights);
}

bool FromProto(const control_proto::NamedWeights& in, NamedWeights* named) {
  named->model = ModelId(in.model());
  named->weights = in.weights();
  return true;
}

struct ChangeToProto {
  control_proto::Change* out;

  void operator()(const PutContract& it) const {
    ToProto(it.contract, out->mutable_put_contract());
  }
  void operator()(const RemoveContract& it) const {
    out->set_remove_contract(it.organisation.value());
  }
  void operator()(const PutRoute& it) const {
    ToProto(it.route, out->mutable_put_route());
  }
  void operator()(const RemoveRoute& it) const {
    out->set_remove_route(it.route.value());
  }
  void operator()(const PutModel& it) const {
    ToProto(it.model, out->mutable_put_model());
  }
  void operator()(const RemoveModel& it) const {
    out->set_remove_model(it.model.value());
  }
  void operator()(const AddKey& it) const {
    ToProto(it.record, out->mutable_add_key());
  }
  void operator()(const WithdrawKey& it) const {
    out->set_withdraw_key(it.key.value());
  }
  void operator()(const RetireEndpoint& it) const {
    out->set_retire_endpoint(it.endpoint.value());
  }
  void operator()(const CancelRetirement& it) const {
    out->set_cancel_retirement(it.endpoint.value());
  }
  void operator()(const PutManifest& it) const {
    ToProto(it.manifest, out->mutable_put_manifest());
  }
  void operator()(const SetModelWeights& it) const {
    ToProto(it.named, out->mutable_name_weights());
  }
};

bool FromProto(const control_proto::Change& in, Change* change) {
  using Kind = control_proto::Change::KindCase;
  switch (in.kind_case()) {
    case Kind::kPutContract:
      return FromProto(in.put_contract(),
                       &change->emplace<PutContract>().contract);
    case Kind::kRemoveContract:
      *change = RemoveContract{OrganisationId(in.remove_contract())};
      return true;
    case Kind::kPutRoute:
      return FromProto(in.put_route(), &change->emplace<PutRoute>().route);
    case Kind::kRemoveRoute:
      *change = RemoveRoute{RouteId(in.remove_route())};
      return true;
    case Kind::kPutModel:
      return FromProto(in.put_model(), &change->emplace<PutModel>().model);
    case Kind::kRemoveModel:
      *change = RemoveModel{ModelId(in.remove_model())};
      return true;
    case Kind::kAddKey:
      return FromProto(in.add_key(), &change->emplace<AddKey>().record);
    case Kind::kWithdrawKey:
      *change = WithdrawKey{KeyId(in.withdraw_key())};
      return true;
    case Kind::kRetireEndpoint:
      *change = RetireEndpoint{EndpointId(in.retire_endpoint())};
      return true;
    case Kind::kCancelRetirement:
      *change = CancelRetirement{EndpointId(in.cancel_retirement())};
      return true;
    case Kind::kPutManifest:
      return FromProto(in.put_manifest(),
                       &change->emplace<PutManifest>().manifest);
    case Kind::kNameWeights:
      return FromProto(in.name_weights(),
                       &change->emplace<SetModelWeights>().named);
    case Kind::KIND_NOT_SET:
      return false;
  }
  return false;
}

template <class T, class Field>
void ItemsToProto(const std::vector<T>& items, Field* field) {
  for (const auto& it : items) {
    ToProto(it, field->Add());
  }
}

template <class T, class Field>
bool ItemsFromProto(const Field& field, std::vector<T>* items) {
  for (const auto& it : field) {
    if (!FromProto(it, &items->emplace_back())) {
      return false;
    }
  }
  return true;
}

}  // namespace

void ToProto(const FleetState& state, control_proto::FleetState* out) {
  out->set_version(state.version.value());
  auto* declarations = out->mutable_declarations();
  ItemsToProto(state.declarations.contracts, declarations->mutable_contracts());
  ItemsToProto(state.declarations.keys, declarations->mutable_keys());
  ItemsToProto(state.declarations.routes, declarations->mutable_routes());
  ItemsToProto(state.declarations.models, declarations->mutable_models());
  TextsToProto(state.retired, out->mutable_retired());
  if (state.manifest.number != 0) {
    ToProto(state.manifest, out->mutable_manifest());
  }
  ItemsToProto(state.named_weights, out->mutable_named_weights());
}

bool FromProto(const control_proto::FleetState& in, FleetState* state) {
  state->version = StateVersion(in.version());
  TextsFromProto(in.retired(), &state->retired);
  if (in.has_manifest()) {
    FromProto(in.manifest(), &state->manifest);
  }
  if (!ItemsFromProto(in.named_weights(), &state->named_weights)) {
    return false;
  }
  const auto& from = in.declarations();
  auto& to = state->declarations;
  return ItemsFromProto(from.contracts(), &to.contracts) &&
         ItemsFromProto(from.keys(), &to.keys) &&
         ItemsFromProto(from.routes(), &to.routes) &&
         ItemsFromProto(from.models(), &to.models);
}

void ToProto(const ChangeSet& changes, control_proto::ChangeSet* out) {
  for (const auto& it : changes) {
    std::visit(ChangeToProto{out->add_changes()}, it);
  }
}

bool FromProto(const control_proto::ChangeSet& in, ChangeSet* changes) {
  return ItemsFromProto(in.changes(), changes);
}

}  // namespace baobabrun
