// The report that each VM broadcasts about its placements: its requests in
// flight at each endpoint, and endpoints that a request may have crashed. Any
// report may be lost, because the next one repeats its content.
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

// The sender's own requests in flight at one endpoint.
struct InFlight {
  EndpointId endpoint;
  Incarnation incarnation;
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
  std::int32_t suspects = 0;
};

struct PeerReport {
  std::vector<InFlight> in_flight;
  std::vector<SuspectedCrash> suspected_crashes;  // `confirmed` is not sent
};

// A suspected crash is sent with its age instead of its time, as the clocks of
// VMs are not synchronised.
std::string Encode(const PeerReport& report, Instant now);
// Returns nothing if the payload is not a valid report.
std::optional<PeerReport> DecodePeerReport(std::string_view payload,
                                           Instant now);

}  // namespace baobabrun

#endif  // PLACEMENT_PEER_REPORT_H_
