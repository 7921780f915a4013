// Plans loads of newer weights and tracks their progress.
#include "gateway/weight_rollout.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

constexpr NameEntry<OrderAnswer> kAnswers[] = {
    {OrderAnswer::kAccepted, "accepted"}, {OrderAnswer::kHolds, "holds"},
    {OrderAnswer::kBusy, "busy"},         {OrderAnswer::kFenced, "fenced"},
    {OrderAnswer::kRefused, "refused"},   {OrderAnswer::kUnclear, "unclear"},
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
    known_.clear();
  }
  term_ = term;
}

void WeightRollout::StopLeading() {
  term_ = 0;
}

WeightRollout::Known& WeightRollout::KnownOf(const EndpointRecord& endpoint) {
  auto& known = known_[endpoint.endpoint];
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
  Begin(state, endpoints, now, actions);
  GoOn(endpoints, now, actions);
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
    const bool silent = load.unanswered >= options_.unanswered_looks;
    const bool late = silent || now - load.noticed > options_.longest_load;
    if (done || late) {
      actions.notices.push_back({id, 0});
    }
    if (late && !done) {
      KnownOf(*endpoint).not_before =
          now + (silent ? options_.pause_after_silence
                        : options_.pause_after_refusal);
    }
    return done || late;
  });
}

void WeightRollout::Begin(const FleetState& state,
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
      if (loads_.size() >= MostOut(all)) {
        break;
      }
      const auto& known = KnownOf(*it);
      if (now < known.not_before) {
        continue;
      }
      loads_[it->endpoint] = {it->incarnation,
                              wanted.model,
                              wanted.weights,
                              Phase::kDraining,
                              now,
                              now,
                              now + options_.notice,
                              false,
                              false,
                              0};
      actions.notices.push_back({it->endpoint, wanted.weights});
    }
  }
}

std::size_t WeightRollout::MostLoads(std::size_t all) const {
  return std::max(options_.loads_at_once, all / options_.one_in);
}

// At most half of the endpoints are out of service, since the rest must take
// the calls.
std::size_t WeightRollout::MostOut(std::size_t all) const {
  const auto loads = MostLoads(all);
  const auto draining = std::max<std::size_t>(loads / 2, 1);
  return std::min(loads + draining, std::max<std::size_t>(all / 2, 1));
}

void WeightRollout::GoOn(const std::vector<const EndpointRecord*>& endpoints,
                         Instant now,
                         RolloutActions& actions) {
  auto loading = static_cast<std::size_t>(std::count_if(
      loads_.begin(), loads_.end(),
      [](const auto& it) { return it.second.phase != Phase::kDraining; }));
  const auto most = MostLoads(endpoints.size());
  for (auto& [id, load] : loads_) {
    const auto* endpoint = Find(endpoints, id);
    const auto& known = KnownOf(*endpoint);
    if (!load.looking && now >= load.next_look &&
        load.phase != Phase::kOrdered) {
      load.looking = true;
      actions.looks.push_back(id);
    }
    const bool patient = now < load.noticed + options_.drain;
    if (load.phase == Phase::kDraining && known.orders && loading < most &&
        (load.idle || !patient)) {
      ++loading;
      load.phase = Phase::kOrdered;
      load.ordered = now;
      actions.orders.push_back({id, endpoint->address, load.model, load.weights,
                                options_.self, term_, !load.idle,
                                known.orders});
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
  auto& known = known_[endpoint];
  switch (answer) {
    case OrderAnswer::kAccepted:
      load.phase = Phase::kLoading;
      load.next_look = now + options_.shortest_load;
      if (known.orders) {
        ++*known.orders;
      }
      break;
    case OrderAnswer::kHolds:
      load.phase = Phase::kLoading;
      load.next_look = now;
      break;
    case OrderAnswer::kUnclear:
    case OrderAnswer::kBusy:
      // The endpoint's next status shows whether the order was accepted.
      known.orders.reset();
      load.phase = Phase::kDraining;
      load.next_look = now + options_.look_interval;
      break;
    case OrderAnswer::kFenced:
      fenced_term_ = term_;
      break;
    case OrderAnswer::kRefused:
      known.not_before = now + options_.pause_after_refusal;
      // Makes the next Plan() end this load as overdue.
      load.noticed = now - 2 * options_.longest_load;
      break;
  }
}

void WeightRollout::OnStatus(const EndpointId& endpoint,
                             const EndpointStatus* status,
                             Instant now) {
  const auto it = loads_.find(endpoint);
  if (it == loads_.end()) {
    return;
  }
  auto& load = it->second;
  load.looking = false;
  load.next_look = now + options_.look_interval;
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
  known_[endpoint].orders = status->orders;
  load.idle = status->running == 0 && status->waiting == 0;
  const bool settled =
      now - load.ordered > options_.shortest_load + options_.look_interval;
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
