// The dispatcher's exchange with other VMs: requests in flight, and requests
// that may crash endpoints.
#include "placement/dispatcher.h"

namespace baobabrun {
namespace {

// Losses told again in each report, so that a VM that missed them or has just
// started knows them soon.
constexpr std::size_t kLossesPerReport = 16;

}  // namespace

void Dispatcher::Receive(const VmId& from,
                         std::string_view payload,
                         Instant now) {
  const auto report = DecodePeerReport(payload, now);
  if (!report) {
    return;
  }
  table_.OnPeer(now);
  for (const auto& it : report->in_flight) {
    table_.OnPeerLoad(from, it.endpoint, it.incarnation,
                      {it.running, it.prefill_tokens, it.suspects, now});
  }
  for (const auto& it : report->losses) {
    AddLoss(it, now);
  }
}

void Dispatcher::AddLoss(Loss loss, Instant now) {
  const auto slot = table_.Find(loss.endpoint);
  if (slot) {
    const auto& state = table_.at(*slot);
    loss.confirmed = state.expired || state.last.incarnation > loss.incarnation;
  }
  PeerReport report;
  report.losses.push_back(loss);
  if (suspects_.Add(std::move(loss), now)) {
    // Told at once: the caller may already ask another VM.
    messages_.push_back(Encode(report, now));
  }
}

void Dispatcher::TellPeers(Instant now) {
  PeerReport report;
  told_work_ = false;
  for (EndpointSlot slot = 0; slot < table_.size(); ++slot) {
    auto& it = table_.at(slot);
    // Idle endpoints are named once, so that peers forget the work before.
    if (it.running > 0 || it.told_peers) {
      report.in_flight.push_back({it.last.endpoint, it.last.incarnation,
                                  it.running, it.prefill_tokens, it.suspects});
    }
    it.told_peers = it.running > 0;
    told_work_ = told_work_ || it.told_peers;
  }
  report.losses = suspects_.Some(kLossesPerReport);
  if (!report.in_flight.empty() || !report.losses.empty()) {
    messages_.push_back(Encode(report, now));
  }
}

Fingerprint Dispatcher::FingerprintFor(OpenRequest& it) {
  if (!it.fingerprint) {
    it.fingerprint = FingerprintOf(*it.request);
  }
  return *it.fingerprint;
}

bool Dispatcher::SameRuns(Fingerprint fingerprint) {
  for (const auto& [id, attempt] : attempts_) {
    if (FingerprintFor(open_.at(attempt.request)) == fingerprint) {
      return true;
    }
  }
  return false;
}

}  // namespace baobabrun
