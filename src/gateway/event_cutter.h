// Cuts a stream of server-sent events into whole events without changing a
// byte, so that a stream that breaks off inside an event can go on after the
// last whole one.
#ifndef GATEWAY_EVENT_CUTTER_H_
#define GATEWAY_EVENT_CUTTER_H_

#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

struct WholeEvent {
  std::string bytes;  // with the blank line that ends it
  std::string id;     // empty if it has none
};

class EventCutter {
 public:
  // Adds `bytes` and returns the events that they complete.
  std::vector<WholeEvent> Push(std::string_view bytes);
  // What follows the last whole event.
  const std::string& rest() const { return rest_; }

 private:
  std::string rest_;
  std::size_t line_begin_ = 0;  // of the unfinished line in rest_
  std::string id_;              // of the unfinished event
};

}  // namespace baobabrun

#endif  // GATEWAY_EVENT_CUTTER_H_
