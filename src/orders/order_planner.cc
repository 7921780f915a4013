// Planning of orders to engines.
#include "orders/order_planner.h"

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<OrderKind> kKinds[] = {
    {OrderKind::kLoad, "load"},
    {OrderKind::kLeave, "leave"},
};

LoadedModel DeclaredModel(const Model& model) {
  return {model.model, model.weights, model.adapter};
}

const LoadedModel* FindModel(const EndpointView& endpoint,
                             const ModelId& model) {
  const auto it =
      std::find_if(endpoint.models.begin(), endpoint.models.end(),
                   [&](const auto& entry) { return entry.model == model; });
  return it == endpoint.models.end() ? nullptr : &*it;
}

bool IsSpare(const EndpointView& endpoint) {
  return endpoint.service.empty() && endpoint.models.empty() &&
         endpoint.loading == 0;
}

bool IsServing(const EndpointView& endpoint) {
  return endpoint.health == EndpointHealth::kServing;
}

}  // namespace

std::string_view NameOf(OrderKind kind) {
  return NameOf<OrderKind>(kKinds, kind);
}

void OrderPlanner::StartLeading(std::uint64_t term, Instant now) {
  if (leading_ && term == term_) {
    return;
  }
  leading_ = true;
  term_ = term;
  leader_since_ = now;
  open_orders_.clear();
}

std::vector<EndpointOrder> OrderPlanner::Plan(
    const FleetState& state,
    const std::vector<EndpointView>& endpoints,
    Instant now) {
  std::vector<EndpointOrder> out;
  if (!leading_ || now - leader_since_ < options_.announcement_wait) {
    return out;
  }
  DropFinishedOrders(endpoints, now);
  const auto loading = Loading(endpoints);
  std::size_t loads_left =
      kMaxConcurrentLoads - std::min(kMaxConcurrentLoads, loading);
  for (const auto& it : state.declarations.models) {
    PlanModel(it, endpoints, &loads_left, now, &out);
  }
  return out;
}

// Drops open orders whose effect is visible, whose endpoint has expired or
// restarted, or that took too long.
void OrderPlanner::DropFinishedOrders(
    const std::vector<EndpointView>& endpoints,
    Instant now) {
  std::erase_if(open_orders_, [&](const auto& entry) {
    const auto& id = entry.first;
    const auto& order = entry.second;
    if (now - order.sent > options_.order_timeout) {
      return true;
    }
    const auto it =
        std::find_if(endpoints.begin(), endpoints.end(),
                     [&](const auto& view) { return view.endpoint == id; });
    if (it == endpoints.end() || it->health == EndpointHealth::kExpired ||
        it->incarnation != order.incarnation) {
      return true;
    }
    const auto* loaded = FindModel(*it, order.model.model);
    return loaded != nullptr && *loaded == order.model;
  });
}

// Returns the number of loads under way: the open orders, and the loads that
// engines without an open order report.
std::size_t OrderPlanner::Loading(
    const std::vector<EndpointView>& endpoints) const {
  std::size_t n = open_orders_.size();
  for (const auto& it : endpoints) {
    if (it.health != EndpointHealth::kExpired &&
        !open_orders_.contains(it.endpoint)) {
      n += static_cast<std::size_t>(std::max(it.loading, 0));
    }
  }
  return n;
}

bool OrderPlanner::CanOrder(const EndpointView& endpoint, Instant now) const {
  if (!IsServing(endpoint) || endpoint.loading > 0 ||
      open_orders_.contains(endpoint.endpoint)) {
    return false;
  }
  return endpoint.checks_fencing ||
         now - leader_since_ >= options_.previous_lease;
}

void OrderPlanner::PlanModel(const Model& model,
                             const std::vector<EndpointView>& endpoints,
                             std::size_t* loads_left,
                             Instant now,
                             std::vector<EndpointOrder>* out) {
  const auto wanted = DeclaredModel(model);
  std::size_t serving = 0;
  std::size_t busy = 0;  // serving, but loading or ordered to load
  std::vector<const EndpointView*> stale;
  std::vector<const EndpointView*> spare;
  for (const auto& it : endpoints) {
    const auto* loaded = FindModel(it, model.model);
    if (loaded != nullptr && IsServing(it)) {
      ++serving;
      busy += it.loading > 0 || open_orders_.contains(it.endpoint) ? 1 : 0;
      if (*loaded != wanted && CanOrder(it, now)) {
        stale.push_back(&it);
      }
    } else if (IsSpare(it) && CanOrder(it, now)) {
      spare.push_back(&it);
    }
  }
  const auto missing = std::max<std::int64_t>(
      0, model.wanted_endpoints - static_cast<std::int64_t>(serving));
  for (std::int64_t n = 0; n < missing && !spare.empty() && *loads_left > 0;
       ++n) {
    out->push_back(OpenLoadOrder(*spare.back(), wanted, now));
    spare.pop_back();
    --*loads_left;
  }
  // If several engines serve the model, at least one must not be loading at any
  // moment.
  for (const auto* it : stale) {
    if (*loads_left == 0 || (serving > 1 && busy + 1 >= serving)) {
      break;
    }
    out->push_back(OpenLoadOrder(*it, wanted, now));
    ++busy;
    --*loads_left;
  }
}

EndpointOrder OrderPlanner::OpenLoadOrder(const EndpointView& endpoint,
                                          LoadedModel model,
                                          Instant now) {
  open_orders_[endpoint.endpoint] = {endpoint.incarnation, model, now};
  return {endpoint.endpoint, endpoint.incarnation, endpoint.address, term_,
          OrderKind::kLoad,  std::move(model)};
}

}  // namespace baobabrun
