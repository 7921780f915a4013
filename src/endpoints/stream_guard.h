// Keeps a streamed answer complete and in order over all tries of its request:
// an event is passed on only if it is the next one, a repeated one is dropped,
// and a gap or a missing end makes the try broken.
#ifndef ENDPOINTS_STREAM_GUARD_H_
#define ENDPOINTS_STREAM_GUARD_H_

#include <cstdint>
#include <string>

#include "endpoints/event_splitter.h"

namespace baobabrun {

class StreamGuard {
 public:
  enum class Verdict {
    kForward,    // the next event: pass it on
    kDuplicate,  // passed on before, or after the end: drop it
    kTerminal,   // the end marker: pass it on, the answer is whole
    kInvalid,    // a gap or no number; so is everything after it
  };

  // `delivered_events` and `delivered` are what earlier tries passed on.
  StreamGuard(std::uint64_t delivered_events, std::string delivered);

  Verdict Accept(const StreamEvent& event);

  bool whole() const { return whole_; }
  std::uint64_t delivered_events() const { return delivered_events_; }
  const std::string& delivered() const { return delivered_; }
  // Passed on by this try.
  std::int64_t completion_tokens() const { return completion_tokens_; }
  // As the endpoint counted; 0 until it said.
  std::int64_t prompt_tokens() const { return prompt_tokens_; }
  std::int64_t cached_tokens() const { return cached_tokens_; }

 private:
  void ReadChunk(const std::string& data);

  std::uint64_t delivered_events_;  // only grows
  std::string delivered_;
  bool whole_ = false;
  bool invalid_ = false;
  std::int64_t completion_tokens_ = 0;
  std::int64_t prompt_tokens_ = 0;
  std::int64_t cached_tokens_ = 0;
};

// Token counts that an engine puts into its answer's "usage".
struct Usage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};
// Reads the usage of a whole JSON answer. False if `body` isn't a JSON object.
bool ReadUsage(const std::string& body, Usage* usage);

}  // namespace baobabrun

#endif  // ENDPOINTS_STREAM_GUARD_H_
