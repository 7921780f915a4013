// Implements the token bucket.
#include "limits/bucket.h"

#include <algorithm>

namespace baobabrun {
namespace {

using Wide = __int128;

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

}  // namespace

Bucket::Bucket(Micro rate, Micro burst, Instant now)
    : rate_(rate), burst_(burst), refilled_until_(now) {}

void Bucket::Advance(Instant now) {
  if (now <= refilled_until_) {
    return;
  }
  const Wide elapsed = (now - refilled_until_).count();
  refilled_until_ = now;
  const Wide product = elapsed * rate_ + fraction_;
  const Wide gain =
      std::min<Wide>(product / kNanosecondsPerSecond, Wide{kMaxMicro});
  fraction_ = static_cast<std::int64_t>(product % kNanosecondsPerSecond);
  AddToLevel(static_cast<Micro>(gain));
  if (level_ >= Capacity()) {
    fraction_ = 0;
  }
}

void Bucket::SetRate(Micro rate) {
  rate_ = rate;
}

void Bucket::SetBurst(Micro burst) {
  burst_ = burst;
  Trim();
}

bool Bucket::Take(RequestId request, Micro amount) {
  if (amount > level_) {
    return false;
  }
  level_ -= amount;
  if (amount > 0) {
    refundable_ += amount;
    refunds_[request] += amount;
  }
  return true;
}

void Bucket::LimitRefund(RequestId request, Micro outstanding) {
  const auto it = refunds_.find(request);
  if (it == refunds_.end() || it->second <= outstanding) {
    return;
  }
  refundable_ -= it->second - outstanding;
  it->second = outstanding;
  if (outstanding == 0) {
    refunds_.erase(it);
  }
}

Micro Bucket::Settle(RequestId request, Micro unused) {
  const auto it = refunds_.find(request);
  if (it == refunds_.end()) {
    return 0;
  }
  const Micro refund = std::min(it->second, unused);
  refundable_ -= it->second;
  refunds_.erase(it);
  AddToLevel(refund);
  return refund;
}

void Bucket::AddDebt(Micro amount) {
  const Micro paid = std::min(amount, level_);
  level_ -= paid;
  debt_ = std::min(debt_ + (amount - paid), kMaxMicro);
}

void Bucket::Lend(Micro burst, Micro level) {
  level_ -= level;
  lent_burst_ += burst;
  Trim();
}

void Bucket::Reclaim(Micro burst, Micro level) {
  lent_burst_ -= burst;
  AddToLevel(level);
}

void Bucket::Borrow(Micro burst, Micro level) {
  burst_ += burst;
  AddToLevel(level);
}

void Bucket::GiveBack(Micro burst, Micro level) {
  level_ -= level;
  burst_ -= burst;
  Trim();
}

void Bucket::Fill() {
  level_ = Capacity() - refundable_;
}

Duration Bucket::TimeUntil(Micro amount, Micro ahead, Micro extra_rate) const {
  const Wide missing = Wide{amount} + ahead - level_ + debt_;
  if (missing <= 0) {
    return Duration::zero();
  }
  const Wide rate = Wide{rate_} + extra_rate;
  if (rate <= 0 || (amount > Capacity() && extra_rate == 0)) {
    return Duration::max();
  }
  const Wide wait = (missing * kNanosecondsPerSecond + rate - 1) / rate;
  return Duration(static_cast<std::int64_t>(
      std::min<Wide>(wait, Wide{Duration::max().count()})));
}

void Bucket::AddToLevel(Micro amount) {
  const Micro paid = std::min(amount, debt_);
  debt_ -= paid;
  level_ = std::min(level_ + (amount - paid), Capacity());
  ShrinkRefunds(Capacity() - level_);
}

void Bucket::ShrinkRefunds(Micro bound) {
  while (refundable_ > bound) {
    const auto oldest = refunds_.begin();
    const Micro cut = std::min(oldest->second, refundable_ - bound);
    oldest->second -= cut;
    refundable_ -= cut;
    if (oldest->second == 0) {
      refunds_.erase(oldest);
    }
  }
}

void Bucket::Trim() {
  level_ = std::min(level_, Capacity());
  ShrinkRefunds(Capacity() - level_);
}

}  // namespace baobabrun
