// Counts requests and retries within a sliding window.
#include "gateway/retry_allowance.h"

#include <algorithm>

namespace baobabrun {
namespace {

// Fraction of the ratio that is used. The bound counts the requests of the
// fixed windows around the one in question, while a retry here is allowed by
// the requests of the window that ends with it. At a steady rate, three
// quarters of these requests are counted.
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
