// Decides which VMs are up, in the manner of SWIM: pings to a few VMs in turn,
// pings through others before suspicion, suspicion before removal, refutation
// by a raised incarnation, and claims passed on with the pings.
//
// A VM pings all VMs of its own zone, a few of each other zone of its region,
// and one of each other region, so its load doesn't grow with the fleet. A
// digest of all claims goes with each ping; where two differ, the whole table
// is sent, which heals what a partition left apart.
//
// No clock, thread or socket: call Tick often, at least each half heartbeat.
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
  // Above zero and larger than in an earlier life, if the clock allows it; if
  // not, the others' answers raise it.
  Incarnation incarnation;
  std::vector<PeerSettings> fleet;  // may list this VM too
  Duration heartbeat = milliseconds(250);
};

// A message to send.
struct OutgoingGossip {
  VmId to;
  GossipMessage message;
};

// What a VM said of its copy of the fleet's state.
struct HeardVersion {
  VmId vm;
  StateVersion version;
  std::uint64_t withdrawn_digest = 0;
};

// What to do after an input, in order.
struct MembershipActions {
  std::vector<OutgoingGossip> send;
  std::vector<MemberUpdate> changes;  // of this VM's view
  std::vector<HeardVersion> heard;
};

class FleetMembership {
 public:
  FleetMembership(MembershipOptions options,
                  std::mt19937_64 random,
                  Instant now);

  // Takes a VM into the fleet; one that is known gets new settings.
  void Add(const PeerSettings& peer, Instant now);

  MembershipActions Tick(Instant now);
  MembershipActions Receive(const VmId& from,
                            const GossipMessage& message,
                            Instant now);
  // Tells the others that this VM goes. It answers no more pings.
  MembershipActions Leave();

  // What the next messages say of this VM's copy of the fleet's state.
  void SetLocal(StateVersion version, std::uint64_t withdrawn_digest);

  // This VM is alive to itself; a VM that isn't listed is gone.
  MemberState StateOf(const VmId& vm) const;
  std::vector<MemberUpdate> Members() const;
  // How long `vm` has been in its state.
  Duration StateAge(const VmId& vm, Instant now) const;
  // The VMs that this one pings.
  std::vector<VmId> ProbeTargets() const;
  // True if no VM of this zone, as far as this one hears, got an answer from
  // any VM of another zone lately. False where there is no other zone.
  bool ZoneIsolated(Instant now) const;
  // Other zones with at least one VM alive; none if this zone is isolated.
  std::vector<ZoneId> ReachableZones(Instant now) const;
  Incarnation incarnation() const { return incarnation_; }

 private:
  struct Member {
    PeerSettings peer;
    MemberState state = MemberState::kSuspect;  // until heard from
    Incarnation incarnation;
    Instant state_since;
    Instant heard;        // last sign of life, direct or through another VM
    Instant acked;        // last answer to this VM's own ping
    Instant reaches_out;  // last said that it reaches another zone
    std::optional<Instant> pinged;  // set while a ping waits for a sign of life
    bool asked_others = false;      // about the ping above
  };
  // A ping made for another VM.
  struct Relay {
    VmId target;
    VmId asker;
    Instant expires;
  };
  // A claim that still goes with messages.
  struct Rumour {
    MemberUpdate update;
    int sendings = 0;  // left
  };

  bool SameZone(const Member& member) const;
  Member* Find(const VmId& vm);
  Instant Since(Instant now, int heartbeats) const;

  void SkipPause(Instant now);
  void CheckPing(Member& member, Instant now, MembershipActions& actions);
  void CheckSuspicion(Member& member, Instant now, MembershipActions& actions);
  void AskOthers(const Member& member, MembershipActions& actions);
  void PingRound(Instant now, MembershipActions& actions);
  void Ping(Member& member, Instant now, MembershipActions& actions);
  void PingWider(Instant now, MembershipActions& actions);
  void ChooseTargets();
  void ChooseNearest(std::vector<const Member*> members, std::size_t count);

  void Answer(const Member& from,
              const GossipMessage& message,
              Instant now,
              MembershipActions& actions);
  void AnswerPing(const Member& from,
                  const GossipMessage& message,
                  Instant now,
                  MembershipActions& actions);
  void PingFor(const VmId& asker,
               const VmId& target,
               Instant now,
               MembershipActions& actions);

  void Merge(const MemberUpdate& update,
             Instant now,
             MembershipActions& actions);
  void MergeOwn(const MemberUpdate& update);
  void Set(Member& member,
           const MemberUpdate& update,
           Instant now,
           MembershipActions& actions);
  void Spread(const MemberUpdate& update);
  void ServeRelays(const Member& member, MembershipActions& actions);
  void SendTable(const VmId& to, Instant now, MembershipActions& actions);
  // A message of `kind` to `to`, with claims that concern it or are new.
  OutgoingGossip Compose(GossipKind kind, const VmId& to);

  const MembershipOptions options_;
  std::mt19937_64 random_;
  Incarnation incarnation_;  // only rises
  bool leaving_ = false;
  StateVersion version_;
  std::uint64_t withdrawn_digest_ = 0;

  std::map<VmId, Member> members_;  // without this VM
  std::uint64_t table_digest_ = 0;  // of Members()
  std::vector<VmId> targets_;       // pinged in turn
  std::size_t next_target_ = 0;
  bool targets_stale_ = true;
  std::vector<Relay> relays_;
  std::vector<Rumour> rumours_;  // newest last, one a VM
  Instant last_tick_;
  Instant next_round_;
  Instant next_table_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_FLEET_MEMBERSHIP_H_
