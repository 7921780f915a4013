// Replicates the fleet's committed state and the withdrawals of keys to every
// VM.
//
// Each control replica sends a new version to one VM in every other region.
// That VM forwards it to one VM of each zone of its region, which forwards it
// to the other VMs of its zone. Control VMs are chosen where there are any: an
// entry's calls would wait in its link behind copies of a large state. Lost
// messages are made up for by comparing
// versions on heartbeats: a VM that is behind requests the change sets that it
// lacks, and gets them or the whole state, whichever is smaller. A VM never
// goes back to an older version.
//
// What a VM holds for the others is bounded by the size of the state. Change
// sets that are larger than the state together aren't kept. A VM is sent
// nothing more until it has confirmed the last message, or asks; and if many
// VMs are behind at once, they are served in turn, as memory allows.
//
// Withdrawals of keys are also sent ahead of the committed state: a VM that
// gets a new one forwards it to all VMs of its zone and to one VM of each other
// zone and region. This way withdrawals also reach all VMs of a zone that is
// cut off from the control group.
//
// It has no clock, thread or socket of its own; the caller calls Tick often, at
// least every 50 ms.
#ifndef SPREAD_STATE_REPLICATOR_H_
#define SPREAD_STATE_REPLICATOR_H_

#include <cstddef>
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
#include "control/weights_history.h"
#include "membership/fleet_membership.h"
#include "settings/process_settings.h"
#include "spread/state_message.h"

namespace baobabrun {

struct StateReplicatorOptions {
  VmId self;
  ZoneId zone;
  RegionId region;
  std::vector<PeerSettings> fleet;  // may list this VM too
  // Whether a VM seems to be up. A VM that seems down isn't chosen to forward
  // messages to others if there is another choice. If empty, all VMs count as
  // up.
  std::function<bool(const VmId& vm)> alive;
  // Whether there is memory for messages of `bytes` in all. Asked before they
  // are composed; VMs for which there is none are served by a later Tick. If
  // empty, there always is.
  std::function<bool(std::size_t bytes)> has_room = nullptr;
};

struct OutgoingStateMessage {
  VmId to;
  StateMessage message;
};

// What the caller does after an input.
struct StateReplicatorActions {
  std::vector<OutgoingStateMessage> send;
  FleetStatePtr in_force;  // set if a newer state came into force
  VmId source;  // the VM that sent in_force; empty if this VM committed it
  std::vector<KeyId> withdrawn;  // withdrawals that are new to this VM
};

class StateReplicator {
 public:
  // `state` is the state stored on this VM's disk, or null. `withdrawn` are the
  // early withdrawals stored with it (see EarlyWithdrawals).
  StateReplicator(StateReplicatorOptions options,
                  FleetStatePtr state,
                  const std::vector<KeyId>& withdrawn,
                  Instant now);

  // Adds a VM to the fleet, or changes the settings of a known one.
  void Add(const PeerSettings& peer);

  // This VM's replica of the control log committed `changes`, which lead from
  // the state of the previous call to `state`. If `changes` is empty, they
  // aren't known.
  StateReplicatorActions Committed(const ChangeSet& changes,
                                   FleetStatePtr state,
                                   Instant now);
  // An operator withdrew `keys` at this VM.
  StateReplicatorActions Withdraw(const std::vector<KeyId>& keys, Instant now);
  // A heartbeat reported another VM's version.
  StateReplicatorActions OnPeerVersion(const PeerStateVersion& heard,
                                       Instant now);
  StateReplicatorActions Receive(const VmId& from,
                                 const StateMessage& message,
                                 Instant now);
  StateReplicatorActions Tick(Instant now);

  // Requests the version of all VMs that haven't confirmed `version`.
  StateReplicatorActions Query(StateVersion version) const;
  // VMs of the fleet that haven't reported `version` or a later one as in
  // force.
  std::vector<VmId> Unconfirmed(StateVersion version) const;
  // VMs that seem to be down.
  std::vector<VmId> DownVms() const;
  // VMs of the fleet that haven't reported the same withdrawals as this one.
  std::vector<VmId> UnconfirmedWithdrawals() const;

  // Null until this VM has a state.
  FleetStatePtr state() const { return state_; }
  // When the weights of the state were named, and those before them.
  const WeightsHistory& weights() const { return weights_; }
  StateVersion version() const;
  std::uint64_t withdrawn_digest() const { return withdrawn_digest_; }
  // Withdrawn keys that aren't withdrawn in this VM's committed state. A VM
  // with a disk stores them.
  std::vector<KeyId> EarlyWithdrawals() const;
  // Bytes of the change sets that are kept for VMs that are behind.
  std::size_t history_bytes() const { return history_bytes_; }
  // Those early withdrawals that the control leader should propose to the log:
  // keys that exist in the state and whose withdrawal has been known for a
  // while. The delay gives the operator's own proposal time to be committed.
  std::vector<KeyId> WithdrawalsToPropose(Instant now) const;
  // Whether this VM may serve: it has a state, it has waited a moment for the
  // others' versions, and no VM has reported a later version than its own.
  // After a limit of time a state is enough.
  bool Ready(Instant now) const;

