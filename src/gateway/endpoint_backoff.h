// Tracks which endpoints have asked this VM, in the head of an answer, for no
// more requests. An endpoint that leaves gets none until it starts again: its
// later reports don't undo what it answered.
#ifndef GATEWAY_ENDPOINT_BACKOFF_H_
#define GATEWAY_ENDPOINT_BACKOFF_H_

#include <functional>
#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

// What the head of an endpoint's answer asks of this VM.
struct AnswerNotice {
  bool leaving = false;  // the endpoint stops and wants no more requests

  bool operator==(const AnswerNotice&) const = default;
};

// A notice and the endpoint that gave it.
struct EndpointNotice {
  EndpointId endpoint;
  Incarnation incarnation;
  AnswerNotice notice;
};

class EndpointBackoff {
 public:
  // Returns whether it wasn't known that the endpoint leaves.
  bool RecordLeaving(const EndpointId& endpoint, Incarnation incarnation);

  bool Leaving(const EndpointId& endpoint, Incarnation incarnation) const;
  bool MayCall(const EndpointId& endpoint, Incarnation incarnation) const {
    return !Leaving(endpoint, incarnation);
  }

  // Removes what is known of endpoints for which `known` returns false.
  void Retain(const std::function<bool(const EndpointId& endpoint)>& known);

 private:
  // The newest incarnation that leaves.
  std::map<EndpointId, Incarnation> leaving_;
};

}  // namespace baobabrun

#endif  // GATEWAY_ENDPOINT_BACKOFF_H_
