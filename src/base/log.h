// Numbered log events, written as one line each to standard error, or as JSON
// to standard output:
//
//   2026-01-31T10:15:04.123Z info 1000 VmStarted: vm ikeja-1 serves on ...
//
// events.def lists all events. A line never contains a caller's key or prompt
// text.
#ifndef BASE_LOG_H_
#define BASE_LOG_H_

#include <fmt/core.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string_view>
#include <variant>

namespace baobabrun {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

enum class Event {
#define BAOBABRUN_EVENT(name, number, level, text) name = number,
#include "base/events.def"
#undef BAOBABRUN_EVENT
};

// One row of the event catalogue.
struct EventEntry {
  Event event;
  LogLevel level;
  std::string_view name;  // the enumerator without its k, such as VmStarted
  std::string_view text;
};
// Returns all events in the order of events.def.
std::span<const EventEntry> EventCatalogue();

// Makes all later log lines go to standard output, one JSON object per line:
//
//   {"time":"2026-01-31T10:15:04.123Z","level":"info","event":"VmStarted",
//    "number":1000,"vm":"ikeja-1","text":"vm ikeja-1 serves on ..."}
//
// The event's fields follow "vm". A line that standard output can't take at
// once, or that exceeds the rate set by SetLogRate, is dropped. The next line
// has the number of lines dropped before it in its field "dropped".
void LogAsJson(std::string_view vm);

// Limits the log to `lines_per_second`, with bursts of the same number of
// lines. Warnings and errors have a second allowance of the same size, so that
// lines about failures are still written when lines about successes are
// dropped. The default is kDefaultLogRate.
void SetLogRate(std::int64_t lines_per_second);
inline constexpr std::int64_t kDefaultLogRate = 2'000;

// Lines below `level` are dropped. The default is kInfo.
void SetLogLevel(LogLevel level);
// Accepts "debug", "info", "warning" and "error". Returns nothing for any other
// name.
std::optional<LogLevel> LogLevelFromName(std::string_view name);
std::string_view LogLevelName(LogLevel level);

// A named value of an event, for programs that parse the logs. It may refer to
// the caller's string, so it must not outlive the call of Log it is passed to.
struct LogField {
  using Value = std::variant<std::string_view, std::int64_t, bool>;

  template <class T>
  LogField(std::string_view field, const T& field_value)
      : name(field), value(ValueOf(field_value)) {}

  std::string_view name;
  Value value;

 private:
  template <class T>
  static Value ValueOf(const T& value) {
    if constexpr (std::same_as<T, bool>) {
      return value;
    } else if constexpr (std::integral<T>) {
      return static_cast<std::int64_t>(value);
    } else {
      return std::string_view(value);
    }
  }
};
using LogFields = std::initializer_list<LogField>;

namespace internal {
bool Enabled(Event event);
void WriteLine(Event event, LogFields fields, std::string_view text);
}  // namespace internal

// Logs `event` with a text formatted by fmt.
template <class... Args>
void Log(Event event, fmt::format_string<Args...> format, Args&&... args) {
  if (internal::Enabled(event)) {
    internal::WriteLine(event, {},
                        fmt::format(format, std::forward<Args>(args)...));
  }
}

// Logs `event` with fields as well: Log(Event::kCallSent, {{"call", id}}, "goes
// to ...").
template <class... Args>
void Log(Event event,
         LogFields fields,
         fmt::format_string<Args...> format,
         Args&&... args) {
  if (internal::Enabled(event)) {
    internal::WriteLine(event, fields,
                        fmt::format(format, std::forward<Args>(args)...));
  }
}

}  // namespace baobabrun

#endif  // BASE_LOG_H_
