// Who is up.
#include "membership/fleet_membership.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

// In heartbeats.
constexpr int kAckTimeout = 1;
constexpr int kIndirectTimeout = 3;  // counted from the first ping
constexpr int kSuspicionTimeout = 6;
constexpr int kRelayTimeout = 4;
constexpr int kIsolationTimeout = 6;
constexpr int kClaimTimeout = 4;  // of a zone mate that reaches other zones
constexpr int kTableInterval = 2;
constexpr int kPauseLimit = 2;

constexpr std::size_t kPingsPerRound = 4;
constexpr std::size_t kWiderPingsPerRound = 4;
constexpr std::size_t kRelaysPerProbe = 3;
constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kTargetsPerZone = 2;
constexpr std::size_t kTargetsPerRegion = 1;
constexpr std::size_t kUpdatesPerMessage = 6;
constexpr int kSendingsPerUpdate = 24;

bool Newer(const MemberUpdate& update,
           MemberState state,
           Incarnation incarnation) {
  return std::tie(update.incarnation, update.state) >
         std::tie(incarnation, state);
}

// Digests of claims are joined by exclusive or, so that one can be replaced.
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
  Spread({options_.self, MemberState::kAlive, incarnation_});
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
  member.heard = member.acked = member.reaches_out = now;
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

Instant FleetMembership::Since(Instant now, int heartbeats) const {
  return now - heartbeats * options_.heartbeat;
}

void FleetMembership::SetLocal(StateVersion version,
                               std::uint64_t withdrawn_digest) {
  version_ = version;
  withdrawn_digest_ = withdrawn_digest;
}

