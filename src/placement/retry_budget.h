// How many retries each organisation may cause. Every admitted request earns a
// fraction of a retry, and each retry costs one. The budgets of all VMs add up
// to the same fraction of the fleet's requests, so the bound holds over the
// fleet without any message.
#ifndef PLACEMENT_RETRY_BUDGET_H_
#define PLACEMENT_RETRY_BUDGET_H_

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"

namespace baobabrun {

struct RetryBudgetOptions {
  // Thousandths of a retry that an admitted request earns.
  std::int64_t earned_per_request = 100;
  // Most thousandths an organisation may have saved on one VM; also what it
  // starts with, so that an endpoint lost soon after a start is survived.
  std::int64_t most_saved = 20'000;
};

class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetOptions options) : options_(options) {}

  void Earn(const OrganisationId& organisation);
  // Returns false, taking nothing, if the organisation's budget is spent.
  bool TrySpend(const OrganisationId& organisation);

 private:
  std::int64_t& Saved(const OrganisationId& organisation);

  const RetryBudgetOptions options_;
  // Thousandths of a retry, from 0 to most_saved.
  std::unordered_map<OrganisationId, std::int64_t> saved_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_RETRY_BUDGET_H_
