// Limits that the gateway guarantees and that operators promise to callers.
// They are the object "gateway" of the process settings. A duration NAME stands
// there as NAME_ms or NAME_s. Durations, ratios and slacks may be fractions;
// slacks are rounded down.
#ifndef SETTINGS_GATEWAY_SETTINGS_H_
#define SETTINGS_GATEWAY_SETTINGS_H_

#include <cstdint>

#include "base/time.h"

namespace baobabrun {

struct GatewaySettings {
  // True if the settings have a "gateway" object. The VM then serves according
  // to a manifest and discovers the other VMs through seeds.
  bool enabled = false;

  // Summed over all VMs, in any window of length `retry_window`, a service
  // receives at most `retry_ratio` retries for each request, plus `retry_slack`
  // retries.
  double retry_ratio = 0.1;
  Duration retry_window = seconds(10);
  std::int64_t retry_slack = 0;

  // Summed over all VMs, in any window of length `quota_window`, an
  // organisation receives at most (rate x window + burst) x (1 + quota_overage)
  // + quota_slack.
  Duration quota_window = seconds(10);
  double quota_overage = 0;
  std::int64_t quota_slack = 0;

  // The interval between two reports of an endpoint.
  Duration report_interval = milliseconds(1'200);
  // How long requests may still start on older weights after newer weights were
  // named.
  Duration weights_deadline = seconds(8);
  // After one holder gives an order, no other holder may give one for this
  // duration.
  Duration order_lease = seconds(3);

  // How many VMs may lose their disks at once without loss of acknowledged
  // data. The control group grows to the size that this requires.
  std::int64_t lost_disks = 1;
};

}  // namespace baobabrun

#endif  // SETTINGS_GATEWAY_SETTINGS_H_
