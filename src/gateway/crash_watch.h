// Finds calls that crash the endpoints that run them. Such a call comes again
// with the same content, at any VM, so VMs tell each other of each sending that
// broke. After `most_crashes` endpoints a call isn't sent on any more.
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
  // A crash is held against a call for so long.
  Duration remembered = seconds(120);
};

class CrashWatch {
 public:
  explicit CrashWatch(CrashWatchOptions options) : options_(options) {}

  // Returns whether this is new.
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
