// Replication of endpoint records.
#include "registry/registry_replicator.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/log.h"
#include "base/utf8.h"
#include "membership/membership_error.h"
#include "registry/registry.pb.h"

namespace baobabrun {
namespace {

constexpr milliseconds kAliveInterval{500};
// Minimum time between two kAsk messages to the same VM.
constexpr milliseconds kAskInterval{300};
// The same for a VM that takes no reports, so that another control VM has its
// turn if one that is cut off differs all the time.
constexpr milliseconds kAskAgain{1'500};
// A control VM from which no message arrived for this long counts as out of
// reach.
constexpr milliseconds kControlTimeout{1'600};
// Changes within this time are sent in one message.
constexpr milliseconds kFlushInterval{20};

void ToProto(const EndpointRecord& record, wire::EndpointRecord* out) {
  out->set_endpoint(record.endpoint.value());
  out->set_service(record.service);
  out->set_host(record.address.host);
  out->set_port(record.address.port);
  out->set_zone(record.zone.value());
  out->set_incarnation(record.incarnation.value());
  out->set_sequence(record.sequence);
  out->set_state(static_cast<std::uint32_t>(record.state));
  out->set_slots(record.slots);
  for (const auto& it : record.models) {
    auto* model = out->add_models();
    model->set_model(it.model.value());
    model->set_weights(it.weights);
  }
  out->set_loading(record.loading);
  out->set_order_stamp(record.order_stamp);
  out->set_deregistered(record.deregistered);
  out->set_outlived(record.outlived.value());
}

// Why a record can't be used; empty if it can. A record of an endpoint that is
// gone may have no address.
std::string_view FaultOf(const wire::EndpointRecord& in) {
  const auto state = in.state();
  if (state < static_cast<std::uint32_t>(EndpointState::kReady) ||
      state > static_cast<std::uint32_t>(EndpointState::kGone)) {
    return "its state is unknown";
  }
  if (in.endpoint().empty()) {
    return "it has no id";
  }
  if (!IsUtf8(in.endpoint()) || !IsUtf8(in.service()) || !IsUtf8(in.host()) ||
      !IsUtf8(in.zone()) ||
      !std::all_of(in.models().begin(), in.models().end(),
                   [](const auto& it) { return IsUtf8(it.model()); })) {
    return "a name isn't UTF-8";
  }
  if (in.port() > std::numeric_limits<std::uint16_t>::max()) {
    return "its port is too large";
  }
  const bool gone = state == static_cast<std::uint32_t>(EndpointState::kGone);
  if (!gone && (in.host().empty() || in.port() == 0)) {
    return "it has no address";
  }
  if (in.slots() < 0) {
    return "its slots are below zero";
  }
  return {};
}

EndpointRecord FromProto(const wire::EndpointRecord& in) {
  EndpointRecord record;
  record.endpoint = EndpointId(in.endpoint());
  record.service = in.service();
  record.address = {in.host(), static_cast<std::uint16_t>(in.port())};
  record.zone = ZoneId(in.zone());
  record.incarnation = Incarnation(in.incarnation());
  record.sequence = in.sequence();
  record.state = static_cast<EndpointState>(in.state());
  record.slots = in.slots();
  for (const auto& it : in.models()) {
    record.models.push_back({ModelId(it.model()), it.weights()});
  }
  record.loading = in.loading();
  record.order_stamp = in.order_stamp();
  record.deregistered = in.deregistered();
  record.outlived = Incarnation(in.outlived());
  return record;
}

}  // namespace

std::string EncodeRegistry(const RegistryMessage& message) {
  wire::Registry out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  for (const auto& it : message.records) {
    ToProto(it, out.add_records());
  }
  for (const auto& it : message.alive) {
    out.add_alive(it.value());
  }
  out.set_digest(message.digest);
  for (const auto& it : message.silent) {
    auto* silent = out.add_silent();
    silent->set_endpoint(it.endpoint.value());
    constexpr std::int64_t kMostMs = std::numeric_limits<std::int32_t>::max();
    silent->set_silent_ms(
        static_cast<std::uint32_t>(std::min(InMs(it.silent), kMostMs)));
  }
  return out.SerializeAsString();
}

Result<RegistryMessage> DecodeRegistry(std::string_view bytes) {
  const Error malformed{MembershipError::kMalformed,
                        "malformed registry message"};
  wire::Registry in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      in.kind() < static_cast<std::uint32_t>(RegistryKind::kChanges) ||
      in.kind() > static_cast<std::uint32_t>(RegistryKind::kTable)) {
    return malformed;
  }
  RegistryMessage message;
  message.kind = static_cast<RegistryKind>(in.kind());
  for (const auto& it : in.records()) {
    if (const auto fault = FaultOf(it); !fault.empty()) {
      Log(Event::kPeerMessageMalformed,
          "the record of endpoint {} is skipped: {}", it.endpoint(), fault);
      continue;
    }
    message.records.push_back(FromProto(it));
  }
  for (const auto& it : in.alive()) {
    message.alive.emplace_back(it);
  }
  message.digest = in.digest();
  for (const auto& it : in.silent()) {
    message.silent.push_back(
        {EndpointId(it.endpoint()), milliseconds(it.silent_ms())});
  }
  return message;
}

void RegistryReplicator::SetPeers(std::vector<Peer> peers) {
  // A control VM exchanges its records with new control peers at once, so that
  // it doesn't wait for the first comparison of digests. Other VMs need only
  // one table; Tick requests it.
  for (const auto& it : peers) {
    const bool known =
        std::any_of(peers_.begin(), peers_.end(),
                    [&it](const auto& peer) { return peer.vm == it.vm; });
    if (control_ && it.control && !known) {
      Ask(it.vm);
    }
  }
  peers_ = std::move(peers);
}

void RegistryReplicator::Restore(const std::vector<EndpointRecord>& records,
                                 Instant now) {
  for (const auto& it : records) {
    registry_.Merge(it, now);
  }
  ++changes_;
}

void RegistryReplicator::SetServices(std::set<std::string> services) {
  if (registry_.SetServices(std::move(services))) {
    ++changes_;
  }
}

void RegistryReplicator::RecordChange(const EndpointId& endpoint, Instant now) {
  ++changes_;
  unsent_changes_.insert(endpoint);
  if (now >= next_flush_) {
    Flush(now);
  }
}

bool RegistryReplicator::Report(const EndpointRecord& record, Instant now) {
  const bool changed = registry_.Report(record, now);
  const auto* known = registry_.Find(record.endpoint);
  if (known != nullptr && known->service == record.service) {
    reported_.insert(record.endpoint);
  }
  if (changed) {
    RecordChange(record.endpoint, now);
  }
  return changed;
}

bool RegistryReplicator::MarkGone(const EndpointId& endpoint,
                                  Incarnation incarnation,
                                  Instant now) {
  const bool changed = registry_.MarkGone(endpoint, incarnation, now);
  if (changed) {
    RecordChange(endpoint, now);
  }
  return changed;
}

bool RegistryReplicator::SetWeights(const EndpointId& endpoint,
                                    const ModelWeights& weights,
                                    Instant now) {
  const bool changed = registry_.SetWeights(endpoint, weights);
  if (changed) {
    RecordChange(endpoint, now);
  }
  return changed;
}

bool RegistryReplicator::SetLoading(const EndpointId& endpoint,
                                    std::uint64_t weights,
                                    std::uint64_t order_stamp,
                                    Instant now) {
  const bool changed = registry_.SetLoading(endpoint, weights, order_stamp);
  if (changed) {
    RecordChange(endpoint, now);
  }
  return changed;
}

void RegistryReplicator::SendToAll(const RegistryMessage& message) {
  for (const auto& it : peers_) {
    messages_.push_back({it.vm, message});
  }
}

void RegistryReplicator::Flush(Instant now) {
  next_flush_ = now + kFlushInterval;
  RegistryMessage message;
  message.digest = registry_.digest();
  for (const auto& it : std::exchange(unsent_changes_, {})) {
    for (auto& record : registry_.AllOf(it)) {
      message.records.push_back(std::move(record));
    }
  }
  SendToAll(message);
}

void RegistryReplicator::Tick(Instant now) {
  if (!unsent_changes_.empty() && now >= next_flush_) {
    Flush(now);
  }
  if (!has_table() && now - asked_for_table_ >= kAskInterval) {
    std::vector<VmId> control;
    for (const auto& it : peers_) {
      if (it.control) {
        control.push_back(it.vm);
      }
    }
    if (!control.empty()) {
      asked_for_table_ = now;
      Ask(control[next_to_ask_++ % control.size()]);
    }
  }
  if (now < next_alive_) {
    return;
  }
  next_alive_ = now + kAliveInterval;
  registry_.RemoveExpired(now);
  if (control_) {
    SendAlive(now);
  }
}

std::optional<Instant> RegistryReplicator::NextFlush() const {
  if (unsent_changes_.empty()) {
    return std::nullopt;
  }
  return next_flush_;
}

void RegistryReplicator::SendAlive(Instant now) {
  RegistryMessage to_control;
  to_control.kind = RegistryKind::kAlive;
  to_control.digest = registry_.digest();
  RegistryMessage to_others = to_control;
  const auto alive = std::exchange(reported_, {});
  to_control.alive.assign(alive.begin(), alive.end());
  for (const auto* it : registry_.Live()) {
    const auto silent = now - registry_.LastReportAt(it->endpoint);
    if (silent >= silent_after_) {
      to_others.silent.push_back({it->endpoint, silent});
    }
  }
  for (const auto& it : peers_) {
    messages_.push_back({it.vm, it.control ? to_control : to_others});
  }
}

void RegistryReplicator::Receive(const VmId& from,
                                 const RegistryMessage& message,
                                 Instant now) {
  if (message.kind != RegistryKind::kAsk) {
    senders_[from].at = now;
  }
  for (const auto& it : message.records) {
    if (registry_.Merge(it, now)) {
      ++changes_;
    }
  }
  for (const auto& it : message.alive) {
    registry_.RecordReportTime(it, now);
  }
  switch (message.kind) {
    case RegistryKind::kAsk:
      messages_.push_back({from,
                           {RegistryKind::kTable,
                            registry_.All(),
                            {},
                            registry_.digest(),
                            {}}});
      break;
    case RegistryKind::kAlive: {
      auto& silent = senders_[from].silent;
      silent.clear();
      for (const auto& it : message.silent) {
        silent[it.endpoint] = now - it.silent;
      }
      CompareDigest(from, message.digest, now);
      break;
    }
    case RegistryKind::kTable:
      has_table_ = true;
      break;
    case RegistryKind::kChanges:
      break;
  }
}

void RegistryReplicator::CompareDigest(const VmId& from,
                                       std::uint64_t digest,
                                       Instant now) {
  auto& sender = senders_[from];
  const bool differs = digest != registry_.digest();
  const bool differed = std::exchange(sender.differed, differs);
  if (!differs) {
    has_table_ = true;
    return;
  }
  // While a change is on its way, digests differ for a moment.
  if (!differed || (!control_ && now - asked_for_table_ < kAskInterval)) {
    return;
  }
  const auto [it, added] = last_ask_.try_emplace(from, now);
  if (!added && now - it->second < (control_ ? kAskInterval : kAskAgain)) {
    return;
  }
  it->second = now;
  asked_for_table_ = now;
  Ask(from);
}

void RegistryReplicator::Ask(const VmId& vm) {
  RegistryMessage ask;
  ask.kind = RegistryKind::kAsk;
  if (control_) {
    ask.records = registry_.All();
  }
  messages_.push_back({vm, std::move(ask)});
}

std::set<EndpointId> RegistryReplicator::TimedOut(Duration limit,
                                                  Instant now) const {
  std::size_t control_vms = control_ ? 1 : 0;
  std::vector<const Sender*> reachable;
  for (const auto& it : peers_) {
    if (!it.control) {
      continue;
    }
    ++control_vms;
    const auto sender = senders_.find(it.vm);
    if (sender != senders_.end() && now - sender->second.at < kControlTimeout) {
      reachable.push_back(&sender->second);
    }
  }
  std::set<EndpointId> timed_out;
  if ((reachable.size() + (control_ ? 1 : 0)) * 2 <= control_vms) {
    return timed_out;
  }
  if (control_) {
    for (const auto* it : registry_.Live()) {
      if (now - registry_.LastReportAt(it->endpoint) > limit) {
        timed_out.insert(it->endpoint);
      }
    }
    return timed_out;
  }
  // A report that reached any of them counts.
  for (const auto& entry : reachable.front()->silent) {
    const auto& endpoint = entry.first;
    const bool silent_everywhere =
        std::all_of(reachable.begin(), reachable.end(), [&](const auto* it) {
          const auto last = it->silent.find(endpoint);
          return last != it->silent.end() && now - last->second > limit;
        });
    if (silent_everywhere) {
      timed_out.insert(endpoint);
    }
  }
  return timed_out;
}

std::vector<OutgoingRegistry> RegistryReplicator::TakeMessages() {
  return std::exchange(messages_, {});
}

}  // namespace baobabrun
