// Chooses the weights that a request runs on during a rollout: the declared
// version, or an earlier one that some engines still have, in proportion to the
// slots with each version. Requests that share their first cache block get the
// same version, so that each version's prefix caches stay useful.
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
  // Counts the slots of serving endpoints by model and weights.
  void Update(const std::vector<EndpointView>& endpoints);

  // Whether a serving endpoint announces `service`.
  bool HasService(std::string_view service) const {
    return services_.contains(service);
  }

  // Returns the version for a request to `model`. `group_hash` is a hash of
  // what requests that should get the same version have in common.
  LoadedModel Choose(const Model& model, std::uint64_t group_hash) const;

 private:
  struct Version {
    LoadedModel loaded;
    std::int64_t slots = 0;
  };
  std::set<std::string, std::less<>> services_;
  // Every version has at least one slot.
  std::map<ModelId, std::vector<Version>> versions_;
};

}  // namespace baobabrun

#endif  // ORDERS_ROLLOUT_H_
