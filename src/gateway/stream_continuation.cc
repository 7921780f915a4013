// Compares the events of a resumed stream with those sent before.
#include "gateway/stream_continuation.h"

#include <charconv>
#include <functional>

namespace baobabrun {
namespace {

std::optional<std::uint64_t> ToNumber(const std::string& text) {
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || at != end) {
    return std::nullopt;
  }
  return n;
}

}  // namespace

bool StreamContinuation::WasSent(const std::string& id) const {
  if (const auto n = ToNumber(id)) {
    return highest_ && *n <= *highest_;
  }
  return other_ids_.contains(std::hash<std::string>()(id));
}

void StreamContinuation::RecordSent(const std::string& id) {
  last_id_ = id;
  sent_without_id_ = false;
  if (const auto n = ToNumber(id)) {
    highest_ = n;
  } else {
    other_ids_.insert(std::hash<std::string>()(id));
  }
}

StreamContinuation::Verdict StreamContinuation::Judge(
    const CompleteEvent& event,
    Position* position) {
  if (!event.has_field) {
    return Verdict::kForward;
  }
  if (event.id.empty()) {
    if (*position != Position::kCurrent) {
      return *position == Position::kBehind ? Verdict::kSkip
                                            : Verdict::kCannotContinue;
    }
    any_sent_ = true;
    sent_without_id_ = true;
    return Verdict::kForward;
  }
  // Within one run each event is new, whatever its id.
  if (*position != Position::kCurrent && WasSent(event.id)) {
    *position = event.id == last_id_ ? Position::kCurrent : Position::kBehind;
    return Verdict::kSkip;
  }
  *position = Position::kCurrent;
  any_sent_ = true;
  RecordSent(event.id);
  return Verdict::kForward;
}

}  // namespace baobabrun
