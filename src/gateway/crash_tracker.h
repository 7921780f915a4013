// Finds calls that crash the endpoints that run them. The same content may be
// retried at any VM, so VMs notify each other of every attempt that broke. A
// call that broke at `crash_limit` different endpoints isn't sent to any more.
#ifndef GATEWAY_CRASH_TRACKER_H_
#define GATEWAY_CRASH_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

struct CrashTrackerOptions {
  std::size_t crash_limit = 3;
  // How long after its newest crash a call stays quarantined.
  Duration remembered = seconds(120);
};

class CrashTracker {
 public:
  explicit CrashTracker(CrashTrackerOptions options) : options_(options) {}

  // Returns whether this endpoint wasn't yet recorded for this call.
  bool Add(std::uint64_t fingerprint, const EndpointId& endpoint, Instant now);
  bool Quarantined(std::uint64_t fingerprint, Instant now) const;
  void Expire(Instant now);

 private:
  struct Record {
    std::set<EndpointId> endpoints;
    Instant last;
  };

  const CrashTrackerOptions options_;
  std::map<std::uint64_t, Record> records_;
};

}  // namespace baobabrun

#endif  // GATEWAY_CRASH_TRACKER_H_
