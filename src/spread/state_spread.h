// Decides how the fleet's committed state and withdrawals reach every VM.
//
// A new version goes from each control replica to a relay in every other
// region, from there to one VM of each zone, and from there to its zone mates.
// What is lost on the way is repaired by comparing versions on heartbeats: a VM
// that is behind asks for the change sets that it lacks, or the whole state. A
// VM never goes back to an older version.
//
// Withdrawals of keys also go ahead of the committed state, from every VM that
// learns of one to all its neighbours, so that they spread inside a zone that
// is cut off from the control group.
//
// No clock, thread or socket: call Tick often, at least each 50 ms.
#ifndef SPREAD_STATE_SPREAD_H_
#define SPREAD_STATE_SPREAD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "membership/fleet_membership.h"
#include "settings/process_settings.h"
#include "spread/spread_message.h"

namespace baobabrun {

struct SpreadOptions {
  VmId self;
  ZoneId zone;
  RegionId region;
  std::vector<PeerSettings> fleet;  // may list this VM too
  // Whether a VM seems up; messages to others are spared.
  std::function<bool(const VmId& vm)> alive;
};

struct OutgoingSpread {
  VmId to;
  SpreadMessage message;
};

// What to do after an input.
struct SpreadActions {
  std::vector<OutgoingSpread> send;
  FleetStatePtr in_force;        // set if a newer state came into force
  std::vector<KeyId> withdrawn;  // learnt of just now
};

class StateSpread {
 public:
  // `state` is what this VM kept on its disk, or null. `withdrawn` are
  // withdrawals that it kept besides.
  StateSpread(SpreadOptions options,
              FleetStatePtr state,
              const std::vector<KeyId>& withdrawn,
              Instant now);

  // Takes a VM into the fleet; one that is known gets new settings.
  void Add(const PeerSettings& peer);

  // This VM's replica of the control log committed `changes`, which lead to
  // `state`.
  SpreadActions Committed(const ChangeSet& changes,
                          FleetStatePtr state,
                          Instant now);
  // An operator withdrew `keys` at this VM.
  SpreadActions Withdraw(const std::vector<KeyId>& keys, Instant now);
  // A heartbeat told another VM's version.
  SpreadActions Heard(const HeardVersion& heard, Instant now);
  SpreadActions Receive(const VmId& from,
                        const SpreadMessage& message,
                        Instant now);
  SpreadActions Tick(Instant now);

  // Asks all VMs that haven't confirmed `version` for theirs.
  SpreadActions Query(StateVersion version) const;
  // VMs of the fleet not known to have `version`, or a later one, in force.
  std::vector<VmId> Unconfirmed(StateVersion version) const;
  // VMs of the fleet not known to have the same withdrawals as this one.
  std::vector<VmId> UnconfirmedWithdrawals() const;

  // Null while this VM knows nothing.
  FleetStatePtr state() const { return state_; }
  StateVersion version() const;
  std::uint64_t withdrawn_digest() const { return withdrawn_digest_; }
  // Withdrawn keys that the committed state doesn't show as withdrawn. A VM
  // with a disk keeps them.
  std::vector<KeyId> EarlyWithdrawals() const;
  // Of these, what the control leader should propose: keys that the state has,
  // known for a while, since the operator's own proposal comes first.
  std::vector<KeyId> DueWithdrawals(Instant now) const;
  // Whether this VM may serve: it has a state, has listened to the others for a
  // moment, and none that it heard is ahead of it.
  bool Ready(Instant now) const;

 private:
  struct Peer {
    PeerSettings settings;
    StateVersion version;
    std::uint64_t withdrawn_digest = 0;
    bool heard = false;
    Instant withdrawals_sent;
  };
  struct HistoryEntry {
    StateVersion version;  // to which `changes` lead
    ChangeSet changes;
  };

  void Note(const VmId& vm, StateVersion version, std::uint64_t digest);
  void Adopt(FleetStatePtr state);
  void Remember(StateVersion version, const ChangeSet& changes);
  void TakeChanges(const SpreadMessage& message);
  // Learns `keys`; those new to this VM are added to `actions` and passed on.
  void Learn(const std::vector<KeyId>& keys,
             Instant now,
             SpreadActions& actions);
  void LearnCommitted(SpreadActions& actions);
  // Sends what follows `base` to the VMs whose turn it is after `source`.
  void Forward(const PeerSettings* source,
               StateVersion base,
               SpreadActions& actions);
  void AskIfBehind(const VmId& vm,
                   StateVersion version,
                   Instant now,
                   SpreadActions& actions);
  VmId ChooseAnswerer(const VmId& vm);
  void CompareWithdrawals(Peer& peer, Instant now, SpreadActions& actions);

  bool Alive(const VmId& vm) const;
  // One VM of each group that `group_of` names, by rendezvous hash.
  std::vector<VmId> OneOfEach(
      const std::function<std::string(const PeerSettings&)>& group_of) const;
  std::vector<VmId> ZoneMates() const;
  std::vector<VmId> ZoneRelays() const;
  std::vector<VmId> RegionRelays() const;
  SpreadMessage Compose(SpreadKind kind) const;
  SpreadMessage ComposePush(StateVersion base) const;

  const SpreadOptions options_;
  const Instant started_;
  FleetStatePtr state_;               // its version never falls
  std::deque<HistoryEntry> history_;  // without gaps, ends at the version
  std::set<KeyId> withdrawn_;         // only grows
  // Of these, those not withdrawn in state_, and since when.
  std::map<KeyId, Instant> early_;
  std::uint64_t withdrawn_digest_ = 0;
  std::map<VmId, Peer> peers_;
  std::optional<Instant> asked_;  // when the last question was sent
  std::size_t questions_ = 0;     // since the last answer that helped
};

}  // namespace baobabrun

#endif  // SPREAD_STATE_SPREAD_H_
