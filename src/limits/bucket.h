// One token bucket in integer arithmetic: amounts are micro-units (millionths
// of a token, request or slot), times are nanoseconds. Nothing is rounded in
// the caller's favour and no fraction of a micro-unit is lost over time.
//
// What requests were charged and may still get back is kept for each request.
// Refill goes before refunds: at the bound the oldest refunds shrink.
#ifndef LIMITS_BUCKET_H_
#define LIMITS_BUCKET_H_

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

using Micro = std::int64_t;
constexpr Micro kMicro = 1'000'000;
// Larger amounts are cut to this, so that sums of a few can't overflow.
constexpr Micro kMaxMicro = INT64_MAX / 8;

// `units` whole units as micro-units, from 0 to kMaxMicro.
constexpr Micro ToMicro(std::int64_t units) {
  if (units <= 0) {
    return 0;
  }
  return units > kMaxMicro / kMicro ? kMaxMicro : units * kMicro;
}

class Bucket {
 public:
  // Starts empty. `rate` is in micro-units a second.
  Bucket(Micro rate, Micro burst, Instant now);

  // Refills up to `now`. An earlier `now` than the last changes nothing.
  void Advance(Instant now);
  // Changes the rate from the last Advance on.
  void SetRate(Micro rate);
  // Changes the bound; what no longer fits is dropped, refunds first.
  void SetBurst(Micro burst);

  // Charges `amount` to `request`, all of which may come back. Returns false,
  // changing nothing, if the level doesn't suffice.
  bool Take(RequestId request, Micro amount);
  // At most `outstanding` of the charge can still come back.
  void LimitRefund(RequestId request, Micro outstanding);
  // Ends the request's charge and gives back up to `unused` of it. Returns what
  // was given back.
  Micro Settle(RequestId request, Micro unused);
  // A use that was not charged before; later refill pays it first.
  void Owe(Micro amount);

  // Tokens in the level go to another VM for good.
  void Give(Micro amount) { level_ -= amount; }
  // Room that neither level nor refunds take.
  Micro Room() const { return Capacity() - level_ - refundable_; }
  // As lender: hands over `burst` of the bound with `level` tokens in it.
  void Lend(Micro burst, Micro level);
  // As lender: a loan came back, or ended (then with no tokens).
  void Reclaim(Micro burst, Micro level);
  // As borrower: the other end of Lend.
  void Borrow(Micro burst, Micro level);
  // As borrower: the other end of Reclaim. `level` must not exceed level().
  void GiveBack(Micro burst, Micro level);
  // Fills the room that is left, for limits that don't refill by time.
  void Fill();

  Micro rate() const { return rate_; }
  Micro burst() const { return burst_; }
  Micro level() const { return level_; }
  Micro granted() const { return granted_; }
  Micro refundable() const { return refundable_; }
  Micro debt() const { return debt_; }
  // The instant up to which refill is counted.
  Instant advanced() const { return refilled_; }
  // The bound on level: what is not lent to others.
  Micro Capacity() const { return burst_ > granted_ ? burst_ - granted_ : 0; }
  // Time from the last Advance until `amount` can be taken after `ahead` was,
  // with `extra_rate` beside the bucket's own; Duration::max() for never.
  Duration TimeUntil(Micro amount, Micro ahead, Micro extra_rate) const;

 private:
  void AddToLevel(Micro amount);
  void ShrinkRefunds(Micro bound);
  void Trim();

  // level_ + refundable_ <= Capacity() after every call, so that
  // level_ + granted_ + refundable_ <= burst_ unless burst_ was lowered below
  // granted_; then level_ and refundable_ are 0.
  Micro rate_;
  Micro burst_;
  Micro level_ = 0;       // never negative
  Micro granted_ = 0;     // lent and not come back
  Micro refundable_ = 0;  // sum of refunds_
  Micro debt_ = 0;
  std::int64_t fraction_ = 0;  // 0 to 10^9 - 1, billionths of a micro-unit
  Instant refilled_;           // never goes back
  std::map<RequestId, Micro> refunds_;  // oldest first; no zero entries
};

}  // namespace baobabrun

#endif  // LIMITS_BUCKET_H_
