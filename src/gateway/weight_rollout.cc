// Plans loads of newer weights and tracks their progress.
#include "gateway/weight_rollout.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

constexpr NameEntry<OrderAnswer> kAnswers[] = {
    {OrderAnswer::kAccepted, "accepted"},
    {OrderAnswer::kAlreadyLoaded, "holds"},
    {OrderAnswer::kBusy, "busy"},
    {OrderAnswer::kFenced, "fenced"},
    {OrderAnswer::kRefused, "refused"},
    {OrderAnswer::kUnclear, "unclear"},
};

const EndpointRecord* Find(const std::vector<const EndpointRecord*>& endpoints,
                           const EndpointId& endpoint) {
  const auto it = std::find_if(
      endpoints.begin(), endpoints.end(),
      [&endpoint](const auto* it) { return it->endpoint == endpoint; });
  return it == endpoints.end() ? nullptr : *it;
}

}  // namespace

std::string_view NameOf(OrderAnswer answer) {
  return NameOf<OrderAnswer>(kAnswers, answer);
}

void WeightRollout::Lead(std::uint64_t term, Instant now) {
  if (term == term_) {
    return;
  }
  // Orders of a previous term of this same VM don't require a wait.
  if (term_ == 0) {
    led_since_ = now;
    loads_.clear();
    orders_.clear();
  }
  term_ = term;
}

void WeightRollout::StopLeading() {
  term_ = 0;
}

WeightRollout::EndpointOrders& WeightRollout::OrdersOf(
    const EndpointRecord& endpoint) {
  auto& known = orders_[endpoint.endpoint];
  if (known.incarnation != endpoint.incarnation) {
    known = {endpoint.incarnation, std::nullopt, Instant()};
  }
  return known;
}

RolloutActions WeightRollout::Plan(
    const FleetState& state,
    const std::vector<const EndpointRecord*>& endpoints,
    Instant now) {
  RolloutActions actions;
  if (term_ == 0 || term_ <= fenced_term_ ||
      now < led_since_ + options_.order_lease) {
    return actions;
  }
  EndLoads(endpoints, now, actions);
  BeginLoads(state, endpoints, now, actions);
  AdvanceLoads(endpoints, now, actions);
  return actions;
}

// Removes loads that are complete, whose endpoint is gone or was replaced, or
// that took too long.
void WeightRollout::EndLoads(
    const std::vector<const EndpointRecord*>& endpoints,
    Instant now,
    RolloutActions& actions) {
  std::erase_if(loads_, [&](const auto& entry) {
    const auto& [id, load] = entry;
    const auto* endpoint = Find(endpoints, id);
    if (endpoint == nullptr || endpoint->incarnation != load.incarnation) {
      return true;
    }
    const bool done = endpoint->WeightsOf(load.model) >= load.weights;
    const bool silent = load.unanswered >= options_.max_unanswered_queries;
    // An endpoint that gets no order doesn't keep others from loading.
    const bool uncallable = load.phase == Phase::kDraining
                                ? !backoff_.MayCall(id, load.incarnation, now)
                                : backoff_.Leaving(id, load.incarnation);
    const bool late =
        silent || uncallable || now - load.noticed > options_.load_timeout;
    if (done || late) {
      actions.notices.push_back({id, 0});
    }
    if (late && !done) {
      OrdersOf(*endpoint).not_before =
          now +
          (silent ? options_.unreachable_backoff : options_.refusal_backoff);
    }
    return done || late;
  });
}

void WeightRollout::BeginLoads(
    const FleetState& state,
    const std::vector<const EndpointRecord*>& endpoints,
    Instant now,
    RolloutActions& actions) {
  for (const auto& wanted : state.named_weights) {
    std::vector<const EndpointRecord*> behind;
    std::size_t all = 0;
    for (const auto* it : endpoints) {
      const auto weights = it->WeightsOf(wanted.model);
      all += weights != 0 ? 1 : 0;
      if (weights != 0 && weights < wanted.weights &&
          it->state == EndpointState::kReady &&
          backoff_.MayCall(it->endpoint, it->incarnation, now) &&
          !loads_.contains(it->endpoint)) {
        behind.push_back(it);
      }
    }
    // Endpoints with the oldest weights come first.
    std::stable_sort(behind.begin(), behind.end(),
                     [&wanted](const auto* left, const auto* right) {
                       return left->WeightsOf(wanted.model) <
                              right->WeightsOf(wanted.model);
                     });
    for (const auto* it : behind) {
      if (loads_.size() >= MaxOutOfService(all)) {
        break;
      }
      const auto& known = OrdersOf(*it);
      if (now < known.not_before) {
        continue;
      }
      loads_[it->endpoint] = {it->incarnation,
                              wanted.model,
                              wanted.weights,
                              Phase::kDraining,
                              now,
                              now,
                              now + options_.notice_delay,
                              false,
                              false,
                              0};
      actions.notices.push_back({it->endpoint, wanted.weights});
    }
  }
}

