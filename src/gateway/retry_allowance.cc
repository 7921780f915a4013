// Counting repeated sendings.
#include "gateway/retry_allowance.h"

#include <algorithm>

namespace baobabrun {
namespace {

// Part of the ratio that is used. The bound counts the requests of fixed
// windows beside the one judged, while a repeat here is earned by any window
// that ends at it; at a steady rate three quarters of its requests are counted.
constexpr double kUsedRatio = 0.75;

}  // namespace

void RetryAllowance::SetSharers(std::size_t sharers) {
  sharers_ = std::max(sharers_, sharers);
}

void RetryAllowance::Expire(Service& service, Instant now) const {
  const auto first = now - options_.window;
  for (auto* it : {&service.requests, &service.repeats}) {
    while (!it->empty() && it->front() < first) {
      it->pop_front();
    }
  }
}

void RetryAllowance::CountRequest(const std::string& service, Instant now) {
  auto& it = services_[service];
  Expire(it, now);
  it.requests.push_back(now);
}

bool RetryAllowance::TrySpend(const std::string& service, Instant now) {
  auto& it = services_[service];
  Expire(it, now);
  const auto earned = static_cast<std::int64_t>(
      kUsedRatio * options_.ratio * static_cast<double>(it.requests.size()));
  const auto share = options_.slack / static_cast<std::int64_t>(sharers_);
  if (static_cast<std::int64_t>(it.repeats.size()) >= earned + share) {
    return false;
  }
  it.repeats.push_back(now);
  return true;
}

}  // namespace baobabrun
