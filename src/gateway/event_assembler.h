// Splits a stream of server-sent events into complete events without changing a
// byte, so that a stream that breaks off inside an event can be resumed after
// the last complete one.
#ifndef GATEWAY_EVENT_ASSEMBLER_H_
#define GATEWAY_EVENT_ASSEMBLER_H_

#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

struct CompleteEvent {
  std::string bytes;  // including the blank line that ends it
  std::string id;     // empty if the event has none
};

class EventAssembler {
 public:
  // Adds `bytes` and returns the events that are now complete.
  std::vector<CompleteEvent> Push(std::string_view bytes);
  // The bytes after the last complete event.
  const std::string& rest() const { return rest_; }

 private:
  std::string rest_;
  std::size_t line_begin_ = 0;  // start of the incomplete line in rest_
  std::string id_;              // of the incomplete event
};

}  // namespace baobabrun

#endif  // GATEWAY_EVENT_ASSEMBLER_H_
