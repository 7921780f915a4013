// The table of endpoints.
#include "placement/endpoint_table.h"

#include <algorithm>

namespace baobabrun {
namespace {

constexpr NameEntry<EndpointHealth> kHealthNames[] = {
    {EndpointHealth::kServing, "serving"},
    {EndpointHealth::kLeaving, "leaving"},
    {EndpointHealth::kRetired, "retired"},
    {EndpointHealth::kExpired, "expired"},
};

constexpr std::int32_t kMaxCountedFailures = 16;

bool CanRun(const Announcement& it, const Request& request) {
  if (request.caller.kind == RequestKind::kService) {
    return it.kind == EndpointKind::kService && it.service == request.service;
  }
  const LoadedModel wanted{request.caller.call.model, request.weights,
                           request.adapter};
  return it.kind == EndpointKind::kEngine &&
         std::find(it.models.begin(), it.models.end(), wanted) !=
             it.models.end();
}

constexpr Duration kPeerExpiryInterval = milliseconds(50);

void UpdatePeerTotal(EndpointState& state) {
  PeerLoad sum;
  for (const auto& [vm, load] : state.peer_loads) {
    sum.running += load.running;
    sum.prefill_tokens += load.prefill_tokens;
    sum.suspects += load.suspects;
  }
  state.peer_total = sum;
}

bool HasUnloaded(const std::vector<LoadedModel>& before,
                 const std::vector<LoadedModel>& after) {
  return std::any_of(before.begin(), before.end(), [&after](const auto& it) {
    return std::find(after.begin(), after.end(), it) == after.end();
  });
}

Announcement WithoutEvents(const Announcement& it) {
  Announcement out = it;
  out.events = CacheEvents();
  return out;
}

}  // namespace

std::string_view NameOf(EndpointHealth health) {
  return NameOf<EndpointHealth>(kHealthNames, health);
}

EndpointHealth EndpointState::health() const {
  if (expired) {
    return EndpointHealth::kExpired;
  }
  if (retired) {
    return EndpointHealth::kRetired;
  }
  return last.leaving ? EndpointHealth::kLeaving : EndpointHealth::kServing;
}

EndpointTable::Outcome EndpointTable::OnAnnouncement(const Announcement& it,
                                                     Instant now) {
  const auto [known, is_new] = slots_.try_emplace(
      it.endpoint, static_cast<EndpointIndex>(states_.size()));
  if (is_new) {
    states_.emplace_back();
    states_.back().retired = retired_.contains(it.endpoint);
  }
  Outcome out{known->second, Change::kHeartbeat};
  auto& state = states_[out.slot];
  const bool other =
      it.kind != state.last.kind || it.service != state.last.service;
  if (is_new) {
    out.change = Change::kNew;
  } else if (other && !state.expired) {
    out.change = Change::kForeign;
    return out;
  } else if (!other && it.incarnation < state.last.incarnation) {
    out.change = Change::kStale;
    return out;
  } else if (other || it.incarnation > state.last.incarnation) {
    out.change = Change::kNewIncarnation;
    state.peer_loads.clear();
    UpdatePeerTotal(state);
    state.failures = 0;
    state.backoff_until = now;
    state.slowness = 1.0;
  } else if (HasUnloaded(state.last.models, it.models)) {
    out.change = Change::kUnloaded;
  }
  state.last = WithoutEvents(it);
  state.last_announced = now;
  state.expired = false;
  return out;
}

void EndpointTable::SetRetired(std::span<const EndpointId> retired) {
  retired_ = std::set<EndpointId>(retired.begin(), retired.end());
  for (auto& it : states_) {
    it.retired = retired_.contains(it.last.endpoint);
  }
}

void EndpointTable::OnPeerLoad(const VmId& peer,
                               const EndpointId& endpoint,
                               Incarnation incarnation,
                               PeerLoad load) {
  const auto slot = Find(endpoint);
  if (slot && states_[*slot].last.incarnation == incarnation) {
    states_[*slot].peer_loads[peer] = load;
    UpdatePeerTotal(states_[*slot]);
  }
}

std::vector<EndpointIndex> EndpointTable::Expire(Instant now) {
  std::vector<EndpointIndex> out;
  for (EndpointIndex n = 0; n < states_.size(); ++n) {
    auto& it = states_[n];
    if (!it.expired && now >= it.last_announced + options_.expiry) {
      it.expired = true;
      out.push_back(n);
    }
  }
  return out;
}

std::optional<Instant> EndpointTable::NextExpiry() const {
  std::optional<Instant> next;
  for (const auto& it : states_) {
    if (!it.expired && (!next || it.last_announced + options_.expiry < *next)) {
      next = it.last_announced + options_.expiry;
    }
  }
  return next;
}

void EndpointTable::AddWork(EndpointIndex slot, std::int64_t prefill_tokens) {
  states_[slot].running += 1;
  states_[slot].prefill_tokens += prefill_tokens;
}

void EndpointTable::PrefillDone(EndpointIndex slot,
                                std::int64_t prefill_tokens) {
  states_[slot].prefill_tokens -= prefill_tokens;
}

void EndpointTable::RemoveWork(EndpointIndex slot) {
  states_[slot].running -= 1;
}

void EndpointTable::OnSuccess(EndpointIndex slot) {
  states_[slot].failures = 0;
}

void EndpointTable::OnFailure(EndpointIndex slot, Instant now) {
  auto& it = states_[slot];
  it.failures = std::min(it.failures + 1, kMaxCountedFailures);
  const auto backoff = options_.initial_backoff * (1 << (it.failures - 1));
  it.backoff_until = now + std::min<Duration>(backoff, options_.max_backoff);
}

EndpointLoad EndpointTable::LoadOf(EndpointIndex slot, Instant now) const {
  const auto& it = states_[slot];
  EndpointLoad load{it.running, it.prefill_tokens};
  load.running += it.peer_total.running;
  load.prefill_tokens += it.peer_total.prefill_tokens;
  if (!last_peer_report_ ||
      now >= *last_peer_report_ + options_.peer_load_expiry) {
    // No recent report of a peer is available, so the endpoint's own late load
    // report is the best information. It includes older requests of this VM.
    load.running =
        std::max(load.running, it.last.load.running + it.last.load.queued);
    load.prefill_tokens =
        std::max(load.prefill_tokens, it.last.load.queued_tokens);
  }
  return load;
}

bool EndpointTable::RunsSuspect(EndpointIndex slot) const {
  return states_[slot].suspects + states_[slot].peer_total.suspects > 0;
}

void EndpointTable::ExpirePeerLoads(Instant now) {
  if (now < last_peer_expiry_ + kPeerExpiryInterval) {
    return;
  }
  last_peer_expiry_ = now;
  for (auto& it : states_) {
    const auto dropped = std::erase_if(it.peer_loads, [&](const auto& peer) {
      return now >= peer.second.received_at + options_.peer_load_expiry;
    });
    if (dropped > 0) {
      UpdatePeerTotal(it);
    }
  }
}

std::vector<EndpointIndex> EndpointTable::Matching(
    const Request& request) const {
  std::vector<EndpointIndex> out;
  for (EndpointIndex n = 0; n < states_.size(); ++n) {
    if (states_[n].takes_new_work() && CanRun(states_[n].last, request)) {
      out.push_back(n);
    }
  }
  return out;
}

std::optional<EndpointIndex> EndpointTable::Find(
    const EndpointId& endpoint) const {
  const auto it = slots_.find(endpoint);
  if (it == slots_.end()) {
    return std::nullopt;
  }
  return it->second;
}

std::vector<EndpointView> EndpointTable::Views() const {
  std::vector<EndpointView> out;
  out.reserve(states_.size());
  for (const auto& it : states_) {
    out.push_back({it.last.endpoint, it.last.incarnation, it.last.zone,
                   it.last.address, it.health(), it.running, it.last.models,
                   it.last.service, it.last.slots, it.last.loading,
                   it.last.checks_fencing});
  }
  return out;
}

}  // namespace baobabrun
