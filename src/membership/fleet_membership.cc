// Failure detection and spreading of membership updates.
#include "membership/fleet_membership.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Timeouts and intervals below are in heartbeats.
constexpr int kAckTimeout = 1;
constexpr int kPingTimeout = 3;  // from the first ping until suspicion
constexpr int kSuspicionTimeout = 6;
constexpr int kIndirectPingTimeout = 4;
constexpr int kIsolationTimeout = 6;
// How long a report counts by which a VM of the same zone reaches other zones.
constexpr int kReachReportTimeout = 4;
constexpr int kTableInterval = 2;
constexpr int kPauseLimit = 2;

constexpr std::size_t kPingsPerRound = 4;
constexpr std::size_t kFailedRegionPingsPerRound = 4;
constexpr std::size_t kIndirectPingsPerProbe = 3;
constexpr std::size_t kMaxIndirectPings = 64;
constexpr std::size_t kTargetsPerZone = 2;
constexpr std::size_t kTargetsPerRegion = 1;
constexpr std::size_t kUpdatesPerMessage = 6;
constexpr int kSendsPerUpdate = 24;

bool Newer(const MemberUpdate& update,
           MemberState state,
           Incarnation incarnation) {
  return std::tie(update.incarnation, update.state) >
         std::tie(incarnation, state);
}

// Digests of members are combined by exclusive or, so that a changed one can be
// replaced without recomputing the others.
std::uint64_t DigestOf(const MemberUpdate& update) {
  const auto seed =
      update.incarnation.value() * 4 + static_cast<std::uint64_t>(update.state);
  return FastHash(update.vm.value(), seed);
}

}  // namespace

FleetMembership::FleetMembership(MembershipOptions options,
                                 std::mt19937_64 random,
                                 Instant now)
    : options_(std::move(options)),
      random_(random),
      incarnation_(options_.incarnation),
      last_tick_(now),
      next_round_(now),
      next_table_(now) {
  table_digest_ = DigestOf({options_.self, MemberState::kAlive, incarnation_});
  for (const auto& it : options_.fleet) {
    Add(it, now);
  }
  QueueUpdate({options_.self, MemberState::kAlive, incarnation_});
}

void FleetMembership::Add(const PeerSettings& peer, Instant now) {
  if (peer.vm == options_.self) {
    return;
  }
  targets_stale_ = true;
  if (auto* known = Find(peer.vm)) {
    known->peer = peer;
    return;
  }
  Member member;
  member.peer = peer;
  member.state_since = now;
  member.last_heard = member.last_ack = member.last_reached_other_zone = now;
  table_digest_ ^= DigestOf({peer.vm, member.state, member.incarnation});
  members_.emplace(peer.vm, std::move(member));
}

bool FleetMembership::SameZone(const Member& member) const {
  return member.peer.zone == options_.zone;
}

FleetMembership::Member* FleetMembership::Find(const VmId& vm) {
  const auto it = members_.find(vm);
  return it == members_.end() ? nullptr : &it->second;
}

Instant FleetMembership::HeartbeatsBefore(Instant now, int heartbeats) const {
  return now - heartbeats * options_.heartbeat;
}

void FleetMembership::SetLocalVersion(StateVersion version,
                                      std::uint64_t withdrawn_digest) {
  version_ = version;
  withdrawn_digest_ = withdrawn_digest;
}

MembershipActions FleetMembership::Tick(Instant now) {
  MembershipActions actions;
  if (leaving_) {
    return actions;
  }
  CompensateForPause(now);
  std::erase_if(indirect_pings_,
                [now](const auto& it) { return it.expires < now; });
  for (auto& [vm, member] : members_) {
    CheckPing(member, now, actions);
    CheckSuspicion(member, now, actions);
  }
  if (now >= next_round_) {
    next_round_ = now + options_.heartbeat;
    PingRound(now, actions);
  }
  return actions;
}

// A process that was stopped for a while received no messages meanwhile. That
// doesn't mean that the other VMs failed, so the pause isn't counted as their
// silence.
void FleetMembership::CompensateForPause(Instant now) {
  const auto pause = now - last_tick_;
  last_tick_ = now;
  if (pause <= kPauseLimit * options_.heartbeat) {
    return;
  }
  for (auto& [vm, member] : members_) {
    member.pinged.reset();
    member.state_since += pause;
  }
}

