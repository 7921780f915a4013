// Levels of memory pressure.
#include "base/memory_pressure.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<PressureLevel> kLevels[] = {
    {PressureLevel::kNormal, "normal"},
    {PressureLevel::kHigh, "high"},
    {PressureLevel::kCritical, "critical"},
};

// Percent of the limit at which a level begins, and by how much less the
// process must occupy before the level ends.
constexpr std::size_t kHighPercent = 70;
constexpr std::size_t kCriticalPercent = 85;
constexpr std::size_t kHysteresisPercent = 5;

}  // namespace

std::string_view NameOf(PressureLevel level) {
  return NameOf<PressureLevel>(kLevels, level);
}

bool MemoryPressure::Update(std::size_t resident_bytes) {
  const auto percent = resident_bytes / (limit_ / 100);
  const auto reaches = [&](PressureLevel level, std::size_t begin) {
    return percent >= begin - (level_ >= level ? kHysteresisPercent : 0);
  };
  auto level = PressureLevel::kNormal;
  if (reaches(PressureLevel::kCritical, kCriticalPercent)) {
    level = PressureLevel::kCritical;
  } else if (reaches(PressureLevel::kHigh, kHighPercent)) {
    level = PressureLevel::kHigh;
  }
  const bool changed = level != level_;
  level_ = level;
  return changed;
}

}  // namespace baobabrun
