// Writes log events to standard error, or as JSON to standard output.
#include "base/log.h"

#include <fmt/chrono.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <mutex>
#include <string>

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
// The VM's name, escaped for JSON. Set once at start, before other threads log.
std::string g_json_vm;
std::atomic<bool> g_json{false};
std::atomic<std::uint64_t> g_dropped{0};
std::mutex g_write_mutex;

// A line must fit into one atomic write to a pipe, so longer lines are dropped.
// Each text is cut to kMaxTextBytes first.
constexpr std::size_t kMaxLineBytes = 4'000;
constexpr std::size_t kMaxTextBytes = 3'000;

std::string EscapeJson(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (const char c : text.substr(0, kMaxTextBytes)) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < ' ') {
      out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
    } else {
      out.push_back(c);
    }
  }
  return out;
}

// Writes `line` without blocking, because the reader of the logs may be slow or
// gone. Counts the line as dropped if standard output can't take it.
void WriteOrDrop(std::string_view line) {
  const std::lock_guard lock(g_write_mutex);
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  // Without a reader poll() reports POLLERR, and a write would raise SIGPIPE.
  const bool room = poll(&out, 1, 0) == 1 && out.revents == POLLOUT;
  if (!room || line.size() > kMaxLineBytes ||
      write(STDOUT_FILENO, line.data(), line.size()) < 0) {
    ++g_dropped;
  }
}

// A token bucket that limits lines per second. Its capacity is the number of
// lines allowed in one second.
class LogRateLimiter {
 public:
  void SetRate(std::int64_t lines_per_second) {
    const std::lock_guard lock(mutex_);
    rate_ = static_cast<double>(lines_per_second);
    tokens_ = rate_;
  }

  bool Take() {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - last_refill_;
    last_refill_ = now;
    tokens_ = std::min(tokens_ + passed.count() * rate_, rate_);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  std::mutex mutex_;
  double rate_ = kDefaultLogRate;
  double tokens_ = kDefaultLogRate;
  std::chrono::steady_clock::time_point last_refill_;
};

LogRateLimiter g_line_limiter;
LogRateLimiter g_failure_limiter;

bool MayWrite(LogLevel level) {
  return g_line_limiter.Take() ||
         (level >= LogLevel::kWarning && g_failure_limiter.Take());
}

// Returns `,"name":value` for each field.
std::string FieldsAsJson(LogFields fields) {
  std::string out;
  for (const auto& it : fields) {
    if (const auto* text = std::get_if<std::string_view>(&it.value)) {
      out += fmt::format(",\"{}\":\"{}\"", it.name, EscapeJson(*text));
    } else if (const auto* n = std::get_if<std::int64_t>(&it.value)) {
      out += fmt::format(",\"{}\":{}", it.name, *n);
    } else {
      out += fmt::format(",\"{}\":{}", it.name, std::get<bool>(it.value));
    }
  }
  return out;
}

// Returns ` name=value` for each field.
std::string FieldsAsText(LogFields fields) {
  std::string out;
  for (const auto& it : fields) {
    std::visit(
        [&](const auto& value) {
          out += fmt::format(" {}={}", it.name, value);
        },
        it.value);
  }
  return out;
}

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

void LogAsJson(std::string_view vm) {
  g_json_vm = EscapeJson(vm);
  g_json = true;
}

void SetLogRate(std::int64_t lines_per_second) {
  g_line_limiter.SetRate(lines_per_second);
  g_failure_limiter.SetRate(lines_per_second);
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

void WriteLine(Event event, LogFields fields, std::string_view text) {
  const auto& entry = EntryOf(event);
  if (!MayWrite(entry.level)) {
    ++g_dropped;
    return;
  }
  const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
  const auto ms = now.time_since_epoch().count() % 1000;
  if (g_json) {
    const auto dropped = g_dropped.exchange(0);
    const auto dropped_field =
        dropped == 0 ? std::string() : fmt::format(",\"dropped\":{}", dropped);
    WriteOrDrop(fmt::format(
        "{{\"time\":\"{:%Y-%m-%dT%H:%M:%S}.{:03}Z\",\"level\":\"{}\","
        "\"event\":\"{}\",\"number\":{},\"vm\":\"{}\"{}{},\"text\":\"{}\"}}\n",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
        NameOf<LogLevel>(kLevelNames, entry.level), entry.name,
        static_cast<int>(event), g_json_vm, dropped_field, FieldsAsJson(fields),
        EscapeJson(text)));
    return;
  }
  fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}: {}{}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
             NameOf<LogLevel>(kLevelNames, entry.level),
             static_cast<int>(event), entry.name, text, FieldsAsText(fields));
}

}  // namespace internal
}  // namespace baobabrun
