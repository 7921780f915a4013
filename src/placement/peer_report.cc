// Encoding of peer reports with protobuf.
#include "placement/peer_report.h"

#include <algorithm>

#include "placement/placement.pb.h"

namespace baobabrun {
namespace {

// Higher ages are reduced to this one.
constexpr milliseconds kMaxAge = std::chrono::hours(24);

}  // namespace

std::string Encode(const PeerReport& report, Instant now) {
  placement::Report out;
  for (const auto& it : report.in_flight) {
    auto* entry = out.add_in_flight();
    entry->set_endpoint(it.endpoint.value());
    entry->set_incarnation(it.incarnation.value());
    entry->set_running(it.running);
    entry->set_prefill_tokens(it.prefill_tokens);
    entry->set_suspects(it.suspects);
  }
  for (const auto& it : report.suspected_crashes) {
    auto* entry = out.add_losses();
    entry->set_fingerprint(it.fingerprint);
    entry->set_endpoint(it.endpoint.value());
    entry->set_incarnation(it.incarnation.value());
    entry->set_age_ms(
        std::chrono::duration_cast<milliseconds>(now - it.at).count());
  }
  return out.SerializeAsString();
}

std::optional<PeerReport> DecodePeerReport(std::string_view payload,
                                           Instant now) {
  placement::Report in;
  if (!in.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    return std::nullopt;
  }
  PeerReport out;
  for (const auto& it : in.in_flight()) {
    out.in_flight.push_back({EndpointId(it.endpoint()),
                             Incarnation(it.incarnation()),
                             std::max(it.running(), 0),
                             std::max<std::int64_t>(it.prefill_tokens(), 0),
                             std::max(it.suspects(), 0)});
  }
  for (const auto& it : in.losses()) {
    const milliseconds age(
        std::clamp<std::int64_t>(it.age_ms(), 0, kMaxAge.count()));
    out.suspected_crashes.push_back(
        {it.fingerprint(), EndpointId(it.endpoint()),
         Incarnation(it.incarnation()), now - age, false});
  }
  return out;
}

}  // namespace baobabrun
