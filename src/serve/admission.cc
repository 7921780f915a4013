// Checks requests against keys and contracts.
#include "serve/admission.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"
#include "prefix/block_hash.h"

namespace baobabrun {
namespace {

AdmissionOutcome Refuse(RefusalReason reason, std::string message) {
  return {nullptr, {reason, std::move(message), true, {}}};
}

template <class Id>
bool Contains(const std::vector<Id>& ids, const Id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

std::string_view KeyRefusalMessage(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kKeyMissing:
      return "send the key as 'Authorization: Bearer KEY'";
    case RefusalReason::kKeyWithdrawn:
      return "the key was withdrawn";
    default:
      return "the key is not known";
  }
}

// Returns the contract of the organisation that owns the caller's key and sets
// `key`. Returns null and sets `refusal` if there is no valid key or contract.
const Contract* FindCallerContract(const FleetState& state,
                                   const KeyTable& keys,
                                   const CallerRequest& caller,
                                   KeyId* key,
                                   Refusal* refusal) {
  const auto lookup = keys.Lookup(caller.key);
  if (!lookup.found) {
    *refusal = {
        lookup.reason, std::string(KeyRefusalMessage(lookup.reason)), true, {}};
    return nullptr;
  }
  const auto* contract = state.declarations.FindContract(lookup.organisation);
  if (contract == nullptr) {
    *refusal = {RefusalReason::kForbidden,
                "the organisation has no contract",
                true,
                {}};
    return nullptr;
  }
  *key = lookup.key;
  return contract;
}

AdmissionOutcome CheckModelCall(const FleetState& state,
                                const Contract& contract,
                                const Rollout& rollout,
                                Request request) {
  const auto& call = request.caller.call;
  const auto* model = state.declarations.FindModel(call.model);
  if (model == nullptr) {
    return Refuse(RefusalReason::kUnknownModel,
                  "model '" + call.model.value() + "' is not known");
  }
  if (!Contains(contract.models, call.model)) {
    return Refuse(
        RefusalReason::kForbidden,
        "the contract doesn't allow model '" + call.model.value() + "'");
  }
  request.block_tokens = model->block_tokens;
  const auto first_block =
      std::string_view(*call.prompt)
          .substr(0, static_cast<std::size_t>(model->block_tokens) *
                         kBytesPerToken);
  auto version = rollout.Choose(
      *model, FastHash(first_block, FastHash(request.organisation.value())));
  request.weights = std::move(version.weights);
  request.adapter = std::move(version.adapter);
  request.prompt_tokens =
      static_cast<std::int64_t>(call.prompt->size() / kBytesPerToken + 1);
  request.max_tokens =
      call.max_tokens == 0
          ? contract.max_output_tokens
          : std::min(call.max_tokens, contract.max_output_tokens);
  return {std::make_shared<const Request>(std::move(request)), {}};
}

AdmissionOutcome CheckServiceCall(const Route& route, Request request) {
  request.route = route.route;
  request.service = route.service;
  request.repeatable =
      std::find(route.repeatable.begin(), route.repeatable.end(),
                request.caller.method) != route.repeatable.end();
  return {std::make_shared<const Request>(std::move(request)), {}};
}

}  // namespace

AdmissionOutcome CheckRequest(const FleetState& state,
                              const KeyTable& keys,
                              const Rollout& rollout,
                              const CallerRequest& caller) {
  Request request;
  request.caller = caller;
  // The key is checked below from `caller`. The request doesn't keep it, so
  // that no later step can pass it on.
  request.caller.key.clear();
  const Route* route = nullptr;
  if (caller.kind == RequestKind::kService) {
    route = state.declarations.MatchRoute(caller.path);
    if (route == nullptr) {
      return Refuse(RefusalReason::kUnknownRoute, "no route has this path");
    }
    if (route->open) {
      return CheckServiceCall(*route, std::move(request));
    }
  }
  Refusal refusal;
  const auto* contract =
      FindCallerContract(state, keys, caller, &request.key, &refusal);
  if (contract == nullptr) {
    return {nullptr, std::move(refusal)};
  }
  request.organisation = contract->organisation;
  request.priority = contract->priority;
  request.weight = contract->weight;
  if (route == nullptr) {
    return CheckModelCall(state, *contract, rollout, std::move(request));
  }
  if (!Contains(contract->routes, route->route)) {
    return Refuse(
        RefusalReason::kForbidden,
        "the contract doesn't allow route '" + route->route.value() + "'");
  }
  return CheckServiceCall(*route, std::move(request));
}

ModelList ListModels(const FleetState& state,
                     const KeyTable& keys,
                     const CallerRequest& caller) {
  ModelList out;
  KeyId key;
  const auto* contract =
      FindCallerContract(state, keys, caller, &key, &out.refusal);
  if (contract == nullptr) {
    return out;
  }
  nlohmann::json models = nlohmann::json::array();
  for (const auto& it : contract->models) {
    models.push_back({{"id", it.value()}, {"object", "model"}});
  }
  const nlohmann::json all = {{"object", "list"}, {"data", std::move(models)}};
  out.ok = true;
  out.json = all.dump();
  return out;
}

}  // namespace baobabrun
