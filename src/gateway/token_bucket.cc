// Filling and taking.
#include "gateway/token_bucket.h"

#include <algorithm>

namespace baobabrun {
namespace {

// Longer waits aren't told; the rate may be zero.
constexpr double kLongestWaitS = 60;

}  // namespace

double TokenBucket::LevelAt(Instant now) const {
  const std::chrono::duration<double> passed = now - at_;
  return std::min(size_, level_ + rate_ * std::max(passed.count(), 0.0));
}

void TokenBucket::Resize(double rate, double size, Instant now) {
  level_ = std::min(LevelAt(now), size);
  at_ = now;
  rate_ = rate;
  size_ = size;
}

bool TokenBucket::Take(double cost, Instant now) {
  level_ = LevelAt(now);
  at_ = now;
  if (level_ < cost) {
    return false;
  }
  level_ -= cost;
  return true;
}

bool TokenBucket::TakeAbove(double cost, double kept_part, Instant now) {
  return LevelAt(now) >= cost + kept_part * size_ && Take(cost, now);
}

bool TokenBucket::TakeOrOwe(double cost, Instant now) {
  level_ = LevelAt(now);
  at_ = now;
  if (level_ < std::min(cost, size_)) {
    return false;
  }
  level_ -= cost;
  return true;
}

Duration TokenBucket::Wait(double cost, Instant now) const {
  const auto lack = std::min(cost, size_) - LevelAt(now);
  if (lack <= 0) {
    return Duration::zero();
  }
  const auto wait =
      rate_ > 0 ? std::min(lack / rate_, kLongestWaitS) : kLongestWaitS;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait));
}

void TokenBucket::GiveBack(double cost, Instant now) {
  level_ = std::min(size_, LevelAt(now) + cost);
  at_ = now;
}

}  // namespace baobabrun
