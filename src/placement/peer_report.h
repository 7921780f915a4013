// What VMs tell each other about placement: requests in flight at each
// endpoint, and endpoints that may have died of a request. Any report may get
// lost: the next one says the same again.
#ifndef PLACEMENT_PEER_REPORT_H_
#define PLACEMENT_PEER_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "placement/suspects.h"

namespace baobabrun {

// The sender's own requests at one endpoint.
struct InFlight {
  EndpointId endpoint;
  Incarnation incarnation;
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
  std::int32_t suspects = 0;
};

struct PeerReport {
  std::vector<InFlight> in_flight;
  std::vector<Loss> losses;  // `confirmed` is not sent
};

// Losses are sent with their age, as clocks of VMs have nothing in common.
std::string Encode(const PeerReport& report, Instant now);
// Returns nothing for bytes that are no report.
std::optional<PeerReport> DecodePeerReport(std::string_view payload,
                                           Instant now);

}  // namespace baobabrun

#endif  // PLACEMENT_PEER_REPORT_H_
