// Shares of the limit, and the memory that the system reports.
#include "base/memory_budget.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <string>
#include <utility>

#include "base/error.h"

namespace baobabrun {
namespace {

struct PartEntry {
  MemoryPart part;
  std::string_view name;
  std::size_t percent;  // of the limit
};
constexpr PartEntry kParts[kMemoryParts] = {
    {MemoryPart::kRequests, "requests", 15},
    {MemoryPart::kAnswers, "answers", 15},
    {MemoryPart::kEvents, "events", 8},
    {MemoryPart::kPeers, "peers", 10},
    {MemoryPart::kConnections, "connections", 17},
    {MemoryPart::kCalls, "calls", 15},
};

const PartEntry& EntryOf(MemoryPart part) {
  return kParts[static_cast<std::size_t>(part)];
}

std::size_t ValueInBytes(std::string_view line) {
  const auto digit = line.find_first_of("0123456789");
  std::size_t kib = 0;
  if (digit != std::string_view::npos) {
    std::from_chars(line.data() + digit, line.data() + line.size(), kib);
  }
  return kib * 1024;
}

}  // namespace

std::string_view NameOf(MemoryPart part) {
  return EntryOf(part).name;
}

MemoryBudget::MemoryBudget(std::size_t limit_bytes) : limit_(limit_bytes) {}

MemoryBudget::Use& MemoryBudget::UseOf(MemoryPart part) {
  return uses_[static_cast<std::size_t>(part)];
}

const MemoryBudget::Use& MemoryBudget::UseOf(MemoryPart part) const {
  return uses_[static_cast<std::size_t>(part)];
}

std::size_t MemoryBudget::BoundOf(MemoryPart part) const {
  return limit_ / 100 * EntryOf(part).percent;
}

std::size_t MemoryBudget::Held(MemoryPart part) const {
  return UseOf(part).held;
}

std::size_t MemoryBudget::TakeHighest(MemoryPart part) {
  auto& use = UseOf(part);
  return std::max(use.highest.exchange(use.held), use.held.load());
}

std::uint64_t MemoryBudget::refusals(MemoryPart part) const {
  return UseOf(part).refusals;
}

bool MemoryBudget::TryTake(MemoryPart part, std::size_t bytes) {
  auto& use = UseOf(part);
  const auto bound = BoundOf(part);
  auto held = use.held.load();
  do {
    if (bytes > bound || held > bound - bytes) {
      ++use.refusals;
      return false;
    }
  } while (!use.held.compare_exchange_weak(held, held + bytes));
  auto highest = use.highest.load();
  while (highest < held + bytes &&
         !use.highest.compare_exchange_weak(highest, held + bytes)) {
  }
  return true;
}

void MemoryBudget::Return(MemoryPart part, std::size_t bytes) {
  UseOf(part).held -= bytes;
}

MemoryLease::MemoryLease(MemoryLease&& other) noexcept
    : budget_(std::move(other.budget_)),
      part_(other.part_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryLease& MemoryLease::operator=(MemoryLease&& other) noexcept {
  if (this != &other) {
    Clear();
    budget_ = std::move(other.budget_);
    part_ = other.part_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool MemoryLease::Grow(std::size_t bytes) {
  if (budget_ != nullptr && !budget_->TryTake(part_, bytes)) {
    return false;
  }
  bytes_ += bytes;
  return true;
}

bool MemoryLease::Resize(std::size_t bytes) {
  if (bytes > bytes_) {
    return Grow(bytes - bytes_);
  }
  Shrink(bytes_ - bytes);
  return true;
}

void MemoryLease::Shrink(std::size_t bytes) {
  bytes = std::min(bytes, bytes_);
  bytes_ -= bytes;
  if (budget_ != nullptr) {
    budget_->Return(part_, bytes);
  }
}

ProcessMemory ReadProcessMemory() {
  ProcessMemory memory;
  std::ifstream status("/proc/self/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      memory.highest = ValueInBytes(line);
    } else if (line.starts_with("VmRSS:")) {
      memory.resident = ValueInBytes(line);
      break;  // follows VmHWM
    }
  }
  return memory;
}

}  // namespace baobabrun