 private:
  struct Peer {
    PeerSettings settings;
    StateVersion version;
    std::uint64_t withdrawn_digest = 0;
    bool heard = false;
    Instant heard_at;
    Instant withdrawals_sent;
    // The newest push to this VM. Until it is confirmed or `push_expires`, only
    // an ask leads to another one.
    StateVersion pushed;
    Instant pushed_at;
    Instant push_expires;
    std::optional<StateVersion> answered;  // the ask that it answered
    // The VM is in waiting_, and lacks the changes after `base`.
    bool waiting = false;
    bool asked = false;
    StateVersion base;
  };
  struct HistoryEntry {
    StateVersion version;  // the version that `changes` lead to
    ChangeSet changes;
    std::size_t bytes = 0;
  };

  void RecordPeer(const VmId& vm,
                  StateVersion version,
                  std::uint64_t digest,
                  Instant now);
  void AdvanceState(FleetStatePtr state, Instant now);
  void RecordAges(const std::vector<WeightsAge>& ages, Instant now);
  void AppendHistory(StateVersion version, const ChangeSet& changes);
  void ClearHistory();
  void ApplyChanges(const StateMessage& message, Instant now);
  // Records `keys` as withdrawn. Adds those new to this VM to `actions` and
  // forwards them to other VMs.
  void RecordWithdrawals(const std::vector<KeyId>& keys,
                         Instant now,
                         StateReplicatorActions& actions);
  void RecordCommittedWithdrawals(StateReplicatorActions& actions);
  // Sends the changes after `base` to the VMs to which this one forwards what
  // it got from `source`, or from its own control replica if `source` is null.
  void Forward(const PeerSettings* source,
               StateVersion base,
               Instant now,
               StateReplicatorActions& actions);
  // Queues a push of the changes after `base` to `peer`.
  void AwaitPush(Peer& peer, StateVersion base);
  void OnAsk(Peer& peer, StateVersion base, Instant now);
  static bool MayPush(const Peer& peer, Instant now);
  // Sends the queued pushes that are allowed now and for which there is memory.
  void SendPushes(Instant now, StateReplicatorActions& actions);
  bool HasRoom(std::size_t batch, std::size_t bytes) const;
  void AskIfBehind(const VmId& vm,
                   StateVersion version,
                   Instant now,
                   StateReplicatorActions& actions);
  VmId ChoosePeerToAsk(const VmId& vm);
  void CompareWithdrawals(Peer& peer,
                          Instant now,
                          StateReplicatorActions& actions);

  bool Alive(const VmId& vm) const;
  // Chooses one VM of each group by rendezvous hash, preferably one that is up.
  // `group_of` returns a VM's group, or an empty string if it is in none.
  std::vector<VmId> OnePeerPerGroup(
      const std::function<std::string(const PeerSettings&)>& group_of) const;
  std::vector<VmId> ZonePeers() const;
  std::vector<VmId> OnePeerPerZone() const;
  std::vector<VmId> OnePeerPerRegion() const;
  StateMessage Compose(StateMessageKind kind) const;
  // The size of the changes after `base`; null if they aren't all known, or if
  // the whole state is smaller.
  std::optional<std::size_t> ChangesSize(StateVersion base) const;
  std::size_t PushSize(StateVersion base) const;
  StateMessage ComposePush(StateVersion base, Instant now) const;

  const StateReplicatorOptions options_;
  const Instant started_;
  FleetStatePtr state_;          // its version never decreases
  std::size_t state_bytes_ = 0;  // of the encoded state
  WeightsHistory weights_;
  StateVersion committed_;  // of the newest call of Committed
  // Without gaps, up to the present version; never larger than the state.
  std::deque<HistoryEntry> history_;
  std::size_t history_bytes_ = 0;
  std::set<KeyId> withdrawn_;  // only grows
  // Those keys in withdrawn_ that aren't withdrawn in state_, with the time
  // when the withdrawal became known.
  std::map<KeyId, Instant> early_;
  std::uint64_t withdrawn_digest_ = 0;
  std::map<VmId, Peer> peers_;
  std::deque<VmId> waiting_;      // VMs that are to be sent a push, in turn
  std::optional<Instant> asked_;  // when the last kAsk was sent
  VmId asked_vm_;                 // to whom
  bool ask_accepted_ = false;     // it answered; the push may take longer
  std::size_t asks_sent_ = 0;     // kAsk messages since the state last advanced
};

}  // namespace baobabrun

#endif  // SPREAD_STATE_REPLICATOR_H_
