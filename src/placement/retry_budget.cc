// Retry budgets of organisations.
#include "placement/retry_budget.h"

#include <algorithm>

namespace baobabrun {
namespace {

constexpr std::int64_t kRetryCost = 1000;  // thousandths

}  // namespace

void RetryBudget::Earn(const OrganisationId& organisation) {
  auto& saved = Saved(organisation);
  saved = std::min(saved + options_.earned_per_request, options_.max_saved);
}

bool RetryBudget::TrySpend(const OrganisationId& organisation) {
  auto& saved = Saved(organisation);
  if (saved < kRetryCost) {
    return false;
  }
  saved -= kRetryCost;
  return true;
}

std::int64_t& RetryBudget::Saved(const OrganisationId& organisation) {
  return saved_.try_emplace(organisation, options_.max_saved).first->second;
}

}  // namespace baobabrun