std::size_t WeightRollout::MaxLoads(std::size_t all) const {
  return std::max(options_.concurrent_loads,
                  all / options_.concurrent_load_divisor);
}

// At most half of the endpoints are out of service, since the rest must take
// the calls.
std::size_t WeightRollout::MaxOutOfService(std::size_t all) const {
  const auto loads = MaxLoads(all);
  const auto draining = std::max<std::size_t>(loads / 2, 1);
  return std::min(loads + draining, std::max<std::size_t>(all / 2, 1));
}

void WeightRollout::AdvanceLoads(
    const std::vector<const EndpointRecord*>& endpoints,
    Instant now,
    RolloutActions& actions) {
  auto loading = static_cast<std::size_t>(std::count_if(
      loads_.begin(), loads_.end(),
      [](const auto& it) { return it.second.phase != Phase::kDraining; }));
  const auto most = MaxLoads(endpoints.size());
  for (auto& [id, load] : loads_) {
    const auto* endpoint = Find(endpoints, id);
    const auto& known = OrdersOf(*endpoint);
    if (!backoff_.MayCall(id, load.incarnation, now)) {
      continue;
    }
    if (!load.querying && now >= load.next_query &&
        load.phase != Phase::kOrdered) {
      load.querying = true;
      actions.status_queries.push_back(id);
    }
    const bool patient = now < load.noticed + options_.drain_timeout;
    if (load.phase == Phase::kDraining && known.orders && loading < most &&
        (load.idle || !patient)) {
      ++loading;
      load.phase = Phase::kOrdered;
      load.ordered = now;
      actions.orders.push_back({id, endpoint->address, load.model, load.weights,
                                options_.self, term_, !load.idle, known.orders,
                                options_.order_timeout});
    }
  }
}

void WeightRollout::OnAnswer(const EndpointId& endpoint,
                             OrderAnswer answer,
                             Instant now) {
  const auto it = loads_.find(endpoint);
  if (it == loads_.end() || it->second.phase != Phase::kOrdered) {
    return;
  }
  auto& load = it->second;
  auto& known = orders_[endpoint];
  switch (answer) {
    case OrderAnswer::kAccepted:
      load.phase = Phase::kLoading;
      load.next_query = now + options_.min_load_time;
      if (known.orders) {
        ++*known.orders;
      }
      break;
    case OrderAnswer::kAlreadyLoaded:
      load.phase = Phase::kLoading;
      load.next_query = now;
      break;
    case OrderAnswer::kUnclear:
    case OrderAnswer::kBusy:
      // The endpoint's next status shows whether the order was accepted.
      known.orders.reset();
      load.phase = Phase::kDraining;
      load.next_query = now + options_.status_interval;
      break;
    case OrderAnswer::kFenced:
      fenced_term_ = term_;
      break;
    case OrderAnswer::kRefused:
      known.not_before = now + options_.refusal_backoff;
      // Makes the next Plan() end this load as overdue.
      load.noticed = now - 2 * options_.load_timeout;
      break;
  }
}

bool WeightRollout::OnNotice(
    const EndpointNotice& notice,
    const std::vector<const EndpointRecord*>& endpoints,
    Instant now) {
  const auto known = [&endpoints](const auto& it) {
    return Find(endpoints, it) != nullptr;
  };
  backoff_.Expire(known, now);
  bool changed = false;
  if (notice.notice.retry_after) {
    changed = backoff_.RecordRetryAfter(notice.endpoint,
                                        *notice.notice.retry_after, now);
  }
  if (notice.notice.leaving && known(notice.endpoint)) {
    changed |= backoff_.RecordLeaving(notice.endpoint, notice.incarnation);
  }
  return changed;
}

void WeightRollout::OnStatus(const EndpointId& endpoint,
                             const EndpointStatus* status,
                             Instant now) {
  const auto it = loads_.find(endpoint);
  if (it == loads_.end()) {
    return;
  }
  auto& load = it->second;
  load.querying = false;
  load.next_query = now + options_.status_interval;
  if (status == nullptr) {
    ++load.unanswered;
    return;
  }
  load.unanswered = 0;
  if (status->loading) {
    // An order is in progress, perhaps one whose answer was lost.
    load.phase = Phase::kLoading;
    return;
  }
  orders_[endpoint].orders = status->orders;
  load.idle = status->running == 0 && status->waiting == 0;
  const bool settled =
      now - load.ordered > options_.min_load_time + options_.status_interval;
  if (load.phase == Phase::kLoading && settled) {
    const auto has = std::find_if(
        status->models.begin(), status->models.end(),
        [&load](const auto& model) { return model.model == load.model; });
    // The endpoint neither loads nor has the weights, so the order was lost.
    if (has == status->models.end() || has->weights < load.weights) {
      load.phase = Phase::kDraining;
    }
  }
}

}  // namespace baobabrun