void FleetMembership::CheckPing(Member& member,
                                Instant now,
                                MembershipActions& actions) {
  if (!member.pinged) {
    return;
  }
  if (member.last_heard >= *member.pinged) {
    member.pinged.reset();
  } else if (!member.indirect_pings_requested &&
             *member.pinged <= HeartbeatsBefore(now, kAckTimeout)) {
    member.indirect_pings_requested = true;
    RequestIndirectPings(member, actions);
  } else if (*member.pinged <= HeartbeatsBefore(now, kPingTimeout)) {
    member.pinged.reset();
    if (member.state == MemberState::kAlive) {
      ApplyUpdate(member,
                  {member.peer.vm, MemberState::kSuspect, member.incarnation},
                  now, actions);
    }
  }
}

void FleetMembership::CheckSuspicion(Member& member,
                                     Instant now,
                                     MembershipActions& actions) {
  if (member.state == MemberState::kSuspect &&
      member.state_since <= HeartbeatsBefore(now, kSuspicionTimeout)) {
    ApplyUpdate(member,
                {member.peer.vm, MemberState::kGone, member.incarnation}, now,
                actions);
  }
}

void FleetMembership::RequestIndirectPings(const Member& member,
                                           MembershipActions& actions) {
  std::vector<VmId> others;
  for (const auto& [vm, it] : members_) {
    if (it.state == MemberState::kAlive && vm != member.peer.vm) {
      others.push_back(vm);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), kIndirectPingsPerProbe));
  for (const auto& it : others) {
    auto request = Compose(GossipKind::kProbe, it);
    request.message.target = member.peer.vm;
    actions.send.push_back(std::move(request));
  }
}

void FleetMembership::PingRound(Instant now, MembershipActions& actions) {
  if (targets_stale_) {
    ChooseTargets();
  }
  const auto count = std::min(kPingsPerRound, targets_.size());
  for (std::size_t n = 0; n < count; ++n) {
    if (next_target_ >= targets_.size()) {
      next_target_ = 0;
      std::shuffle(targets_.begin(), targets_.end(), random_);
    }
    Ping(members_.at(targets_[next_target_++]), now, actions);
  }
  PingFailedRegions(now, actions);
}

void FleetMembership::Ping(Member& member,
                           Instant now,
                           MembershipActions& actions) {
  if (!member.pinged) {
    member.pinged = now;
    member.indirect_pings_requested = false;
  }
  actions.send.push_back(Compose(GossipKind::kPing, member.peer.vm));
}

// If a target doesn't answer, its whole zone or region may be cut off, of which
// this VM regularly pings only a few VMs. Pings some more VMs of that region.
void FleetMembership::PingFailedRegions(Instant now,
                                        MembershipActions& actions) {
  std::set<RegionId> regions;
  for (const auto& vm : targets_) {
    const auto& it = members_.at(vm);
    if (it.state != MemberState::kAlive) {
      regions.insert(it.peer.region);
    }
  }
  std::vector<Member*> candidates;
  for (auto& [vm, it] : members_) {
    if (it.state == MemberState::kAlive && regions.contains(it.peer.region)) {
      candidates.push_back(&it);
    }
  }
  std::shuffle(candidates.begin(), candidates.end(), random_);
  candidates.resize(std::min(candidates.size(), kFailedRegionPingsPerRound));
  for (auto* it : candidates) {
    Ping(*it, now, actions);
  }
}

void FleetMembership::ChooseTargets() {
  targets_stale_ = false;
  targets_.clear();
  std::map<std::string, std::vector<const Member*>> zones;
  std::map<std::string, std::vector<const Member*>> regions;
  for (const auto& [vm, it] : members_) {
    if (SameZone(it)) {
      targets_.push_back(vm);
    } else if (it.peer.region == options_.region) {
      zones[it.peer.zone.value()].push_back(&it);
    } else {
      regions[it.peer.region.value()].push_back(&it);
    }
  }
  for (auto& [zone, members] : zones) {
    ChooseByHash(std::move(members), kTargetsPerZone);
  }
  for (auto& [region, members] : regions) {
    ChooseByHash(std::move(members), kTargetsPerRegion);
  }
  std::shuffle(targets_.begin(), targets_.end(), random_);
  next_target_ = 0;
}

