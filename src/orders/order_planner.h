// Decides which orders the control leader gives to engines, so that they come
// to have the models and weights that the declarations name.
//
// A new version is rolled out a few engines at a time: at most kMostLoads load
// at once over the fleet, and never all engines of one model. An order carries
// the leader's term as fencing number. Some engines don't check it; for those a
// new leader first waits until the old leader's lease must have ended, since
// until then an order of the old one may still arrive.
#ifndef ORDERS_ORDER_PLANNER_H_
#define ORDERS_ORDER_PLANNER_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "endpoints/announcement.h"
#include "placement/endpoint_table.h"
#include "settings/declarations.h"

namespace baobabrun {

enum class OrderKind { kLoad, kLeave };
std::string_view NameOf(OrderKind kind);

struct EndpointOrder {
  EndpointId endpoint;
  Incarnation incarnation;
  Address address;
  std::uint64_t term = 0;  // fencing number
  OrderKind kind = OrderKind::kLoad;
  LoadedModel model;  // for kLoad
};

struct OrderPlannerOptions {
  // After taking over, no order goes to an engine that doesn't check fencing
  // numbers for so long: the longest lease of the leader before, with margin.
  Duration old_lease = seconds(3);
  // After taking over, nothing is ordered at all until every engine has
  // announced itself, so that loads under way are counted.
  Duration survey = seconds(1);
  // An order whose effect doesn't show in so long is given again.
  Duration order_timeout = seconds(120);
};

class OrderPlanner {
 public:
  // Engines load slower while more than this many load at once.
  static constexpr std::size_t kMostLoads = 2;

  explicit OrderPlanner(OrderPlannerOptions options) : options_(options) {}

  // This VM became leader of `term`.
  void Lead(std::uint64_t term, Instant now);
  void StopLeading() { leading_ = false; }

  // The orders to give now. `endpoints` are all that this VM knows of. Empty
  // while another VM leads.
  std::vector<EndpointOrder> Plan(const FleetState& state,
                                  const std::vector<EndpointView>& endpoints,
                                  Instant now);
  // The endpoint refused or didn't answer: the order is forgotten.
  void OnRefused(const EndpointId& endpoint) { open_.erase(endpoint); }

 private:
  struct OpenOrder {
    Incarnation incarnation;
    LoadedModel model;
    Instant given;
  };

  void ForgetDone(const std::vector<EndpointView>& endpoints, Instant now);
  bool MayOrder(const EndpointView& endpoint, Instant now) const;
  std::size_t Loading(const std::vector<EndpointView>& endpoints) const;
  void PlanModel(const Model& model,
                 const std::vector<EndpointView>& endpoints,
                 std::size_t* loads_left,
                 Instant now,
                 std::vector<EndpointOrder>* out);
  EndpointOrder GiveLoad(const EndpointView& endpoint,
                         LoadedModel model,
                         Instant now);

  const OrderPlannerOptions options_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  Instant led_since_;
  std::map<EndpointId, OpenOrder> open_;  // given, effect not seen yet
};

}  // namespace baobabrun

#endif  // ORDERS_ORDER_PLANNER_H_
