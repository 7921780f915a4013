// Implements the system's monotonic clock.
#include "base/time.h"

#include <ctime>

namespace baobabrun {

Instant SystemClock::Now() const {
  timespec it{};
  clock_gettime(CLOCK_BOOTTIME, &it);
  return Instant(seconds(it.tv_sec) + std::chrono::nanoseconds(it.tv_nsec));
}

}  // namespace baobabrun
