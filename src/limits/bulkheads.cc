// Counts the use of budgets by part.
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

Hold::Hold(Bulkheads* owner,
           Resource resource,
           std::int64_t amount,
           std::vector<Part> parts)
    : owner_(owner),
      resource_(resource),
      amount_(amount),
      parts_(std::move(parts)) {}

Hold::Hold(Hold&& other) noexcept
    : owner_(std::exchange(other.owner_, nullptr)),
      resource_(other.resource_),
      amount_(other.amount_),
      parts_(std::move(other.parts_)) {}

Hold& Hold::operator=(Hold&& other) noexcept {
  if (this != &other) {
    Release();
    owner_ = std::exchange(other.owner_, nullptr);
    resource_ = other.resource_;
    amount_ = other.amount_;
    parts_ = std::move(other.parts_);
  }
  return *this;
}

Hold::~Hold() {
  Release();
}

void Hold::Release() {
  if (owner_ != nullptr) {
    std::exchange(owner_, nullptr)->GiveBack(resource_, amount_, parts_);
  }
}

Bulkheads::Bulkheads(const std::array<Budget, kResources>& budgets) {
  for (std::size_t i = 0; i < kResources; ++i) {
    states_[i].budget = budgets[i];
  }
}

Hold Bulkheads::Take(Resource resource,
                     std::int64_t amount,
                     std::vector<Part> parts) {
  auto& state = states_[Index(resource)];
  if (!Allows(state, amount, parts)) {
    ++state.refused;
    return {};
  }
  state.used += amount;
  for (const auto& it : parts) {
    state.parts[it] += amount;
  }
  return Hold(this, resource, amount, std::move(parts));
}

std::int64_t Bulkheads::Used(Resource resource) const {
  return states_[Index(resource)].used;
}

std::int64_t Bulkheads::Used(Resource resource, const Part& part) const {
  const auto& parts = states_[Index(resource)].parts;
  const auto it = parts.find(part);
  return it == parts.end() ? 0 : it->second;
}

std::uint64_t Bulkheads::Refused(Resource resource) const {
  return states_[Index(resource)].refused;
}

std::size_t Bulkheads::PartHash::operator()(const Part& part) const noexcept {
  return FastHash(part.name, static_cast<std::uint64_t>(part.kind));
}

bool Bulkheads::Allows(const State& state,
                       std::int64_t amount,
                       std::span<const Part> parts) const {
  const auto& budget = state.budget;
  if (amount <= 0 || amount > budget.total - state.used) {
    return false;
  }
  bool within_guarantees = true;
  for (const auto& it : parts) {
    const auto found = state.parts.find(it);
    const auto used = found == state.parts.end() ? 0 : found->second;
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
                         std::span<const Part> parts) {
  auto& state = states_[Index(resource)];
  state.used -= amount;
  for (const auto& it : parts) {
    const auto found = state.parts.find(it);
    found->second -= amount;
    if (found->second == 0) {
      state.parts.erase(found);
    }
  }
}

}  // namespace baobabrun