MembershipActions FleetMembership::Tick(Instant now) {
  MembershipActions actions;
  if (leaving_) {
    return actions;
  }
  SkipPause(now);
  std::erase_if(relays_, [now](const auto& it) { return it.expires < now; });
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

// A process that was stopped for a while has heard nobody: that is its own
// silence, not theirs.
void FleetMembership::SkipPause(Instant now) {
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
  if (member.heard >= *member.pinged) {
    member.pinged.reset();
  } else if (!member.asked_others &&
             *member.pinged <= Since(now, kAckTimeout)) {
    member.asked_others = true;
    AskOthers(member, actions);
  } else if (*member.pinged <= Since(now, kIndirectTimeout)) {
    member.pinged.reset();
    if (member.state == MemberState::kAlive) {
      Set(member, {member.peer.vm, MemberState::kSuspect, member.incarnation},
          now, actions);
    }
  }
}

void FleetMembership::CheckSuspicion(Member& member,
                                     Instant now,
                                     MembershipActions& actions) {
  if (member.state == MemberState::kSuspect &&
      member.state_since <= Since(now, kSuspicionTimeout)) {
    Set(member, {member.peer.vm, MemberState::kGone, member.incarnation}, now,
        actions);
  }
}

void FleetMembership::AskOthers(const Member& member,
                                MembershipActions& actions) {
  std::vector<VmId> others;
  for (const auto& [vm, it] : members_) {
    if (it.state == MemberState::kAlive && vm != member.peer.vm) {
      others.push_back(vm);
    }
  }
  std::shuffle(others.begin(), others.end(), random_);
  others.resize(std::min(others.size(), kRelaysPerProbe));
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
  PingWider(now, actions);
}

void FleetMembership::Ping(Member& member,
                           Instant now,
                           MembershipActions& actions) {
  if (!member.pinged) {
    member.pinged = now;
    member.asked_others = false;
  }
  actions.send.push_back(Compose(GossipKind::kPing, member.peer.vm));
}

// Where a target fails, its whole zone or region may be cut off, of which this
// VM pings only a few: looks at the others too.
void FleetMembership::PingWider(Instant now, MembershipActions& actions) {
  std::set<RegionId> regions;
  for (const auto& vm : targets_) {
    const auto& it = members_.at(vm);
    if (it.state != MemberState::kAlive) {
      regions.insert(it.peer.region);
    }
  }
  std::vector<Member*> wider;
  for (auto& [vm, it] : members_) {
    if (it.state == MemberState::kAlive && regions.contains(it.peer.region)) {
      wider.push_back(&it);
    }
  }
  std::shuffle(wider.begin(), wider.end(), random_);
  wider.resize(std::min(wider.size(), kWiderPingsPerRound));
  for (auto* it : wider) {
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
    ChooseNearest(std::move(members), kTargetsPerZone);
  }
  for (auto& [region, members] : regions) {
    ChooseNearest(std::move(members), kTargetsPerRegion);
  }
  std::shuffle(targets_.begin(), targets_.end(), random_);
  next_target_ = 0;
}

// Adds `count` of `members` by rendezvous hash, those gone last: each VM has
// targets of its own, and they change little as VMs come and go.
void FleetMembership::ChooseNearest(std::vector<const Member*> members,
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
  member->heard = now;
  if (message.kind == GossipKind::kAck) {
    member->acked = now;
  }
  if (message.reaches_other_zone) {
    member->reaches_out = now;
  }
  Merge({from, MemberState::kAlive, message.incarnation}, now, actions);
  for (const auto& it : message.updates) {
    Merge(it, now, actions);
  }
  actions.heard.push_back({from, message.version, message.withdrawn_digest});
  ServeRelays(*member, actions);
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
      PingFor(from.peer.vm, message.target, now, actions);
      break;
    case GossipKind::kProbeAck:
      if (auto* target = Find(message.target)) {
        target->heard = now;
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

void FleetMembership::PingFor(const VmId& asker,
                              const VmId& target,
                              Instant now,
                              MembershipActions& actions) {
  if (relays_.size() >= kMaxRelays || Find(target) == nullptr) {
    return;
  }
  relays_.push_back({target, asker, now + kRelayTimeout * options_.heartbeat});
  actions.send.push_back(Compose(GossipKind::kPing, target));
}

void FleetMembership::ServeRelays(const Member& member,
                                  MembershipActions& actions) {
  std::erase_if(relays_, [&](const Relay& it) {
    if (it.target != member.peer.vm) {
      return false;
    }
    auto answer = Compose(GossipKind::kProbeAck, it.asker);
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
    MergeOwn(update);
    return;
  }
  auto* member = Find(update.vm);
  if (member != nullptr && Newer(update, member->state, member->incarnation)) {
    Set(*member, update, now, actions);
  }
}

// Refutes what others say of this VM, if it isn't that it lives.
void FleetMembership::MergeOwn(const MemberUpdate& update) {
  if (Newer(update, MemberState::kAlive, incarnation_)) {
    const MemberUpdate old{options_.self, MemberState::kAlive, incarnation_};
    incarnation_ = Incarnation(update.incarnation.value() + 1);
    const MemberUpdate now{options_.self, MemberState::kAlive, incarnation_};
    table_digest_ ^= DigestOf(old) ^ DigestOf(now);
    Spread(now);
  }
}

void FleetMembership::Set(Member& member,
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
  Spread(update);
  actions.changes.push_back(update);
}

void FleetMembership::Spread(const MemberUpdate& update) {
  std::erase_if(rumours_, [&update](const auto& it) {
    return it.update.vm == update.vm;
  });
  rumours_.push_back({update, kSendingsPerUpdate});
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
               it.second.acked > Since(last_tick_, kIsolationTimeout);
      });
  const auto* member = Find(to);
  if (member != nullptr && member->state != MemberState::kAlive) {
    message.updates.push_back({to, member->state, member->incarnation});
  }
  const auto first = rumours_.size() > kUpdatesPerMessage
                         ? rumours_.size() - kUpdatesPerMessage
                         : 0;
  for (auto n = first; n < rumours_.size(); ++n) {
    message.updates.push_back(rumours_[n].update);
    --rumours_[n].sendings;
  }
  std::erase_if(rumours_, [](const auto& it) { return it.sendings <= 0; });
  return out;
}

MembershipActions FleetMembership::Leave() {
  MembershipActions actions;
  for (const auto& vm : targets_) {
    auto farewell = Compose(GossipKind::kTable, vm);
    farewell.message.updates = {
        {options_.self, MemberState::kGone, incarnation_}};
    actions.send.push_back(std::move(farewell));
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
  const auto limit = Since(now, kIsolationTimeout);
  const auto claim_limit = Since(now, kClaimTimeout);
  bool others = false;
  for (const auto& [vm, it] : members_) {
    others |= !SameZone(it);
    const bool reached =
        SameZone(it) ? it.reaches_out > claim_limit : it.acked > limit;
    if (reached) {
      return false;
    }
  }
  return others;
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
