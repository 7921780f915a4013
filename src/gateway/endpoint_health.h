// Judges endpoints by how sendings to them end, not by what they say of
// themselves: an endpoint that fails much more often than its peers gets less
// or nothing while others can do the work, and a few probes by real requests.
// Where several endpoints of one zone can't be reached, the zone is taken as
// cut off.
#ifndef GATEWAY_ENDPOINT_HEALTH_H_
#define GATEWAY_ENDPOINT_HEALTH_H_

#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

struct EndpointHealthOptions {
  // An outcome's weight halves in this time.
  Duration half_life = seconds(3);
  // Failures, weighted by age, from which an endpoint is avoided, if they are
  // also at least this share of its outcomes.
  double avoid_failures = 0.8;
  double avoid_share = 0.3;
  // After a connection couldn't be opened, the endpoint is avoided for so long;
  // twice as long each time in a row, up to the longest.
  Duration unreachable = milliseconds(500);
  Duration longest_unreachable = seconds(4);
  // The same for all endpoints of a zone once this many were unreachable.
  int zone_failures = 2;
};

class EndpointHealth {
 public:
  explicit EndpointHealth(EndpointHealthOptions options) : options_(options) {}

  void Succeeded(const EndpointId& endpoint, const ZoneId& zone, Instant now);
  void Failed(const EndpointId& endpoint, Instant now);
  void Unreachable(const EndpointId& endpoint, const ZoneId& zone, Instant now);

  bool Avoid(const EndpointId& endpoint, const ZoneId& zone, Instant now) const;

 private:
  struct Record {
    double successes = 0;
    double failures = 0;
    Instant at;  // for which both are right
    Instant unreachable_until;
    int unreachable = 0;  // times in a row
  };
  struct Zone {
    int unreachable = 0;  // times in a row, over all its endpoints
    Instant until;
  };
  Duration Pause(int times) const;
  Record& Decayed(const EndpointId& endpoint, Instant now);
  double Decay(const Record& record, Instant now) const;

  const EndpointHealthOptions options_;
  std::map<EndpointId, Record> records_;
  std::map<ZoneId, Zone> zones_;
};

}  // namespace baobabrun

#endif  // GATEWAY_ENDPOINT_HEALTH_H_
