// Finds calls that crash the endpoints that run them. The same content may be
// retried at any VM, so VMs notify each other of every attempt that broke. A
// call that broke at `most_crashes` different endpoints isn't sent to any more.
#ifndef GATEWAY_CRASH_WATCH_H_
#define GATEWAY_CRASH_WATCH_H_

#include <cstdint>
#include <map>
#include <set>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

struct CrashWatchOptions {
  std::size_t most_crashes = 3;
  // How long after its newest crash a call stays quarantined.
  Duration remembered = seconds(120);
};

class CrashWatch {
 public:
  explicit CrashWatch(CrashWatchOptions options) : options_(options) {}

  // Returns whether this endpoint wasn't yet recorded for this call.
  bool Add(std::uint64_t fingerprint, const EndpointId& endpoint, Instant now);
  bool Quarantined(std::uint64_t fingerprint, Instant now) const;
  void Forget(Instant now);

 private:
  struct Record {
    std::set<EndpointId> endpoints;
    Instant last;
  };

  const CrashWatchOptions options_;
  std::map<std::uint64_t, Record> records_;
};

}  // namespace baobabrun

#endif  // GATEWAY_CRASH_WATCH_H_
