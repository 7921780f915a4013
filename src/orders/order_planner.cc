// Planning of orders.
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

LoadedModel Wanted(const Model& model) {
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

bool TakesWork(const EndpointView& endpoint) {
  return endpoint.health == EndpointHealth::kServing;
}

}  // namespace

std::string_view NameOf(OrderKind kind) {
  return NameOf<OrderKind>(kKinds, kind);
}

void OrderPlanner::Lead(std::uint64_t term, Instant now) {
  if (leading_ && term == term_) {
    return;
  }
  leading_ = true;
  term_ = term;
  led_since_ = now;
  open_.clear();
}

std::vector<EndpointOrder> OrderPlanner::Plan(
    const FleetState& state,
    const std::vector<EndpointView>& endpoints,
    Instant now) {
  std::vector<EndpointOrder> out;
  if (!leading_ || now - led_since_ < options_.survey) {
    return out;
  }
  ForgetDone(endpoints, now);
  const auto loading = Loading(endpoints);
  std::size_t loads_left = kMostLoads - std::min(kMostLoads, loading);
  for (const auto& it : state.declarations.models) {
    PlanModel(it, endpoints, &loads_left, now, &out);
  }
  return out;
}

// Forgets orders whose effect shows, whose endpoint is gone or has restarted,
// and those that took too long.
void OrderPlanner::ForgetDone(const std::vector<EndpointView>& endpoints,
                              Instant now) {
  std::erase_if(open_, [&](const auto& entry) {
    const auto& id = entry.first;
    const auto& order = entry.second;
    if (now - order.given > options_.order_timeout) {
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

// Loads under way: those ordered here, and those an engine reports besides.
std::size_t OrderPlanner::Loading(
    const std::vector<EndpointView>& endpoints) const {
  std::size_t n = open_.size();
  for (const auto& it : endpoints) {
    if (it.health != EndpointHealth::kExpired && !open_.contains(it.endpoint)) {
      n += static_cast<std::size_t>(std::max(it.loading, 0));
    }
  }
  return n;
}

bool OrderPlanner::MayOrder(const EndpointView& endpoint, Instant now) const {
  if (!TakesWork(endpoint) || endpoint.loading > 0 ||
      open_.contains(endpoint.endpoint)) {
    return false;
  }
  return endpoint.checks_fencing || now - led_since_ >= options_.old_lease;
}

void OrderPlanner::PlanModel(const Model& model,
                             const std::vector<EndpointView>& endpoints,
                             std::size_t* loads_left,
                             Instant now,
                             std::vector<EndpointOrder>* out) {
  const auto wanted = Wanted(model);
  std::size_t serving = 0;
  std::size_t busy = 0;  // serving, but about to load
  std::vector<const EndpointView*> stale;
  std::vector<const EndpointView*> spare;
  for (const auto& it : endpoints) {
    const auto* loaded = FindModel(it, model.model);
    if (loaded != nullptr && TakesWork(it)) {
      ++serving;
      busy += it.loading > 0 || open_.contains(it.endpoint) ? 1 : 0;
      if (*loaded != wanted && MayOrder(it, now)) {
        stale.push_back(&it);
      }
    } else if (IsSpare(it) && MayOrder(it, now)) {
      spare.push_back(&it);
    }
  }
  const auto missing = std::max<std::int64_t>(
      0, model.wanted_endpoints - static_cast<std::int64_t>(serving));
  for (std::int64_t n = 0; n < missing && !spare.empty() && *loads_left > 0;
       ++n) {
    out->push_back(GiveLoad(*spare.back(), wanted, now));
    spare.pop_back();
    --*loads_left;
  }
  // One engine of several must stay out of the roll-out at any moment.
  for (const auto* it : stale) {
    if (*loads_left == 0 || (serving > 1 && busy + 1 >= serving)) {
      break;
    }
    out->push_back(GiveLoad(*it, wanted, now));
    ++busy;
    --*loads_left;
  }
}

EndpointOrder OrderPlanner::GiveLoad(const EndpointView& endpoint,
                                     LoadedModel model,
                                     Instant now) {
  open_[endpoint.endpoint] = {endpoint.incarnation, model, now};
  return {endpoint.endpoint, endpoint.incarnation, endpoint.address, term_,
          OrderKind::kLoad,  std::move(model)};
}

}  // namespace baobabrun
