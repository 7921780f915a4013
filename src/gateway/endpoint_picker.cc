// Filters the candidates and ranks them by cost or by load.
#include "gateway/endpoint_picker.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Once at least one in this many of the endpoints has weights that weren't
// superseded long ago, the other endpoints get no calls.
constexpr std::size_t kMinFreshDivisor = 3;
// How much longer than predicted the first token may take.
constexpr int kWaitFactor = 2;

template <class Predicate>
void KeepIfAny(std::vector<const PickCandidate*>& choices,
               const Predicate& wanted) {
  if (std::any_of(choices.begin(), choices.end(), wanted)) {
    std::erase_if(choices, [&wanted](const auto* it) { return !wanted(it); });
  }
}

}  // namespace

bool EndpointPicker::MayBegin(const PickCandidate& candidate) const {
  return candidate.superseded == Duration::zero() ||
         candidate.superseded + kWaitFactor * candidate.load.first_token <
             options_.weights_deadline;
}

EndpointPicker::Choices EndpointPicker::Eligible(
    const std::vector<PickCandidate>& candidates) const {
  Choices choices;
  for (const auto& it : candidates) {
    if (MayBegin(it)) {
      choices.push_back(&it);
    }
  }
  KeepIfAny(choices, [](const auto* it) { return !it->avoid; });
  const auto is_fresh = [this](const auto* it) {
    return it->superseded < options_.weights_grace;
  };
  const auto fresh = static_cast<std::size_t>(
      std::count_if(choices.begin(), choices.end(), is_fresh));
  if (fresh * kMinFreshDivisor >= choices.size()) {
    KeepIfAny(choices, is_fresh);
  }
  return choices;
}

const PickCandidate* EndpointPicker::Pick(
    const PickRequest& request,
    const std::vector<PickCandidate>& candidates) {
  auto choices = Eligible(candidates);
  if (choices.empty()) {
    return nullptr;
  }
  return request.prefix ? PickByPrefix(*request.prefix, std::move(choices))
                        : PickLeastLoaded(choices);
}

const PickCandidate* EndpointPicker::PickByPrefix(std::uint64_t prefix,
                                                  Choices choices) const {
  const auto cost = [this](const PickCandidate* it) {
    const auto delay_from_others = std::chrono::duration_cast<Duration>(
        (it->load.delay_to_others + it->load.delay_from_others) *
        options_.delay_weight);
    return it->load.first_token + it->load.to_prefill * options_.prefill_cost +
           it->load.fetched * options_.fetch_cost + delay_from_others;
  };
  const auto* best =
      *std::min_element(choices.begin(), choices.end(),
                        [&cost](const auto* left, const auto* right) {
                          return cost(left) < cost(right);
                        });
  const auto limit = cost(best) + options_.cost_tolerance;
  std::erase_if(choices, [&](const auto* it) { return cost(it) > limit; });
  const auto rank = [prefix](const PickCandidate* it) {
    return FastHash(it->endpoint.value(), prefix);
  };
  return *std::min_element(choices.begin(), choices.end(),
                           [&rank](const auto* left, const auto* right) {
                             return rank(left) < rank(right);
                           });
}

const PickCandidate* EndpointPicker::PickLeastLoaded(const Choices& choices) {
  const auto rank = [this](const PickCandidate* it) {
    return std::pair(it->in_flight, it->zone != options_.zone);
  };
  const auto best =
      rank(*std::min_element(choices.begin(), choices.end(),
                             [&rank](const auto* left, const auto* right) {
                               return rank(left) < rank(right);
                             }));
  Choices equal;
  std::copy_if(choices.begin(), choices.end(), std::back_inserter(equal),
               [&](const auto* it) { return rank(it) == best; });
  std::uniform_int_distribution<std::size_t> pick(0, equal.size() - 1);
  return equal[pick(random_)];
}

}  // namespace baobabrun
