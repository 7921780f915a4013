// Budgets that keep one failing or flooding part of the traffic from using up
// what the rest needs: ring slots, connections, buffered bytes, queue places
// and retries. Use is counted by organisation, by service and by endpoint. An
// owner may use more than its guaranteed amount while there is room; the
// reserved units of each budget are only for owners within their guaranteed
// amounts.
#ifndef LIMITS_BULKHEADS_H_
#define LIMITS_BULKHEADS_H_

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace baobabrun {

enum class Resource {
  kRingSlots,
  kConnections,
  kBufferedBytes,
  kQueuePlaces,
  kRetries,
};
constexpr std::size_t kResources = 5;
std::string_view NameOf(Resource resource);

// What a use is counted against. Owners of different kinds are counted
// separately, so that a service and an organisation with the same name don't
// share an amount.
enum class BudgetOwnerKind { kOrganisation, kService, kEndpoint };
constexpr std::size_t kBudgetOwnerKinds = 3;

struct BudgetOwner {
  BudgetOwnerKind kind = BudgetOwnerKind::kOrganisation;
  std::string name;

  bool operator==(const BudgetOwner&) const = default;
};

// The limits of one resource.
struct Budget {
  std::int64_t total = 0;
  // The most that one owner of each kind may hold, indexed by BudgetOwnerKind.
  std::array<std::int64_t, kBudgetOwnerKinds> limit{};
  // The amount that one owner of each kind may always take, as far as `total`
  // allows, indexed by BudgetOwnerKind. Owners above this amount can't use the
  // last `reserved` units.
  std::array<std::int64_t, kBudgetOwnerKinds> guaranteed{};
  std::int64_t reserved = 0;
};

class Bulkheads;

// The units that a request, connection or call holds. The destructor releases
// them. Must not outlive its Bulkheads, and must be used on the same thread.
class BudgetReservation {
 public:
  BudgetReservation() = default;
  BudgetReservation(BudgetReservation&& other) noexcept;
  BudgetReservation& operator=(BudgetReservation&& other) noexcept;
  ~BudgetReservation();

  bool held() const { return owner_ != nullptr; }
  void Release();

 private:
  friend class Bulkheads;
  BudgetReservation(Bulkheads* owner,
                    Resource resource,
                    std::int64_t amount,
                    std::vector<BudgetOwner> budget_owners);

  Bulkheads* owner_ = nullptr;
  Resource resource_ = Resource::kRingSlots;
  std::int64_t amount_ = 0;
  std::vector<BudgetOwner> budget_owners_;
};

class Bulkheads {
 public:
  // Takes one budget for each Resource, in the order of the enumerators.
  explicit Bulkheads(const std::array<Budget, kResources>& budgets);

  // Takes `amount` of `resource` and counts it against all of `budget_owners`.
  // Returns an empty BudgetReservation, and counts nothing, if a budget doesn't
  // allow it. Kinds that don't occur in `budget_owners` aren't checked.
  BudgetReservation Take(Resource resource,
                         std::int64_t amount,
                         std::vector<BudgetOwner> budget_owners);

  std::int64_t Used(Resource resource) const;
  std::int64_t Used(Resource resource, const BudgetOwner& budget_owner) const;
  // Returns the number of calls of Take that were refused since the start.
  std::uint64_t Refused(Resource resource) const;

 private:
  friend class BudgetReservation;
  struct BudgetOwnerHash {
    std::size_t operator()(const BudgetOwner& budget_owner) const noexcept;
  };
  struct State {
    Budget budget;
    std::int64_t used = 0;  // never above budget.total
    std::uint64_t refused = 0;
    std::unordered_map<BudgetOwner, std::int64_t, BudgetOwnerHash>
        budget_owners;  // no zero entries
  };

  bool Allows(const State& state,
              std::int64_t amount,
              std::span<const BudgetOwner> budget_owners) const;
  void GiveBack(Resource resource,
                std::int64_t amount,
                std::span<const BudgetOwner> budget_owners);

  std::array<State, kResources> states_;
};

}  // namespace baobabrun

#endif  // LIMITS_BULKHEADS_H_
