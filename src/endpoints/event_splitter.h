// Cuts a stream of bytes into server-sent events.
#ifndef ENDPOINTS_EVENT_SPLITTER_H_
#define ENDPOINTS_EVENT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

struct StreamEvent {
  std::uint64_t id = 0;  // 0: the event has none
  std::string data;      // lines joined by '\n'
};

class EventSplitter {
 public:
  // An event longer than this makes the stream invalid.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Adds `bytes` and returns the events they complete. An event counts as
  // complete only once its blank line has come.
  std::vector<StreamEvent> Push(std::string_view bytes);
  // True once an event passed kMaxEventBytes; nothing more is returned.
  bool overflowed() const { return overflowed_; }

 private:
  void TakeLine(std::string_view line, std::vector<StreamEvent>* out);

  std::string line_;  // the unfinished last line
  StreamEvent event_;
  bool has_data_ = false;
  bool overflowed_ = false;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_EVENT_SPLITTER_H_
