// Replication of endpoint records.
#include "registry/registry_replicator.h"

#include <algorithm>
#include <utility>

#include "membership/membership_error.h"
#include "registry/registry.pb.h"

namespace baobabrun {
namespace {

constexpr milliseconds kAliveInterval{500};
// Minimum time between two kAsk messages to the same VM.
constexpr milliseconds kAskInterval{300};
// A control VM from which no message arrived for this long counts as out of
// reach.
constexpr milliseconds kControlTimeout{1'600};

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
}

bool FromProto(const wire::EndpointRecord& in, EndpointRecord* record) {
  if (in.state() < static_cast<std::uint32_t>(EndpointState::kReady) ||
      in.state() > static_cast<std::uint32_t>(EndpointState::kGone)) {
    return false;
  }
  record->endpoint = EndpointId(in.endpoint());
  record->service = in.service();
  record->address = {in.host(), static_cast<std::uint16_t>(in.port())};
  record->zone = ZoneId(in.zone());
  record->incarnation = Incarnation(in.incarnation());
  record->sequence = in.sequence();
  record->state = static_cast<EndpointState>(in.state());
  record->slots = in.slots();
  for (const auto& it : in.models()) {
    record->models.push_back({ModelId(it.model()), it.weights()});
  }
  record->loading = in.loading();
  record->order_stamp = in.order_stamp();
  return true;
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
    if (!FromProto(it, &message.records.emplace_back())) {
      return malformed;
    }
  }
  for (const auto& it : in.alive()) {
    message.alive.emplace_back(it);
  }
  message.digest = in.digest();
  return message;
}

void RegistryReplicator::SetPeers(std::vector<Peer> peers) {
  // Requests tables from new control peers at once, so that a starting VM
  // doesn't wait for the first comparison of digests.
  for (const auto& it : peers) {
    const bool known =
        std::any_of(peers_.begin(), peers_.end(),
                    [&it](const auto& peer) { return peer.vm == it.vm; });
    if (it.control && !known) {
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

void RegistryReplicator::RecordChange(const EndpointId& endpoint) {
  ++changes_;
  unsent_changes_.insert(endpoint);
}

bool RegistryReplicator::Report(const EndpointRecord& record, Instant now) {
  const bool changed = registry_.Merge(record, now);
  registry_.RecordReportTime(record.endpoint, now);
  reported_.insert(record.endpoint);
  if (changed) {
    RecordChange(record.endpoint);
    Flush();
  }
  return changed;
}

bool RegistryReplicator::MarkGone(const EndpointId& endpoint,
                                  Incarnation incarnation,
                                  Instant now) {
  const bool changed = registry_.MarkGone(endpoint, incarnation, now);
  if (changed) {
    RecordChange(endpoint);
    Flush();
  }
  return changed;
}

bool RegistryReplicator::SetWeights(const EndpointId& endpoint,
                                    const ModelWeights& weights) {
  const bool changed = registry_.SetWeights(endpoint, weights);
  if (changed) {
    RecordChange(endpoint);
    Flush();
  }
  return changed;
}

bool RegistryReplicator::SetLoading(const EndpointId& endpoint,
                                    std::uint64_t weights,
                                    std::uint64_t order_stamp) {
  const bool changed = registry_.SetLoading(endpoint, weights, order_stamp);
  if (changed) {
    RecordChange(endpoint);
    Flush();
  }
  return changed;
}

void RegistryReplicator::SendToAll(const RegistryMessage& message) {
  for (const auto& it : peers_) {
    messages_.push_back({it.vm, message});
  }
}

void RegistryReplicator::Flush() {
  RegistryMessage message;
  message.digest = registry_.digest();
  for (const auto& it : std::exchange(unsent_changes_, {})) {
    if (const auto* record = registry_.Find(it)) {
      message.records.push_back(*record);
    }
  }
  SendToAll(message);
}

void RegistryReplicator::Tick(Instant now) {
  if (now < next_alive_) {
    return;
  }
  next_alive_ = now + kAliveInterval;
  registry_.RemoveExpired(now);
  if (!control_) {
    return;
  }
  RegistryMessage message;
  message.kind = RegistryKind::kAlive;
  message.digest = registry_.digest();
  const auto alive = std::exchange(reported_, {});
  message.alive.assign(alive.begin(), alive.end());
  SendToAll(message);
}

void RegistryReplicator::Receive(const VmId& from,
                                 const RegistryMessage& message,
                                 Instant now) {
  if (message.kind != RegistryKind::kAsk) {
    last_message_[from] = now;
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
      messages_.push_back(
          {from,
           {RegistryKind::kTable, registry_.All(), {}, registry_.digest()}});
      break;
    case RegistryKind::kAlive:
      CompareDigest(from, message.digest, now);
      break;
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
  if (digest == registry_.digest()) {
    has_table_ = true;
    return;
  }
  const auto [it, added] = last_ask_.try_emplace(from, now);
  if (!added && now - it->second < kAskInterval) {
    return;
  }
  it->second = now;
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

bool RegistryReplicator::ReportsTimedOut(const EndpointId& endpoint,
                                         Duration limit,
                                         Instant now) const {
  std::size_t control_vms = control_ ? 1 : 0;
  std::size_t reachable = control_vms;
  for (const auto& it : peers_) {
    if (!it.control) {
      continue;
    }
    ++control_vms;
    const auto last = last_message_.find(it.vm);
    reachable +=
        last != last_message_.end() && now - last->second < kControlTimeout ? 1
                                                                            : 0;
  }
  return reachable * 2 > control_vms &&
         now - registry_.LastReportAt(endpoint) > limit;
}

std::vector<OutgoingRegistry> RegistryReplicator::TakeMessages() {
  return std::exchange(messages_, {});
}

}  // namespace baobabrun
