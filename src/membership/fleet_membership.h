// Decides which VMs are up, by a protocol like SWIM. A VM pings a few VMs in
// turn. If one doesn't answer, other VMs are asked to ping it before it becomes
// suspect, and it stays suspect for a while before it counts as gone. A VM
// refutes a suspicion by raising its incarnation. Updates are piggybacked on
// the pings and other messages.
//
// A VM pings all VMs of its own zone, a few of each other zone of its region,
// and one of each other region, so its load doesn't grow with the fleet. Each
// ping carries a digest of the member table; if the receiver's digest differs,
// it sends its whole table. This way the two sides of a partition agree again
// after it ends.
//
// It has no clock, thread or socket of its own; the caller calls Tick often, at
// least every half heartbeat.
#ifndef MEMBERSHIP_FLEET_MEMBERSHIP_H_
#define MEMBERSHIP_FLEET_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/gossip.h"
#include "settings/process_settings.h"

namespace baobabrun {

struct MembershipOptions {
  VmId self;
  ZoneId zone;
  RegionId region;
  // Above zero. It should be larger than in earlier runs of this VM; if the
  // clock was set back and it isn't, it is raised when others report a higher
  // one.
  Incarnation incarnation;
  std::vector<PeerSettings> fleet;  // may list this VM too
  Duration heartbeat = milliseconds(250);
};

// A message to send.
struct OutgoingGossip {
  VmId to;
  GossipMessage message;
};

// The version of the fleet's state that a VM reported as in force there.
struct PeerStateVersion {
  VmId vm;
  StateVersion version;
  std::uint64_t withdrawn_digest = 0;
};

// What the caller does after an input, in this order.
struct MembershipActions {
  std::vector<OutgoingGossip> send;
  std::vector<MemberUpdate> changes;  // of other VMs' states in this VM's view
  std::vector<PeerStateVersion> peer_versions;
};

class FleetMembership {
 public:
  FleetMembership(MembershipOptions options,
                  std::mt19937_64 random,
                  Instant now);

  // Adds a VM to the fleet, or changes the settings of a known one.
  void Add(const PeerSettings& peer, Instant now);

  MembershipActions Tick(Instant now);
  MembershipActions Receive(const VmId& from,
                            const GossipMessage& message,
                            Instant now);
  // Tells the pinged VMs that this VM leaves. It answers no pings afterwards.
  MembershipActions Leave();

  // Sets the version and digest that the next messages report for this VM.
  void SetLocalVersion(StateVersion version, std::uint64_t withdrawn_digest);

  // Returns kAlive for this VM and kGone for a VM that isn't known.
  MemberState StateOf(const VmId& vm) const;
  std::vector<MemberUpdate> Members() const;
  // How long `vm` has been in its present state.
  Duration StateAge(const VmId& vm, Instant now) const;
  // The VMs that this one pings in turn.
  std::vector<VmId> ProbeTargets() const;
  // True if this VM lately got no answer from a VM of another zone, and no VM
  // of its own zone lately reported that it did. False if there is no other
  // zone.
  bool ZoneIsolated(Instant now) const;
  // Other zones with at least one alive VM; empty if this zone is isolated.
  std::vector<ZoneId> ReachableZones(Instant now) const;
  Incarnation incarnation() const { return incarnation_; }

 private:
  struct Member {
    PeerSettings peer;
    MemberState state = MemberState::kSuspect;  // until its first message
    Incarnation incarnation;
    Instant state_since;
    Instant last_heard;  // last message from it or indirect ping answered by it
    Instant last_ack;    // last answer to this VM's own ping
    // When it last reported that it reaches another zone.
    Instant last_reached_other_zone;
    std::optional<Instant> pinged;          // set while a ping is unanswered
    bool indirect_pings_requested = false;  // for that ping
  };
  // A ping sent on behalf of another VM.
  struct IndirectPing {
    VmId target;
    VmId requester;
    Instant expires;
  };
  // An update that is still piggybacked on messages.
  struct PendingUpdate {
    MemberUpdate update;
    int sends_left = 0;
  };

  bool SameZone(const Member& member) const;
  Member* Find(const VmId& vm);
  Instant HeartbeatsBefore(Instant now, int heartbeats) const;

  void CompensateForPause(Instant now);
  void CheckPing(Member& member, Instant now, MembershipActions& actions);
  void CheckSuspicion(Member& member, Instant now, MembershipActions& actions);
  void RequestIndirectPings(const Member& member, MembershipActions& actions);
  void PingRound(Instant now, MembershipActions& actions);
  void Ping(Member& member, Instant now, MembershipActions& actions);
  void PingFailedRegions(Instant now, MembershipActions& actions);
  void ChooseTargets();
  void ChooseByHash(std::vector<const Member*> members, std::size_t count);

  void Answer(const Member& from,
              const GossipMessage& message,
              Instant now,
              MembershipActions& actions);
  void AnswerPing(const Member& from,
                  const GossipMessage& message,
                  Instant now,
                  MembershipActions& actions);
  void PingOnBehalfOf(const VmId& requester,
                      const VmId& target,
                      Instant now,
                      MembershipActions& actions);

  void Merge(const MemberUpdate& update,
             Instant now,
             MembershipActions& actions);
  void RefuteOwn(const MemberUpdate& update);
  void ApplyUpdate(Member& member,
                   const MemberUpdate& update,
                   Instant now,
                   MembershipActions& actions);
  void QueueUpdate(const MemberUpdate& update);
  void AnswerIndirectPings(const Member& member, MembershipActions& actions);
  void SendTable(const VmId& to, Instant now, MembershipActions& actions);
  // Returns a message of `kind` to `to`. It carries the latest pending updates
  // and, if `to` isn't alive in this VM's view, the update that says so.
  OutgoingGossip Compose(GossipKind kind, const VmId& to);

  const MembershipOptions options_;
  std::mt19937_64 random_;
  Incarnation incarnation_;  // never decreases
  bool leaving_ = false;
  StateVersion version_;
  std::uint64_t withdrawn_digest_ = 0;

  std::map<VmId, Member> members_;  // without this VM
  std::uint64_t table_digest_ = 0;  // of Members()
  std::vector<VmId> targets_;       // pinged in turn
  std::size_t next_target_ = 0;
  bool targets_stale_ = true;
  std::vector<IndirectPing> indirect_pings_;
  // Newest last, at most one per VM.
  std::vector<PendingUpdate> pending_updates_;
  Instant last_tick_;
  Instant next_round_;
  Instant next_table_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_FLEET_MEMBERSHIP_H_
