// Choice of weights during a rollout.
#include "orders/rollout.h"

#include <algorithm>

namespace baobabrun {

void Rollout::Update(const std::vector<EndpointView>& endpoints) {
  versions_.clear();
  services_.clear();
  for (const auto& endpoint : endpoints) {
    if (endpoint.health != EndpointHealth::kServing) {
      continue;
    }
    if (!endpoint.service.empty()) {
      services_.insert(endpoint.service);
    }
    for (const auto& loaded : endpoint.models) {
      auto& versions = versions_[loaded.model];
      auto it = std::find_if(
          versions.begin(), versions.end(),
          [&](const auto& entry) { return entry.loaded == loaded; });
      if (it == versions.end()) {
        it = versions.insert(versions.end(), {loaded, 0});
      }
      it->slots += std::max(endpoint.slots, 1);
    }
  }
}

LoadedModel Rollout::Choose(const Model& model,
                            std::uint64_t group_hash) const {
  LoadedModel declared{model.model, model.weights, model.adapter};
  const auto it = versions_.find(model.model);
  if (it == versions_.end()) {
    return declared;
  }
  std::int64_t total = 0;
  for (const auto& version : it->second) {
    total += version.slots;
  }
  auto left =
      static_cast<std::int64_t>(group_hash % static_cast<std::uint64_t>(total));
  for (const auto& version : it->second) {
    left -= version.slots;
    if (left < 0) {
      return version.loaded;
    }
  }
  return declared;
}

}  // namespace baobabrun
