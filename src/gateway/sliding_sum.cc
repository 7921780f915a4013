// Adds amounts to slots and removes slots that have left the window.
#include "gateway/sliding_sum.h"

#include <algorithm>

namespace baobabrun {
namespace {

constexpr int kSlots = 64;

}  // namespace

void SlidingSum::Expire(Instant now) {
  while (!slots_.empty() && slots_.front().end + window_ < now) {
    sum_ -= slots_.front().amount;
    slots_.pop_front();
  }
}

void SlidingSum::Add(std::int64_t amount, Instant now) {
  Expire(now);
  if (slots_.empty() || slots_.back().end < now) {
    slots_.push_back({now + window_ / kSlots, 0});
  }
  slots_.back().amount += amount;
  sum_ += amount;
}

std::int64_t SlidingSum::Sum(Instant now) const {
  auto sum = sum_;
  for (const auto& it : slots_) {
    if (it.end + window_ >= now) {
      break;
    }
    sum -= it.amount;
  }
  return sum;
}

Duration SlidingSum::Wait(std::int64_t amount, Instant now) const {
  auto sum = sum_;
  Duration wait{};
  for (const auto& it : slots_) {
    if (sum <= amount) {
      break;
    }
    sum -= it.amount;
    wait = std::max(it.end + window_ - now, Duration::zero());
  }
  return std::chrono::ceil<milliseconds>(wait);
}

}  // namespace baobabrun
