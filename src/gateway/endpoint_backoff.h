// Tracks which endpoints have asked this VM, in the head of an answer, for no
// more requests. An endpoint that leaves gets none until it starts again: its
// later reports don't undo what it answered. One that turned a request away and
// stated a time gets none until that time is over.
#ifndef GATEWAY_ENDPOINT_BACKOFF_H_
#define GATEWAY_ENDPOINT_BACKOFF_H_

#include <functional>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

// What the head of an endpoint's answer asks of this VM.
struct AnswerNotice {
  bool leaving = false;  // the endpoint stops and wants no more requests
  // The endpoint turned the request away and wants none for this long.
  std::optional<Duration> retry_after;

  bool operator==(const AnswerNotice&) const = default;
};

// A notice and the endpoint that gave it.
struct EndpointNotice {
  EndpointId endpoint;
  Incarnation incarnation;
  AnswerNotice notice;
};

struct EndpointBackoffOptions {
  // A longer time is shortened to this, so that an endpoint that states a
  // nonsensical time isn't lost for good.
  Duration longest_hold = std::chrono::minutes(10);
};

class EndpointBackoff {
 public:
  explicit EndpointBackoff(EndpointBackoffOptions options)
      : options_(options) {}

  // Returns whether it wasn't known that the endpoint leaves.
  bool RecordLeaving(const EndpointId& endpoint, Incarnation incarnation);

  // Returns whether the endpoint wasn't held back until now. The longest of
  // several times counts, in whatever order their answers arrive.
  bool RecordRetryAfter(const EndpointId& endpoint,
                        Duration delay,
                        Instant now);

  bool Leaving(const EndpointId& endpoint, Incarnation incarnation) const;
  // When the endpoint's last stated time is over, in the past if it has stated
  // none. A restart doesn't shorten it.
  Instant HeldUntil(const EndpointId& endpoint) const;
  // Both of the above; Instant::max() if the endpoint leaves.
  Instant CallableAt(const EndpointId& endpoint, Incarnation incarnation) const;
  bool MayCall(const EndpointId& endpoint,
               Incarnation incarnation,
               Instant now) const {
    return CallableAt(endpoint, incarnation) <= now;
  }

  // Removes times that are over, and which endpoints leave of those for which
  // `known` returns false.
  void Expire(const std::function<bool(const EndpointId& endpoint)>& known,
              Instant now);

 private:
  const EndpointBackoffOptions options_;
  // The newest incarnation that leaves.
  std::map<EndpointId, Incarnation> leaving_;
  std::map<EndpointId, Instant> held_until_;
};

}  // namespace baobabrun

#endif  // GATEWAY_ENDPOINT_BACKOFF_H_
