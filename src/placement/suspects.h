// Tracks requests that may have crashed endpoints. If an attempt fails in a way
// that may be due to a crash of its endpoint, a suspected crash is recorded for
// the fingerprint of the request. A later heartbeat of the same incarnation
// removes it; a restart of the endpoint or the end of its heartbeats confirms
// it. A request whose fingerprint has two suspected crashes is not run again
// until one of them is removed or has expired, so no request crashes more than
// two endpoints. VMs exchange their suspected crashes, so that this limit also
// holds if the caller sends the request to another VM.
#ifndef PLACEMENT_SUSPECTS_H_
#define PLACEMENT_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "requests/request.h"

namespace baobabrun {

// A hash that is equal for requests of one organisation with the same content.
using Fingerprint = std::uint64_t;
Fingerprint FingerprintOf(const Request& request);

struct SuspectTrackerOptions {
  // How long a suspected crash is kept.
  Duration retention = std::chrono::minutes(10);
  // A heartbeat removes only suspected crashes that are at least this old. If
  // the suspected crash is more recent, the endpoint may have sent the
  // heartbeat before it crashed.
  Duration heartbeat_margin = milliseconds(500);
  // Maximum number of suspected crashes. If there are more, the oldest is
  // removed.
  std::size_t max_suspected_crashes = 4096;
};

// A possible crash of an endpoint by a request.
struct SuspectedCrash {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  Incarnation incarnation;
  Instant at;
  bool confirmed = false;
};

enum class SuspectStatus {
  kClear,
  kSuspect,      // one suspected crash
  kUnresolved,   // two suspected crashes that are not both confirmed
  kQuarantined,  // two confirmed crashes
};

class SuspectTracker {
 public:
  explicit SuspectTracker(SuspectTrackerOptions options) : options_(options) {}

  // Returns false if this suspected crash is already known or has expired.
  bool Add(SuspectedCrash crash, Instant now);
  // A heartbeat of the endpoint arrived. Removes the suspected crashes of this
  // incarnation and confirms those of earlier incarnations.
  void OnHeartbeat(const EndpointId& endpoint,
                   Incarnation incarnation,
                   Instant now);
  // The heartbeats of the endpoint have stopped. Confirms its suspected
  // crashes.
  void OnExpired(const EndpointId& endpoint, Incarnation incarnation);
  // Removes expired suspected crashes.
  void RemoveExpired(Instant now);

  SuspectStatus StatusOf(Fingerprint fingerprint) const;
  bool empty() const { return suspected_crashes_.empty(); }
  // Returns at most `most` suspected crashes. Consecutive calls go through all
  // of them in turn.
  std::vector<SuspectedCrash> NextToReport(std::size_t most);

 private:
  const SuspectTrackerOptions options_;
  // No two elements have the same fingerprint, endpoint and incarnation. There
  // are few: a crash adds one for each request that ran at the endpoint.
  std::vector<SuspectedCrash> suspected_crashes_;
  std::size_t next_reported_ = 0;
};

}  // namespace baobabrun

#endif  // PLACEMENT_SUSPECTS_H_
