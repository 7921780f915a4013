// Reports between the dispatchers of the VMs about requests in flight and about
// requests that may crash endpoints.
#include "placement/dispatcher.h"

namespace baobabrun {
namespace {

// Suspected crashes that each report repeats, so that a VM that missed them or
// has just started receives them soon.
constexpr std::size_t kSuspectedCrashesPerReport = 16;

}  // namespace

void Dispatcher::Receive(const VmId& from,
                         std::string_view payload,
                         Instant now) {
  const auto report = DecodePeerReport(payload, now);
  if (!report) {
    return;
  }
  table_.OnPeerReport(now);
  for (const auto& it : report->in_flight) {
    table_.OnPeerLoad(from, it.endpoint, it.incarnation,
                      {it.running, it.prefill_tokens, it.suspects, now});
  }
  for (const auto& it : report->suspected_crashes) {
    AddSuspectedCrash(it, now);
  }
}

void Dispatcher::AddSuspectedCrash(SuspectedCrash crash, Instant now) {
  const auto slot = table_.Find(crash.endpoint);
  if (slot) {
    const auto& state = table_.at(*slot);
    crash.confirmed =
        state.expired || state.last.incarnation > crash.incarnation;
  }
  PeerReport report;
  report.suspected_crashes.push_back(crash);
  if (suspects_.Add(std::move(crash), now)) {
    // Sent at once because the caller may already have sent the request to
    // another VM.
    messages_.push_back(Encode(report, now));
  }
}

void Dispatcher::ReportToPeers(Instant now) {
  PeerReport report;
  reported_load_ = false;
  for (EndpointIndex slot = 0; slot < table_.size(); ++slot) {
    auto& it = table_.at(slot);
    // An endpoint that has become idle is reported once, so that the peers stop
    // counting its earlier work.
    if (it.running > 0 || it.reported_to_peers) {
      report.in_flight.push_back({it.last.endpoint, it.last.incarnation,
                                  it.running, it.prefill_tokens, it.suspects});
    }
    it.reported_to_peers = it.running > 0;
    reported_load_ = reported_load_ || it.reported_to_peers;
  }
  report.suspected_crashes = suspects_.NextToReport(kSuspectedCrashesPerReport);
  if (!report.in_flight.empty() || !report.suspected_crashes.empty()) {
    messages_.push_back(Encode(report, now));
  }
}

Fingerprint Dispatcher::FingerprintFor(OpenRequest& it) {
  if (!it.fingerprint) {
    it.fingerprint = FingerprintOf(*it.request);
  }
  return *it.fingerprint;
}

bool Dispatcher::IsDuplicateRunning(Fingerprint fingerprint) {
  for (const auto& [id, attempt] : attempts_) {
    if (FingerprintFor(open_.at(attempt.request)) == fingerprint) {
      return true;
    }
  }
  return false;
}

}  // namespace baobabrun