// Adds `count` of `members` to the targets by rendezvous hash, with VMs that
// are gone ranked last. This way each VM has a different set of targets, which
// changes little when VMs join or leave.
void FleetMembership::ChooseByHash(std::vector<const Member*> members,
                                   std::size_t count) {
  const auto rank = [this](const Member* it) {
    return std::make_pair(
        it->state == MemberState::kGone,
        FastHash(options_.self.value() + "/" + it->peer.vm.value()));
  };
  std::sort(members.begin(), members.end(),
            [&rank](const auto* left, const auto* right) {
              return rank(left) < rank(right);
            });
  members.resize(std::min(members.size(), count));
  for (const auto* it : members) {
    targets_.push_back(it->peer.vm);
  }
}

MembershipActions FleetMembership::Receive(const VmId& from,
                                           const GossipMessage& message,
                                           Instant now) {
  MembershipActions actions;
  auto* member = Find(from);
  if (member == nullptr || leaving_) {
    return actions;
  }
  member->last_heard = now;
  if (message.kind == GossipKind::kAck) {
    member->last_ack = now;
  }
  if (message.reaches_other_zone) {
    member->last_reached_other_zone = now;
  }
  Merge({from, MemberState::kAlive, message.incarnation}, now, actions);
  for (const auto& it : message.updates) {
    Merge(it, now, actions);
  }
  actions.peer_versions.push_back(
      {from, message.version, message.withdrawn_digest});
  AnswerIndirectPings(*member, actions);
  Answer(*member, message, now, actions);
  return actions;
}

void FleetMembership::Answer(const Member& from,
                             const GossipMessage& message,
                             Instant now,
                             MembershipActions& actions) {
  switch (message.kind) {
    case GossipKind::kPing:
      AnswerPing(from, message, now, actions);
      break;
    case GossipKind::kProbe:
      PingOnBehalfOf(from.peer.vm, message.target, now, actions);
      break;
    case GossipKind::kProbeAck:
      if (auto* target = Find(message.target)) {
        target->last_heard = now;
        Merge({message.target, MemberState::kAlive, message.target_incarnation},
              now, actions);
      }
      break;
    case GossipKind::kAck:
    case GossipKind::kTable:
      break;
  }
}

void FleetMembership::AnswerPing(const Member& from,
                                 const GossipMessage& message,
                                 Instant now,
                                 MembershipActions& actions) {
  auto ack = Compose(GossipKind::kAck, from.peer.vm);
  if (message.incarnation < from.incarnation) {
    ack.message.updates.push_back({from.peer.vm, from.state, from.incarnation});
  }
  actions.send.push_back(std::move(ack));
  if (message.table_digest != table_digest_) {
    SendTable(from.peer.vm, now, actions);
  }
}

void FleetMembership::PingOnBehalfOf(const VmId& requester,
                                     const VmId& target,
                                     Instant now,
                                     MembershipActions& actions) {
  if (indirect_pings_.size() >= kMaxIndirectPings || Find(target) == nullptr) {
    return;
  }
  indirect_pings_.push_back(
      {target, requester, now + kIndirectPingTimeout * options_.heartbeat});
  actions.send.push_back(Compose(GossipKind::kPing, target));
}

void FleetMembership::AnswerIndirectPings(const Member& member,
                                          MembershipActions& actions) {
  std::erase_if(indirect_pings_, [&](const IndirectPing& it) {
    if (it.target != member.peer.vm) {
      return false;
    }
    auto answer = Compose(GossipKind::kProbeAck, it.requester);
    answer.message.target = it.target;
    answer.message.target_incarnation = member.incarnation;
    actions.send.push_back(std::move(answer));
    return true;
  });
}

void FleetMembership::SendTable(const VmId& to,
                                Instant now,
                                MembershipActions& actions) {
  if (now < next_table_) {
    return;
  }
  next_table_ = now + kTableInterval * options_.heartbeat;
  auto table = Compose(GossipKind::kTable, to);
  table.message.updates = Members();
  actions.send.push_back(std::move(table));
}

void FleetMembership::Merge(const MemberUpdate& update,
                            Instant now,
                            MembershipActions& actions) {
  if (update.vm == options_.self) {
    RefuteOwn(update);
    return;
  }
  auto* member = Find(update.vm);
  if (member != nullptr && Newer(update, member->state, member->incarnation)) {
    ApplyUpdate(*member, update, now, actions);
  }
}

// If an update reports this VM as suspect or gone, or with a higher
// incarnation, refutes it by raising this VM's incarnation above the one in the
// update.
void FleetMembership::RefuteOwn(const MemberUpdate& update) {
  if (Newer(update, MemberState::kAlive, incarnation_)) {
    const MemberUpdate old{options_.self, MemberState::kAlive, incarnation_};
    incarnation_ = Incarnation(update.incarnation.value() + 1);
    const MemberUpdate now{options_.self, MemberState::kAlive, incarnation_};
    table_digest_ ^= DigestOf(old) ^ DigestOf(now);
    QueueUpdate(now);
  }
}

