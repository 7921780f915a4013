// Finds the ends and ids of events in the received bytes.
#include "gateway/event_assembler.h"

#include <utility>

#include "endpoints/http_header.h"

namespace baobabrun {
namespace {

constexpr std::string_view kIdField = "id:";

}  // namespace

std::vector<CompleteEvent> EventAssembler::Push(std::string_view bytes) {
  std::vector<CompleteEvent> events;
  rest_.append(bytes);
  for (auto end = rest_.find('\n', line_begin_); end != std::string::npos;
       end = rest_.find('\n', line_begin_)) {
    auto line = std::string_view(rest_).substr(line_begin_, end - line_begin_);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    line_begin_ = end + 1;
    if (line.starts_with(kIdField)) {
      id_ = Trim(line.substr(kIdField.size()));
    }
    if (line.empty()) {
      events.push_back({rest_.substr(0, line_begin_), std::exchange(id_, {})});
      rest_.erase(0, line_begin_);
      line_begin_ = 0;
    }
  }
  return events;
}

}  // namespace baobabrun
