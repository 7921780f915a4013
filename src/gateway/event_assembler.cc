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
  for (auto end = rest_.find_first_of("\r\n", scanned_);
       end != std::string::npos; end = rest_.find_first_of("\r\n", scanned_)) {
    scanned_ = end + 1;
    // The second byte of a "\r\n" whose first byte came with the bytes before.
    if (std::exchange(ended_by_return_, false) && end == line_begin_ &&
        rest_[end] == '\n') {
      line_begin_ = scanned_;
      continue;
    }
    if (rest_[end] == '\r') {
      if (scanned_ == rest_.size()) {
        ended_by_return_ = true;
      } else if (rest_[scanned_] == '\n') {
        ++scanned_;
      }
    }
    const auto line =
        std::string_view(rest_).substr(line_begin_, end - line_begin_);
    line_begin_ = scanned_;
    if (!line.empty()) {
      HandleLine(line);
      continue;
    }
    events.push_back({rest_.substr(0, line_begin_), std::exchange(id_, {}),
                      std::exchange(has_field_, false)});
    rest_.erase(0, line_begin_);
    line_begin_ = 0;
    scanned_ = 0;
  }
  scanned_ = rest_.size();
  return events;
}

void EventAssembler::HandleLine(std::string_view line) {
  has_field_ |= !line.starts_with(':');
  if (line.starts_with(kIdField)) {
    id_ = Trim(line.substr(kIdField.size()));
  }
}

}  // namespace baobabrun