void FleetMembership::ApplyUpdate(Member& member,
                                  const MemberUpdate& update,
                                  Instant now,
                                  MembershipActions& actions) {
  const bool was_gone = member.state == MemberState::kGone;
  table_digest_ ^= DigestOf({update.vm, member.state, member.incarnation}) ^
                   DigestOf(update);
  member.state = update.state;
  member.incarnation = update.incarnation;
  member.state_since = now;
  targets_stale_ |= was_gone || update.state == MemberState::kGone;
  QueueUpdate(update);
  actions.changes.push_back(update);
}

void FleetMembership::QueueUpdate(const MemberUpdate& update) {
  std::erase_if(pending_updates_, [&update](const auto& it) {
    return it.update.vm == update.vm;
  });
  pending_updates_.push_back({update, kSendsPerUpdate});
}

OutgoingGossip FleetMembership::Compose(GossipKind kind, const VmId& to) {
  OutgoingGossip out;
  out.to = to;
  auto& message = out.message;
  message.kind = kind;
  message.incarnation = incarnation_;
  message.version = version_;
  message.withdrawn_digest = withdrawn_digest_;
  message.table_digest = table_digest_;
  message.reaches_other_zone =
      std::any_of(members_.begin(), members_.end(), [this](const auto& it) {
        return !SameZone(it.second) &&
               it.second.last_ack >
                   HeartbeatsBefore(last_tick_, kIsolationTimeout);
      });
  const auto* member = Find(to);
  if (member != nullptr && member->state != MemberState::kAlive) {
    message.updates.push_back({to, member->state, member->incarnation});
  }
  const auto first = pending_updates_.size() > kUpdatesPerMessage
                         ? pending_updates_.size() - kUpdatesPerMessage
                         : 0;
  for (auto n = first; n < pending_updates_.size(); ++n) {
    message.updates.push_back(pending_updates_[n].update);
    --pending_updates_[n].sends_left;
  }
  std::erase_if(pending_updates_,
                [](const auto& it) { return it.sends_left <= 0; });
  return out;
}

MembershipActions FleetMembership::Leave() {
  MembershipActions actions;
  for (const auto& vm : targets_) {
    auto leave = Compose(GossipKind::kTable, vm);
    leave.message.updates = {{options_.self, MemberState::kGone, incarnation_}};
    actions.send.push_back(std::move(leave));
  }
  leaving_ = true;
  return actions;
}

std::vector<MemberUpdate> FleetMembership::Members() const {
  std::vector<MemberUpdate> all = {
      {options_.self, MemberState::kAlive, incarnation_}};
  for (const auto& [vm, it] : members_) {
    all.push_back({vm, it.state, it.incarnation});
  }
  return all;
}

Duration FleetMembership::StateAge(const VmId& vm, Instant now) const {
  const auto it = members_.find(vm);
  return it == members_.end() ? Duration::zero() : now - it->second.state_since;
}

MemberState FleetMembership::StateOf(const VmId& vm) const {
  if (vm == options_.self) {
    return MemberState::kAlive;
  }
  const auto it = members_.find(vm);
  return it == members_.end() ? MemberState::kGone : it->second.state;
}

std::vector<VmId> FleetMembership::ProbeTargets() const {
  return targets_;
}

bool FleetMembership::ZoneIsolated(Instant now) const {
  const auto limit = HeartbeatsBefore(now, kIsolationTimeout);
  const auto reach_report_limit = HeartbeatsBefore(now, kReachReportTimeout);
  bool has_other_zone = false;
  for (const auto& [vm, it] : members_) {
    has_other_zone |= !SameZone(it);
    const bool reached = SameZone(it)
                             ? it.last_reached_other_zone > reach_report_limit
                             : it.last_ack > limit;
    if (reached) {
      return false;
    }
  }
  return has_other_zone;
}

std::vector<ZoneId> FleetMembership::ReachableZones(Instant now) const {
  std::set<ZoneId> zones;
  if (ZoneIsolated(now)) {
    return {};
  }
  for (const auto& [vm, it] : members_) {
    if (!SameZone(it) && it.state == MemberState::kAlive) {
      zones.insert(it.peer.zone);
    }
  }
  return {zones.begin(), zones.end()};
}

}  // namespace baobabrun
