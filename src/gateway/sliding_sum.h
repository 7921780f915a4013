// The sum of the amounts that were added within the last window of time.
// Amounts are grouped into slots, so each counts for up to one slot longer than
// the window, never shorter.
#ifndef GATEWAY_SLIDING_SUM_H_
#define GATEWAY_SLIDING_SUM_H_

#include <cstdint>
#include <deque>

#include "base/time.h"

namespace baobabrun {

class SlidingSum {
 public:
  explicit SlidingSum(Duration window) : window_(window) {}

  void Add(std::int64_t amount, Instant now);
  std::int64_t Sum(Instant now) const;
  // Returns how long it takes until the sum is at most `amount` if nothing is
  // added: at most the window plus a slot.
  Duration Wait(std::int64_t amount, Instant now) const;
  bool empty(Instant now) const { return Sum(now) == 0; }

 private:
  struct Slot {
    Instant end;
    std::int64_t amount = 0;
  };
  void Expire(Instant now);

  Duration window_;
  std::deque<Slot> slots_;  // oldest first
  std::int64_t sum_ = 0;    // sum of the amounts in slots_
};

}  // namespace baobabrun

#endif  // GATEWAY_SLIDING_SUM_H_
