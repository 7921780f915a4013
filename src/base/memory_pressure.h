// Judges how near a process is to its memory limit, by what the system reports
// that it occupies. It backs up the bounds of MemoryBudget: what these don't
// count shows here.
//
// This class has no threads and no clock.
#ifndef BASE_MEMORY_PRESSURE_H_
#define BASE_MEMORY_PRESSURE_H_

#include <cstddef>
#include <string_view>

namespace baobabrun {

enum class PressureLevel {
  kNormal,
  kHigh,      // new work that others may do instead is refused
  kCritical,  // all new work is refused
};
std::string_view NameOf(PressureLevel level);

class MemoryPressure {
 public:
  explicit MemoryPressure(std::size_t limit_bytes) : limit_(limit_bytes) {}

  // Returns whether the level changed. A level is left once the process
  // occupies clearly less than what leads to it.
  bool Update(std::size_t resident_bytes);
  PressureLevel level() const { return level_; }

 private:
  const std::size_t limit_;
  PressureLevel level_ = PressureLevel::kNormal;
};

}  // namespace baobabrun

#endif  // BASE_MEMORY_PRESSURE_H_
