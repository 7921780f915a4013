// Splits a stream of bytes into server-sent events.
#ifndef ENDPOINTS_EVENT_SPLITTER_H_
#define ENDPOINTS_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

struct StreamEvent {
  std::uint64_t id = 0;  // 0 if the event has no id
  std::string data;      // the data lines, joined by '\n'
};

class EventSplitter {
 public:
  // An event longer than this makes the stream invalid.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Adds `bytes` and returns the events that they complete. An event is
  // complete only once the blank line after it has arrived.
  std::vector<StreamEvent> Push(std::string_view bytes);
  // True once an event was longer than kMaxEventBytes. Push then returns no
  // more events.
  bool overflowed() const { return overflowed_; }

 private:
  void HandleLine(std::string_view line, std::vector<StreamEvent>* out);

  std::string line_;  // the unfinished last line
  StreamEvent event_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_EVENT_SPLITTER_H_
