// Ensures that a streamed answer is complete and in order over all attempts of
// its request. An event is forwarded only if it is the next one, and a repeated
// event is dropped. After a gap or without the end marker, the attempt counts
// as broken.
#ifndef ENDPOINTS_STREAM_GUARD_H_
#define ENDPOINTS_STREAM_GUARD_H_

#include <cstdint>
#include <string>

#include "endpoints/event_splitter.h"

namespace baobabrun {

class StreamGuard {
 public:
  enum class Verdict {
    kForward,    // the next event, to be forwarded
    kDuplicate,  // to be dropped: forwarded before, or after the end marker
    kTerminal,   // the end marker, to be forwarded; the answer is complete
    // The event has no id, or events before it are missing. All later events
    // are invalid, too.
    kInvalid,
  };

  // `delivered_events` and `delivered` are the number of events and the text
  // that earlier attempts forwarded.
  StreamGuard(std::uint64_t delivered_events, std::string delivered);

  Verdict Accept(const StreamEvent& event);

  bool complete() const { return complete_; }
  std::uint64_t delivered_events() const { return delivered_events_; }
  const std::string& delivered() const { return delivered_; }
  // Tokens forwarded by this attempt: the number of its chunks that contain
  // text.
  std::int64_t completion_tokens() const { return completion_tokens_; }
  // Counted by the endpoint. 0 until the endpoint has sent its counts.
  std::int64_t prompt_tokens() const { return prompt_tokens_; }
  std::int64_t cached_tokens() const { return cached_tokens_; }

 private:
  void ReadChunk(const std::string& data);

  std::uint64_t delivered_events_;  // never decreases
  std::string delivered_;
  bool complete_ = false;
  bool invalid_ = false;
  std::int64_t completion_tokens_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
};

// Token counts in the "usage" object of an engine's answer.
struct Usage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};
// Reads the usage of a complete JSON answer. Returns false if `body` is not a
// JSON object.
bool ReadUsage(const std::string& body, Usage* usage);

}  // namespace baobabrun

#endif  // ENDPOINTS_STREAM_GUARD_H_
