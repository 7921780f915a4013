// A token bucket in integer arithmetic. Amounts are micro-units (millionths of
// a token, request or slot), times are nanoseconds. Rounding never favours the
// caller, and no fraction of a micro-unit is lost over time.
//
// The bucket keeps, for each request, how much of its charge may still be
// refunded. Refill takes precedence over refunds: when level and refundable
// charges together would exceed the capacity, the oldest refunds shrink.
#ifndef LIMITS_BUCKET_H_
#define LIMITS_BUCKET_H_

#include <cstdint>
#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

using Micro = std::int64_t;
constexpr Micro kMicro = 1'000'000;
// Larger amounts are clamped to this, so that sums of a few amounts can't
// overflow.
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
  // Creates an empty bucket. `rate` is in micro-units a second.
  Bucket(Micro rate, Micro burst, Instant now);

  // Refills up to `now`. Does nothing if `now` is earlier than in the last
  // call.
  void Advance(Instant now);
  // Changes the rate, starting from the time of the last Advance.
  void SetRate(Micro rate);
  // Changes the upper bound. What no longer fits is dropped, refunds first.
  void SetBurst(Micro burst);

  // Charges `amount` to `request`; all of it may be refunded later. Returns
  // false and changes nothing if the level is too low.
  bool Take(RequestId request, Micro amount);
  // Limits what `request` can still be refunded to `outstanding`.
  void LimitRefund(RequestId request, Micro outstanding);
  // Ends the request's charge and refunds up to `unused` of it. Returns the
  // amount refunded.
  Micro Settle(RequestId request, Micro unused);
  // Adds a use that was not charged before. Later refill pays the debt before
  // it raises the level.
  void AddDebt(Micro amount);

  // Removes tokens that are given to another VM for good. `amount` must not
  // exceed level().
  void GiveAway(Micro amount) { level_ -= amount; }
  // Returns the part of the capacity that neither the level nor refundable
  // charges occupy.
  Micro Room() const { return Capacity() - level_ - refundable_; }
  // As lender: lends `burst` of the bound, with `level` tokens in it.
  void Lend(Micro burst, Micro level);
  // As lender: ends a loan that was returned or has expired. An expired loan of
  // a limit that refills brings back no tokens.
  void Reclaim(Micro burst, Micro level);
  // As borrower: adds what another VM's bucket removed with Lend.
  void Borrow(Micro burst, Micro level);
  // As borrower: removes what the lender's bucket adds with Reclaim. `level`
  // must not exceed level().
  void GiveBack(Micro burst, Micro level);
  // Fills all free room. For limits that don't refill with time.
  void Fill();

  Micro rate() const { return rate_; }
  Micro burst() const { return burst_; }
  Micro level() const { return level_; }
  Micro lent_burst() const { return lent_burst_; }
  Micro refundable() const { return refundable_; }
  Micro debt() const { return debt_; }
  // The time up to which refill has been counted.
  Instant refilled_until() const { return refilled_until_; }
  // The upper bound of the level: the part of the bound that isn't lent to
  // other VMs.
  Micro Capacity() const {
    return burst_ > lent_burst_ ? burst_ - lent_burst_ : 0;
  }
  // Returns the time from the last Advance until `amount` can be taken after
  // `ahead` has been taken, with `extra_rate` added to the bucket's own rate.
  // Returns Duration::max() if that never happens.
  Duration TimeUntil(Micro amount, Micro ahead, Micro extra_rate) const;

 private:
  void AddToLevel(Micro amount);
  void ShrinkRefunds(Micro bound);
  void Trim();

  // Invariant after every call: level_ + refundable_ <= Capacity(). So level_ +
  // lent_burst_ + refundable_ <= burst_, unless burst_ was lowered below
  // lent_burst_; then level_ and refundable_ are 0.
  Micro rate_;
  Micro burst_;
  Micro level_ = 0;       // never negative
  Micro lent_burst_ = 0;  // lent and not yet returned
  Micro refundable_ = 0;  // sum over refunds_
  Micro debt_ = 0;
  std::int64_t fraction_ = 0;  // billionths of a micro-unit, 0 to 10^9 - 1
  Instant refilled_until_;     // never decreases
  std::map<RequestId, Micro> refunds_;  // oldest first; no zero entries
};

}  // namespace baobabrun

#endif  // LIMITS_BUCKET_H_
