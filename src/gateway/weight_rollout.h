// Decides which orders to load newer weights the control leader sends, and when
// it queries an endpoint's status.
//
// An endpoint that is to load weights gets no new calls: entries are notified
// first. It loads once its runs are over. If they take too long, it loads while
// they continue, since waiting for long runs would take the endpoint out of
// service for many times the duration of the load itself. Only a fraction of
// all endpoints load at once, so that the others can take the calls. Some more
// finish their runs in the meantime, so that the next loads begin as soon as
// the last ones end. An endpoint that has crashed is skipped in favour of
// another. This serves weights that are named every few seconds, before all
// endpoints have the previous ones.
//
// Orders carry the leader's term as their fencing token. A new leader waits
// until the lease of the previous one must have expired. An order whose answer
// was lost may be carried out late: each order contains the count of orders
// that the endpoint must have accepted before, so that the endpoint refuses a
// late one.
#ifndef GATEWAY_WEIGHT_ROLLOUT_H_
#define GATEWAY_WEIGHT_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/dialect.h"
#include "gateway/endpoint_backoff.h"
#include "registry/endpoint_registry.h"
#include "settings/declarations.h"

namespace baobabrun {

struct WeightRolloutOptions {
  VmId self;
  // How long a new leader sends no orders.
  Duration order_lease = seconds(3);
  // Time from the notice until an endpoint's status reflects it: entries apply
  // the notice at once, but the status may be this old.
  Duration notice_delay = milliseconds(280);
  // How long runs may take to finish before the load begins while they
  // continue.
  Duration drain_timeout = milliseconds(600);
  // How long an endpoint may take to answer an order, which it does before it
  // carries it out. After that the order counts as lost, and is given again
  // unless the endpoint's status shows that it was accepted: meanwhile the
  // endpoint serves no calls, and others wait for it to load.
  Duration order_timeout = milliseconds(300);
  // Minimum duration of a load, and the interval between two status queries
  // during one.
  Duration min_load_time = milliseconds(500);
  Duration status_interval = milliseconds(150);
  // A load that isn't complete this long after its notice is given up.
  Duration load_timeout = seconds(10);
  // Time until an endpoint that refused an order gets another one.
  Duration refusal_backoff = milliseconds(500);
  // How many endpoints load at the same time: `concurrent_loads`, or one in
  // `concurrent_load_divisor` of all endpoints if that is more. More loads at
  // once would slow each other down.
  std::size_t concurrent_loads = 2;
  std::size_t concurrent_load_divisor = 5;
  // After this many unanswered status queries in a row, the load is given up in
  // favour of another endpoint: this one has crashed or can't be reached.
  int max_unanswered_queries = 3;
  // Time until an endpoint that didn't answer gets another order.
  Duration unreachable_backoff = seconds(2);
};

// The state of an endpoint's load, to be distributed to all VMs.
struct LoadNotice {
  EndpointId endpoint;
  std::uint64_t weights = 0;  // zero if the load has ended
};

struct RolloutActions {
  std::vector<LoadNotice> notices;
  std::vector<LoadOrder> orders;
  std::vector<EndpointId>
      status_queries;  // endpoints to query for their status
};

class WeightRollout {
 public:
  explicit WeightRollout(WeightRolloutOptions options)
      : options_(std::move(options)) {}

  // Starts leading in `term`. Has no effect if this VM already leads in it.
  void Lead(std::uint64_t term, Instant now);
  void StopLeading();
  bool leading() const { return term_ != 0; }

  // Returns the actions that are due now. `endpoints` are all that aren't gone.
  RolloutActions Plan(const FleetState& state,
                      const std::vector<const EndpointRecord*>& endpoints,
                      Instant now);
  void OnAnswer(const EndpointId& endpoint, OrderAnswer answer, Instant now);
  // Returns whether the endpoint, which got orders before, now gets none.
  bool OnNotice(const EndpointNotice& notice,
                const std::vector<const EndpointRecord*>& endpoints,
                Instant now);
  // `status` is null if the endpoint didn't answer, or not readably.
  void OnStatus(const EndpointId& endpoint,
                const EndpointStatus* status,
                Instant now);

 private:
  enum class Phase { kDraining, kOrdered, kLoading };
  struct Load {
    Incarnation incarnation;
    ModelId model;
    std::uint64_t weights = 0;
    Phase phase = Phase::kDraining;
    Instant noticed;
    Instant ordered;
    Instant next_query;
    bool querying = false;
    bool idle = false;   // the last status showed no run
    int unanswered = 0;  // unanswered status queries in a row
  };
  // What is known of an endpoint's orders.
  struct EndpointOrders {
    Incarnation incarnation;
    std::optional<std::uint64_t> orders;  // accepted so far; null if not known
    Instant not_before;                   // no order is sent before then
  };

  void EndLoads(const std::vector<const EndpointRecord*>& endpoints,
                Instant now,
                RolloutActions& actions);
  void BeginLoads(const FleetState& state,
                  const std::vector<const EndpointRecord*>& endpoints,
                  Instant now,
                  RolloutActions& actions);
  void AdvanceLoads(const std::vector<const EndpointRecord*>& endpoints,
                    Instant now,
                    RolloutActions& actions);
  EndpointOrders& OrdersOf(const EndpointRecord& endpoint);
  // How many of `all` endpoints may load at the same time, and how many may
  // load or finish their runs for a load.
  std::size_t MaxLoads(std::size_t all) const;
  std::size_t MaxOutOfService(std::size_t all) const;

  const WeightRolloutOptions options_;
  std::uint64_t term_ = 0;  // zero if another VM leads
  // Newest term whose orders an endpoint rejected for a higher fencing token.
  std::uint64_t fenced_term_ = 0;
  Instant led_since_;
  std::map<EndpointId, Load> loads_;
  std::map<EndpointId, EndpointOrders> orders_;
  EndpointBackoff backoff_{EndpointBackoffOptions()};
};

}  // namespace baobabrun

#endif  // GATEWAY_WEIGHT_ROLLOUT_H_
