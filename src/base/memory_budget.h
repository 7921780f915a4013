// What one process may hold in memory for callers, endpoints and other VMs.
//
// The process has one limit. Each part that others can fill has a share of it,
// and the rest is left for the process itself: its code, tables and threads. A
// part that has reached its bound refuses more, whatever the other parts hold,
// so that no input alone, and no mix of inputs, takes the process to its limit.
//
// The amounts are payload bytes; the share that is left over also covers what
// the allocator and the libraries add.
#ifndef BASE_MEMORY_BUDGET_H_
#define BASE_MEMORY_BUDGET_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace baobabrun {

enum class MemoryPart {
  kRequests,  // bodies of callers' requests
  kAnswers,   // endpoints' answers that callers haven't taken yet
  kEvents,    // messages from other VMs that wait for the decisions
  kPeers,     // messages that wait to be sent to other VMs
  // The next two are bounded by number: each takes a fixed amount.
  kConnections,  // callers' connections
  kCalls,        // open calls, with their transfers to endpoints
};
inline constexpr std::size_t kMemoryParts = 6;
std::string_view NameOf(MemoryPart part);

// May be used from any thread.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit_bytes);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t BoundOf(MemoryPart part) const;
  std::size_t Held(MemoryPart part) const;
  // Largest amount held since the last call.
  std::size_t TakeHighest(MemoryPart part);
  // How often the part has refused.
  std::uint64_t refusals(MemoryPart part) const;

  // Adds `bytes` to what `part` holds. Returns false, without adding them, if
  // that exceeds its bound.
  bool TryTake(MemoryPart part, std::size_t bytes);
  void Return(MemoryPart part, std::size_t bytes);

 private:
  struct Use {
    std::atomic<std::size_t> held{0};  // never above the part's bound
    std::atomic<std::size_t> highest{0};
    std::atomic<std::uint64_t> refusals{0};
  };
  Use& UseOf(MemoryPart part);
  const Use& UseOf(MemoryPart part) const;

  const std::size_t limit_;
  std::array<Use, kMemoryParts> uses_;
};
using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

// An amount of one part, given back when the lease is destroyed. Without a
// budget, nothing is counted and nothing refused.
class MemoryLease {
 public:
  MemoryLease(MemoryBudgetPtr budget, MemoryPart part)
      : budget_(std::move(budget)), part_(part) {}
  ~MemoryLease() { Clear(); }
  MemoryLease(MemoryLease&& other) noexcept;
  MemoryLease& operator=(MemoryLease&& other) noexcept;
  MemoryLease(const MemoryLease&) = delete;
  MemoryLease& operator=(const MemoryLease&) = delete;

  // Returns false, without a change, if the part would exceed its bound.
  bool Grow(std::size_t bytes);
  // Makes the lease hold `bytes`. Returns false, without a change, if the part
  // would exceed its bound.
  bool Resize(std::size_t bytes);
  // Gives `bytes` back; at most what is held.
  void Shrink(std::size_t bytes);
  void Clear() { Shrink(bytes_); }
  std::size_t bytes() const { return bytes_; }

 private:
  MemoryBudgetPtr budget_;
  MemoryPart part_;
  std::size_t bytes_ = 0;
};

// Memory that the process occupies, as the system reports it; zero if it can't
// be read.
struct ProcessMemory {
  std::size_t resident = 0;
  std::size_t highest = 0;  // since the process started
};
ProcessMemory ReadProcessMemory();

}  // namespace baobabrun

#endif  // BASE_MEMORY_BUDGET_H_
