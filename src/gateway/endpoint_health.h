// Tracks endpoints' health by the outcome of attempts rather than by their own
// status reports. An endpoint that fails much more often than others is avoided
// while others can take the calls; its weighted failures expire, and real
// requests then probe it again. When several endpoints of one zone can't be
// reached, the whole zone is treated as unreachable.
#ifndef GATEWAY_ENDPOINT_HEALTH_H_
#define GATEWAY_ENDPOINT_HEALTH_H_

#include <map>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

struct EndpointHealthOptions {
  // The weight of an outcome halves in this time.
  Duration half_life = seconds(3);
  // An endpoint is avoided if its failures, weighted by age, are at least
  // `avoid_failures` and at least `avoid_share` of its outcomes.
  double avoid_failures = 0.8;
  double avoid_share = 0.3;
  // Backoff after a connection couldn't be opened: the endpoint is avoided for
  // `unreachable`, twice as long after each further failure in a row, up to
  // `longest_unreachable`.
  Duration unreachable = milliseconds(500);
  Duration longest_unreachable = seconds(4);
  // After it sent nothing in answer to a call, an endpoint counts as silent for
  // `silent`, twice as long if it is then still silent, up to
  // `longest_unreachable`.
  Duration silent = milliseconds(1'500);
  // The same backoff applies to all endpoints of a zone after this many
  // connection failures there without a success.
  int zone_failures = 2;
};

class EndpointHealth {
 public:
  explicit EndpointHealth(EndpointHealthOptions options) : options_(options) {}

  void Succeeded(const EndpointId& endpoint, const ZoneId& zone, Instant now);
  void Failed(const EndpointId& endpoint, Instant now);
  // A call got no answer in time. All calls of one silence, up to the next
  // success, count as one failure once the silence is over.
  void Silent(const EndpointId& endpoint, Instant now);
  void Unreachable(const EndpointId& endpoint, const ZoneId& zone, Instant now);

  bool Avoid(const EndpointId& endpoint, const ZoneId& zone, Instant now) const;

 private:
  struct Record {
    double successes = 0;
    double failures = 0;
    double silences = 0;  // since the last success
    Duration silent_pause{};
    Instant silent_until;
    Instant at;  // when the weighted counts were computed
    Instant unreachable_until;
    int unreachable = 0;  // times in a row
  };
  struct Zone {
    int unreachable = 0;  // times in a row, over all endpoints of the zone
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
