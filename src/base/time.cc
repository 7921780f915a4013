// The machine's monotonic clock.
#include "base/time.h"

namespace baobabrun {

Instant SystemClock::Now() const {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace baobabrun
