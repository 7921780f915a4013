// Joins the runs of one stream: decides which events of a further attempt
// continue what the caller was already sent. No event may be lost or repeated,
// so a run whose place in the stream can't be told is not joined.
//
// Ids that are numbers rise along a stream. Other ids are compared with those
// that were sent.
#ifndef GATEWAY_STREAM_CONTINUATION_H_
#define GATEWAY_STREAM_CONTINUATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>

#include "gateway/event_assembler.h"

namespace baobabrun {

class StreamContinuation {
 public:
  // How far a run has come, compared with what the caller was sent.
  enum class Position {
    kUnknown,  // it has had no event with an id
    kBehind,   // its events were sent before
    kCurrent,  // its next event is new
  };
  enum class Verdict {
    kForward,
    kSkip,  // the caller has it
    // It can't be told whether the caller has it.
    kCannotContinue,
  };

  // Returns the position of an attempt that begins now.
  Position Begin() const {
    return any_sent_ ? Position::kUnknown : Position::kCurrent;
  }
  // `position` is that of the attempt; it is updated. An event for which the
  // verdict is kForward counts as sent.
  Verdict Judge(const CompleteEvent& event, Position* position);

  // Whether another attempt can go on after the last event: not if that event
  // has no id.
  bool can_resume() const { return !sent_without_id_; }
  // Id of the last event that was sent; empty if none has an id.
  const std::string& last_id() const { return last_id_; }

 private:
  bool WasSent(const std::string& id) const;
  void RecordSent(const std::string& id);

  bool any_sent_ = false;         // not counting comments
  bool sent_without_id_ = false;  // after the event `last_id_`
  std::string last_id_;
  std::optional<std::uint64_t> highest_;       // id that is a number
  std::unordered_set<std::size_t> other_ids_;  // hashes of ids that are none
};

}  // namespace baobabrun

#endif  // GATEWAY_STREAM_CONTINUATION_H_
