// Decides which orders the control leader sends to engines, so that they load
// the models and weights that the declarations name.
//
// A new version is rolled out a few engines at a time: at most
// kMaxConcurrentLoads engines of the fleet load at once, and where several
// engines serve a model, never all of them. An order carries the leader's term
// as its fencing number. Some engines don't check it. A new leader orders
// nothing from those until the old leader's lease must have ended, since until
// then an order of the old leader may still arrive.
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
  // After this VM became leader, no order is sent for this long to an engine
  // that doesn't check fencing numbers. It is the longest lease that the
  // previous leader may hold, with a margin.
  Duration previous_lease = seconds(3);
  // After this VM became leader, no order at all is sent for this long, so that
  // every engine has announced itself and loads under way are counted.
  Duration announcement_wait = seconds(1);
  // An order without visible effect after this long is sent again.
  Duration order_timeout = seconds(120);
};

class OrderPlanner {
 public:
  // Maximum number of engines that load at once. Loads become slower if more
  // run at the same time.
  static constexpr std::size_t kMaxConcurrentLoads = 2;

  explicit OrderPlanner(OrderPlannerOptions options) : options_(options) {}

  // This VM became leader in `term`.
  void StartLeading(std::uint64_t term, Instant now);
  void StopLeading() { leading_ = false; }

  // Returns the orders to send now. `endpoints` are all endpoints that this VM
  // knows. The result is empty unless this VM is the leader.
  std::vector<EndpointOrder> Plan(const FleetState& state,
                                  const std::vector<EndpointView>& endpoints,
                                  Instant now);
  // Drops the open order of an endpoint that refused it or didn't answer, so
  // that it can be sent again.
  void OnRefused(const EndpointId& endpoint) { open_orders_.erase(endpoint); }

 private:
  struct OpenOrder {
    Incarnation incarnation;
    LoadedModel model;
    Instant sent;
  };

  void DropFinishedOrders(const std::vector<EndpointView>& endpoints,
                          Instant now);
  bool CanOrder(const EndpointView& endpoint, Instant now) const;
  std::size_t Loading(const std::vector<EndpointView>& endpoints) const;
  void PlanModel(const Model& model,
                 const std::vector<EndpointView>& endpoints,
                 std::size_t* loads_left,
                 Instant now,
                 std::vector<EndpointOrder>* out);
  EndpointOrder OpenLoadOrder(const EndpointView& endpoint,
                              LoadedModel model,
                              Instant now);

  const OrderPlannerOptions options_;
  bool leading_ = false;
  std::uint64_t term_ = 0;
  Instant leader_since_;
  // Orders that were sent and have had no visible effect so far.
  std::map<EndpointId, OpenOrder> open_orders_;
};

}  // namespace baobabrun

#endif  // ORDERS_ORDER_PLANNER_H_
