// Limits the retries of each organisation. Every admitted request earns a
// fraction of a retry, and each retry spends a whole one. The budgets of all
// VMs add up to the same fraction of the fleet's requests, so the limit holds
// for the whole fleet although the VMs exchange no messages about it.
#ifndef PLACEMENT_RETRY_BUDGET_H_
#define PLACEMENT_RETRY_BUDGET_H_

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"

namespace baobabrun {

struct RetryBudgetOptions {
  // Thousandths of a retry that an admitted request earns.
  std::int64_t earned_per_request = 100;
  // Maximum budget of an organisation on one VM, in thousandths of a retry. It
  // is also the initial budget, so that requests survive the crash of an
  // endpoint soon after the VM has started.
  std::int64_t max_saved = 20'000;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  void Earn(const OrganisationId& organisation);
  // Spends one retry. Returns false and spends nothing if the budget of the
  // organisation is too low.
  bool TrySpend(const OrganisationId& organisation);

 private:
  std::int64_t& Saved(const OrganisationId& organisation);

  const RetryBudgetOptions options_;
  // Thousandths of a retry, from 0 to max_saved.
  std::unordered_map<OrganisationId, std::int64_t> saved_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_RETRY_BUDGET_H_
