// Keeps the times in order and drops those that no longer matter.
#include "control/weights_history.h"

#include <algorithm>
#include <iterator>

namespace baobabrun {

bool WeightsHistory::Add(const NamedWeightsAt& named, Instant now) {
  auto& versions = named_[named.model];
  const auto newer = versions.upper_bound(named.weights);
  const auto time = newer == versions.end()
                        ? named.named
                        : std::min(named.named, newer->second);
  const auto [it, added] = versions.try_emplace(named.weights, time);
  if (!added && it->second <= time) {
    return false;
  }
  it->second = time;
  for (auto older = versions.begin(); older != it; ++older) {
    older->second = std::min(older->second, time);
  }
  while (versions.size() > 1 &&
         (std::next(versions.begin())->second < now - kKept ||
          versions.size() > kMaxVersions)) {
    versions.erase(versions.begin());
  }
  return true;
}

bool WeightsHistory::Knows(const NamedWeights& named) const {
  const auto versions = named_.find(named.model);
  return versions != named_.end() && versions->second.contains(named.weights);
}

Duration WeightsHistory::SupersededFor(const ModelId& model,
                                       std::uint64_t weights,
                                       Instant now) const {
  const auto versions = named_.find(model);
  if (versions == named_.end()) {
    return Duration::zero();
  }
  const auto newer = versions->second.upper_bound(weights);
  return newer == versions->second.end() ? Duration::zero()
                                         : now - newer->second;
}

std::vector<NamedWeightsAt> WeightsHistory::All() const {
  std::vector<NamedWeightsAt> all;
  for (const auto& [model, versions] : named_) {
    for (const auto& [weights, named] : versions) {
      all.push_back({model, weights, named});
    }
  }
  return all;
}

}  // namespace baobabrun
