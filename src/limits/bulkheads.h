// Budgets that keep one failing or flooding part of the traffic from using up
// what the rest needs: ring slots, connections, buffered bytes, queue places
// and retries. Use is counted by organisation, by service and by endpoint. A
// part may use more than its guaranteed amount while there is room; the
// reserved units of each budget are only for parts within their guaranteed
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

// What a use is counted against. Parts of different kinds are counted
// separately, so that a service and an organisation with the same name don't
// share an amount.
enum class PartKind { kOrganisation, kService, kEndpoint };
constexpr std::size_t kPartKinds = 3;

struct Part {
  PartKind kind = PartKind::kOrganisation;
  std::string name;

  bool operator==(const Part&) const = default;
};

// The limits of one resource.
struct Budget {
  std::int64_t total = 0;
  // The most that one part of each kind may hold, indexed by PartKind.
  std::array<std::int64_t, kPartKinds> limit{};
  // The amount that one part of each kind may always take, as far as `total`
  // allows, indexed by PartKind. Parts above this amount can't use the last
  // `reserved` units.
  std::array<std::int64_t, kPartKinds> guaranteed{};
  std::int64_t reserved = 0;
};

class Bulkheads;

// The units that a request, connection or call holds. The destructor releases
// them. Must not outlive its Bulkheads, and must be used on the same thread.
class Hold {
 public:
  Hold() = default;
  Hold(Hold&& other) noexcept;
  Hold& operator=(Hold&& other) noexcept;
  ~Hold();

  bool held() const { return owner_ != nullptr; }
  void Release();

 private:
  friend class Bulkheads;
  Hold(Bulkheads* owner,
       Resource resource,
       std::int64_t amount,
       std::vector<Part> parts);

  Bulkheads* owner_ = nullptr;
  Resource resource_ = Resource::kRingSlots;
  std::int64_t amount_ = 0;
  std::vector<Part> parts_;
};

class Bulkheads {
 public:
  // Takes one budget for each Resource, in the order of the enumerators.
  explicit Bulkheads(const std::array<Budget, kResources>& budgets);

  // Takes `amount` of `resource` and counts it against all of `parts`. Returns
  // an empty Hold, and counts nothing, if a budget doesn't allow it. Kinds that
  // don't occur in `parts` aren't checked.
  Hold Take(Resource resource, std::int64_t amount, std::vector<Part> parts);

  std::int64_t Used(Resource resource) const;
  std::int64_t Used(Resource resource, const Part& part) const;
  // Returns the number of calls of Take that were refused since the start.
  std::uint64_t Refused(Resource resource) const;

 private:
  friend class Hold;
  struct PartHash {
    std::size_t operator()(const Part& part) const noexcept;
  };
  struct State {
    Budget budget;
    std::int64_t used = 0;  // never above budget.total
    std::uint64_t refused = 0;
    std::unordered_map<Part, std::int64_t, PartHash> parts;  // no zero entries
  };

  bool Allows(const State& state,
              std::int64_t amount,
              std::span<const Part> parts) const;
  void GiveBack(Resource resource,
                std::int64_t amount,
                std::span<const Part> parts);

  std::array<State, kResources> states_;
};

}  // namespace baobabrun

#endif  // LIMITS_BULKHEADS_H_
