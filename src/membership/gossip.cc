// Encoding of membership messages.
#include "membership/gossip.h"

#include "membership/gossip.pb.h"
#include "membership/membership_error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<MemberState> kStateNames[] = {
    {MemberState::kAlive, "alive"},
    {MemberState::kSuspect, "suspect"},
    {MemberState::kGone, "gone"},
};
constexpr NameEntry<GossipKind> kKindNames[] = {
    {GossipKind::kPing, "ping"},   {GossipKind::kAck, "ack"},
    {GossipKind::kProbe, "probe"}, {GossipKind::kProbeAck, "probe-ack"},
    {GossipKind::kTable, "table"},
};

bool IsKnownState(std::uint32_t state) {
  return NameOf(static_cast<MemberState>(state)) != "unknown";
}

}  // namespace

std::string_view NameOf(MemberState state) {
  return NameOf<MemberState>(kStateNames, state);
}

std::string EncodeGossip(const GossipMessage& message) {
  wire::Gossip out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_incarnation(message.incarnation.value());
  out.set_target(message.target.value());
  out.set_target_incarnation(message.target_incarnation.value());
  for (const auto& it : message.updates) {
    auto* update = out.add_updates();
    update->set_vm(it.vm.value());
    update->set_state(static_cast<std::uint32_t>(it.state));
    update->set_incarnation(it.incarnation.value());
  }
  out.set_table_digest(message.table_digest);
  out.set_version(message.version.value());
  out.set_withdrawn_digest(message.withdrawn_digest);
  out.set_reaches_other_zone(message.reaches_other_zone);
  return out.SerializeAsString();
}

Result<GossipMessage> DecodeGossip(std::string_view bytes) {
  const Error malformed{MembershipError::kMalformed, "malformed gossip"};
  wire::Gossip in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return malformed;
  }
  GossipMessage message;
  message.kind = static_cast<GossipKind>(in.kind());
  if (NameOf<GossipKind>(kKindNames, message.kind) == "unknown") {
    return malformed;
  }
  message.incarnation = Incarnation(in.incarnation());
  message.target = VmId(in.target());
  message.target_incarnation = Incarnation(in.target_incarnation());
  for (const auto& it : in.updates()) {
    if (!IsKnownState(it.state())) {
      return malformed;
    }
    message.updates.push_back({VmId(it.vm()),
                               static_cast<MemberState>(it.state()),
                               Incarnation(it.incarnation())});
  }
  message.table_digest = in.table_digest();
  message.version = StateVersion(in.version());
  message.withdrawn_digest = in.withdrawn_digest();
  message.reaches_other_zone = in.reaches_other_zone();
  return message;
}

}  // namespace baobabrun
