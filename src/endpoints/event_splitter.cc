// Parsing of server-sent events.
#include "endpoints/event_splitter.h"

#include <charconv>
#include <utility>

namespace baobabrun {
namespace {

// If `line` is the given field, sets `value` to the text after "field:" and one
// optional space and returns true.
bool ReadField(std::string_view line,
               std::string_view field,
               std::string_view* value) {
  if (!line.starts_with(field) || line.size() <= field.size() ||
      line[field.size()] != ':') {
    return false;
  }
  line.remove_prefix(field.size() + 1);
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  *value = line;
  return true;
}

}  // namespace

std::vector<StreamEvent> EventSplitter::Push(std::string_view bytes) {
  std::vector<StreamEvent> out;
  while (!bytes.empty() && !overflowed_) {
    const auto end = bytes.find('\n');
    line_.append(bytes.substr(0, end));
    if (line_.size() + event_.data.size() > kMaxEventBytes) {
      overflowed_ = true;
      break;
    }
    if (end == std::string_view::npos) {
      break;
    }
    bytes.remove_prefix(end + 1);
    if (line_.ends_with('\r')) {
      line_.pop_back();
    }
    HandleLine(line_, &out);
    line_.clear();
  }
  return out;
}

void EventSplitter::HandleLine(std::string_view line,
                               std::vector<StreamEvent>* out) {
  if (line.empty()) {
    if (has_data_) {
      out->push_back(std::move(event_));
    }
    event_ = {};
    has_data_ = false;
    return;
  }
  std::string_view value;
  if (ReadField(line, "data", &value)) {
    if (has_data_) {
      event_.data.push_back('\n');
    }
    event_.data.append(value);
    has_data_ = true;
  } else if (ReadField(line, "id", &value)) {
    std::from_chars(value.data(), value.data() + value.size(), event_.id);
  }
}

}  // namespace baobabrun
