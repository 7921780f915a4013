// Writes log events to standard error.
#include "base/log.h"

#include <fmt/chrono.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr EventEntry kCatalogue[] = {
#define BAOBABRUN_EVENT(name, number, level, text) \
  {Event::name, LogLevel::level, std::string_view(#name).substr(1), text},
#include "base/events.def"
#undef BAOBABRUN_EVENT
};

constexpr NameEntry<LogLevel> kLevelNames[] = {
    {LogLevel::kDebug, "debug"},
    {LogLevel::kInfo, "info"},
    {LogLevel::kWarning, "warning"},
    {LogLevel::kError, "error"},
};

std::atomic<LogLevel> g_level{LogLevel::kInfo};

const EventEntry& EntryOf(Event event) {
  const auto* it =
      std::find_if(std::begin(kCatalogue), std::end(kCatalogue),
                   [event](const auto& entry) { return entry.event == event; });
  return it == std::end(kCatalogue) ? kCatalogue[0] : *it;
}

}  // namespace

std::span<const EventEntry> EventCatalogue() {
  return kCatalogue;
}

void SetLogLevel(LogLevel level) {
  g_level = level;
}

std::optional<LogLevel> LogLevelFromName(std::string_view name) {
  return FromName<LogLevel>(kLevelNames, name);
}

std::string_view LogLevelName(LogLevel level) {
  return NameOf<LogLevel>(kLevelNames, level);
}

namespace internal {

bool Enabled(Event event) {
  return EntryOf(event).level >= g_level.load(std::memory_order_relaxed);
}

void WriteLine(Event event, std::string_view text) {
  const auto& entry = EntryOf(event);
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto ms = now.time_since_epoch().count() % 1000;
  fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}: {}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
             NameOf<LogLevel>(kLevelNames, entry.level),
             static_cast<int>(event), entry.name, text);
}

}  // namespace internal
}  // namespace baobabrun
