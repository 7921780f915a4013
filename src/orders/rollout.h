// Which weights a request runs on while a new version is being rolled out: the
// declared ones, or the ones before on engines that still have those, in
// proportion to the slots that have each. Requests that share their first block
// go the same way, so that each version's caches stay useful.
#ifndef ORDERS_ROLLOUT_H_
#define ORDERS_ROLLOUT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "endpoints/announcement.h"
#include "placement/endpoint_table.h"
#include "settings/declarations.h"

namespace baobabrun {

class Rollout {
 public:
  // Counts the slots of endpoints that take work, by model and weights.
  void Update(const std::vector<EndpointView>& endpoints);

  // Whether an endpoint that takes work announces `service`.
  bool HasService(std::string_view service) const {
    return services_.contains(service);
  }

  // The version for a request for `model`. `spread` is any hash of what should
  // stay together.
  LoadedModel Choose(const Model& model, std::uint64_t spread) const;

 private:
  struct Version {
    LoadedModel loaded;
    std::int64_t slots = 0;
  };
  std::set<std::string, std::less<>> services_;
  std::map<ModelId, std::vector<Version>> versions_;  // none without slots
};

}  // namespace baobabrun

#endif  // ORDERS_ROLLOUT_H_
