// Budgets that keep one failing or flooding part from using up what the others
// need: ring slots, connections, buffered bytes, queue places, retries. Each is
// divided by organisation, by service and by endpoint. A part may use more than
// its share while there is room; the last part of each budget is kept for those
// that are within their shares.
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

// What a use is counted against. Names differ by kind, so that a service and an
// organisation of the same name don't share.
enum class PartKind { kOrganisation, kService, kEndpoint };
constexpr std::size_t kPartKinds = 3;

struct Part {
  PartKind kind = PartKind::kOrganisation;
  std::string name;

  bool operator==(const Part&) const = default;
};

// One resource's bounds.
struct Budget {
  std::int64_t total = 0;
  // The most that one part of each kind may hold, by PartKind.
  std::array<std::int64_t, kPartKinds> most{};
  // What one part of each kind may always take, as far as `total` allows:
  // nobody above its own share gets into the last `kept` units.
  std::array<std::int64_t, kPartKinds> share{};
  std::int64_t kept = 0;
};

class Bulkheads;

// What a request, connection or call holds; gives it back when destroyed. Must
// not outlive its Bulkheads, and is used on the same thread.
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
  // One budget for each Resource, in its order.
  explicit Bulkheads(const std::array<Budget, kResources>& budgets);

  // Takes `amount` of `resource` for all of `parts` together, or nothing: an
  // empty Hold. A part of a kind that isn't named isn't counted.
  Hold Take(Resource resource, std::int64_t amount, std::vector<Part> parts);

  std::int64_t Used(Resource resource) const;
  std::int64_t Used(Resource resource, const Part& part) const;
  // Takes that were turned down since start.
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
