// The time types of all components: a monotonic instant and a duration, both in
// nanoseconds. Classes that make decisions never read a clock. Their callers
// pass `now`, so that tests and benchmarks can drive them with a ManualClock.
#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace baobabrun {

using Duration = std::chrono::nanoseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns `time` in whole milliseconds, for logs and messages.
inline std::int64_t InMs(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

// Returns the current instant.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

// The machine's monotonic clock. It includes the time for which the machine was
// suspended, so that a lease that expired in that time counts as expired.
class SystemClock : public Clock {
 public:
  Instant Now() const override;
};

// A clock that changes only when Advance is called, for tests and benchmarks.
class ManualClock : public Clock {
 public:
  Instant Now() const override { return now_; }
  void Advance(Duration step) { now_ += step; }

 private:
  Instant now_{seconds(1)};
};

}  // namespace baobabrun

#endif  // BASE_TIME_H_
