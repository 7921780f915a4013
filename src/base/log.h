// Numbered log events, written as one line each to standard error, or as JSON
// to standard output:
//
//   2026-01-31T10:15:04.123Z info 1000 VmStarted: vm ikeja-1 serves on ...
//
// The catalogue is events.def. A line carries no caller's key and no prompt
// text.
#ifndef BASE_LOG_H_
#define BASE_LOG_H_

#include <fmt/core.h>

#include <optional>
#include <span>
#include <string_view>

namespace baobabrun {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class Event {
#define BAOBABRUN_EVENT(name, number, level, text) name = number,
#include "base/events.def"
#undef BAOBABRUN_EVENT
};

// The table behind `Event`, in the catalogue's order.
struct EventEntry {
  Event event;
  LogLevel level;
  std::string_view name;  // as in the code without the k: VmStarted
  std::string_view text;
};
std::span<const EventEntry> EventCatalogue();

// From now on lines are written to standard output, one JSON object each:
//
//   {"time":"2026-01-31T10:15:04.123Z","level":"info","event":"VmStarted",
//    "number":1000,"vm":"ikeja-1","text":"vm ikeja-1 serves on ..."}
//
// A line for which standard output has no room is dropped; the count of dropped
// lines is told in "dropped" of the next one.
void LogAsJson(std::string_view vm);

// Lines below `level` are dropped. The default is kInfo.
void SetLogLevel(LogLevel level);
// "debug", "info", "warning", "error"; nothing for any other word.
std::optional<LogLevel> LogLevelFromName(std::string_view name);
std::string_view LogLevelName(LogLevel level);

namespace internal {
bool Enabled(Event event);
void WriteLine(Event event, std::string_view text);
}  // namespace internal

// Logs `event` with a sentence made by fmt.
template <class... Args>
void Log(Event event, fmt::format_string<Args...> format, Args&&... args) {
  if (internal::Enabled(event)) {
    internal::WriteLine(event,
                        fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace baobabrun

#endif  // BASE_LOG_H_
