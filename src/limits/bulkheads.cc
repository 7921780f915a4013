// Counts the use of budgets by owner.
#include "limits/bulkheads.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

constexpr NameEntry<Resource> kResourceNames[] = {
    {Resource::kRingSlots, "ring slots"},
    {Resource::kConnections, "connections"},
    {Resource::kBufferedBytes, "buffered bytes"},
    {Resource::kQueuePlaces, "queue places"},
    {Resource::kRetries, "retries"},
};

std::size_t Index(Resource resource) {
  return static_cast<std::size_t>(resource);
}

}  // namespace

std::string_view NameOf(Resource resource) {
  return NameOf<Resource>(kResourceNames, resource);
}

BudgetReservation::BudgetReservation(Bulkheads* owner,
                                     Resource resource,
                                     std::int64_t amount,
                                     std::vector<BudgetOwner> budget_owners)
    : owner_(owner),
      resource_(resource),
      amount_(amount),
      budget_owners_(std::move(budget_owners)) {}

BudgetReservation::BudgetReservation(BudgetReservation&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      resource_(other.resource_),
      amount_(other.amount_),
      budget_owners_(std::move(other.budget_owners_)) {}

BudgetReservation& BudgetReservation::operator=(
    BudgetReservation&& other) noexcept {
  if (this != &other) {
    Release();
    owner_ = std::exchange(other.owner_, nullptr);
    resource_ = other.resource_;
    amount_ = other.amount_;
    budget_owners_ = std::move(other.budget_owners_);
  }
  return *this;
}

BudgetReservation::~BudgetReservation() {
  Release();
}

void BudgetReservation::Release() {
  if (owner_ != nullptr) {
    std::exchange(owner_, nullptr)
        ->GiveBack(resource_, amount_, budget_owners_);
  }
}

Bulkheads::Bulkheads(const std::array<Budget, kResources>& budgets) {
  for (std::size_t i = 0; i < kResources; ++i) {
    states_[i].budget = budgets[i];
  }
}

BudgetReservation Bulkheads::Take(Resource resource,
                                  std::int64_t amount,
                                  std::vector<BudgetOwner> budget_owners) {
  auto& state = states_[Index(resource)];
  if (!Allows(state, amount, budget_owners)) {
    ++state.refused;
    return {};
  }
  state.used += amount;
  for (const auto& it : budget_owners) {
    state.budget_owners[it] += amount;
  }
  return BudgetReservation(this, resource, amount, std::move(budget_owners));
}

std::int64_t Bulkheads::Used(Resource resource) const {
  return states_[Index(resource)].used;
}

std::int64_t Bulkheads::Used(Resource resource,
                             const BudgetOwner& budget_owner) const {
  const auto& budget_owners = states_[Index(resource)].budget_owners;
  const auto it = budget_owners.find(budget_owner);
  return it == budget_owners.end() ? 0 : it->second;
}

std::uint64_t Bulkheads::Refused(Resource resource) const {
  return states_[Index(resource)].refused;
}

std::size_t Bulkheads::BudgetOwnerHash::operator()(
    const BudgetOwner& budget_owner) const noexcept {
  return FastHash(budget_owner.name,
                  static_cast<std::uint64_t>(budget_owner.kind));
}

bool Bulkheads::Allows(const State& state,
                       std::int64_t amount,
                       std::span<const BudgetOwner> budget_owners) const {
  const auto& budget = state.budget;
  if (amount <= 0 || amount > budget.total - state.used) {
    return false;
  }
  bool within_guarantees = true;
  for (const auto& it : budget_owners) {
    const auto found = state.budget_owners.find(it);
    const auto used = found == state.budget_owners.end() ? 0 : found->second;
    const auto kind = static_cast<std::size_t>(it.kind);
    if (amount > budget.limit[kind] - used) {
      return false;
    }
    within_guarantees =
        within_guarantees && amount <= budget.guaranteed[kind] - used;
  }
  return within_guarantees ||
         amount <= budget.total - budget.reserved - state.used;
}

void Bulkheads::GiveBack(Resource resource,
                         std::int64_t amount,
                         std::span<const BudgetOwner> budget_owners) {
  auto& state = states_[Index(resource)];
  state.used -= amount;
  for (const auto& it : budget_owners) {
    const auto found = state.budget_owners.find(it);
    found->second -= amount;
    if (found->second == 0) {
      state.budget_owners.erase(found);
    }
  }
}

}  // namespace baobabrun
