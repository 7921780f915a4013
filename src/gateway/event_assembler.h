// Splits a stream of server-sent events into complete events without changing a
// byte, so that a stream that breaks off inside an event can be resumed after
// the last complete one.
#ifndef GATEWAY_EVENT_ASSEMBLER_H_
#define GATEWAY_EVENT_ASSEMBLER_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

struct CompleteEvent {
  std::string bytes;  // including the blank line that ends it
  std::string id;     // empty if the event has none
  // Comments alone are no event, although a blank line ends them.
  bool has_field = false;
};

class EventAssembler {
 public:
  // A stream with more bytes than this after its last complete event can't be
  // used.
  static constexpr std::size_t kMaxEventBytes = 1 << 20;

  // Adds `bytes` and returns the events that are now complete. A line ends with
  // "\n", "\r\n" or "\r".
  std::vector<CompleteEvent> Push(std::string_view bytes);
  // The bytes after the last complete event.
  const std::string& rest() const { return rest_; }
  bool overflowed() const { return rest_.size() > kMaxEventBytes; }
  // Whether a stream that ends here has been broken off. Complete comment lines
  // after the last event belong to no event.
  bool inside_event() const { return has_field_ || line_begin_ < rest_.size(); }

 private:
  void HandleLine(std::string_view line);

  std::string rest_;
  std::size_t line_begin_ = 0;  // start of the incomplete line in rest_
  std::size_t scanned_ = 0;     // rest_ has no unhandled line end before this
  // The last line ended with "\r", so a "\n" that follows is part of its end.
  bool ended_by_return_ = false;
  bool has_field_ = false;  // the incomplete event has a complete field
  std::string id_;          // of the incomplete event
};

}  // namespace baobabrun

#endif  // GATEWAY_EVENT_ASSEMBLER_H_
