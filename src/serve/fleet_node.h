// Connects this VM to the fleet. Runs membership and state replication on a
// thread of its own, and owns the transport between VMs and the control node.
// Passes each message from another VM to the module that handles its topic.
#ifndef SERVE_FLEET_NODE_H_
#define SERVE_FLEET_NODE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/latest.h"
#include "base/ring.h"
#include "base/thread.h"
#include "control/control_node.h"
#include "control/replica_planner.h"
#include "membership/directory.h"
#include "membership/fleet_membership.h"
#include "membership/peer_delay.h"
#include "membership/peer_transport.h"
#include "settings/process_settings.h"
#include "spread/state_replicator.h"

namespace baobabrun {

// What this VM knows about the other VMs.
struct FleetView {
  std::vector<MemberUpdate> members;  // the other VMs
  bool zone_isolated = false;         // no VM in another zone answers
  bool ready = false;                 // the state may be used to serve requests
};

// Called on the threads of FleetNode. None of them may block.
struct FleetNodeHooks {
  // Called when a new state is in force, with the times at which its weights,
  // and those before them, were named.
  std::function<void(FleetStatePtr state, std::vector<NamedWeightsAt> named)>
      on_state;
  // Called with keys that were withdrawn, possibly before the withdrawal is
  // committed.
  std::function<void(std::vector<KeyId> keys)> on_withdrawn;
  // Called when the view has changed.
  std::function<void(const FleetView& view)> on_view;
  // Called with all known VMs when the directory has added a VM. May be empty.
  std::function<void(const Directory& directory)> on_directory;
  // Called with each message whose topic the decision thread handles.
  std::function<void(PeerMessage message)> on_message;
};

class FleetNode {
 public:
  // Errors: ServeError::kCannotStart, with the reason as message.
  // `budget` bounds the messages between VMs; null for no bound in bytes.
  static Result<std::unique_ptr<FleetNode>> Start(
      const ProcessSettings& settings,
      FleetNodeHooks hooks,
      MemoryBudgetPtr budget = nullptr);
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  FleetNode& operator=(const FleetNode&) = delete;

  // Puts `state`, which was read from files, in force on a VM that has no
  // control group.
  void SetInitialState(FleetStatePtr state);
  // Queues a message for another VM. Returns false if it was dropped.
  bool Send(PeerMessage message);
  // See ControlNode::Propose. Without a control group the proposal isn't
  // accepted.
  void Propose(Proposal proposal, Instant deadline, const ProposalDone& done);
  // Withdraws `keys` on every VM that can be reached, without waiting until
  // the control log commits the withdrawal.
  void Withdraw(std::vector<KeyId> keys);
  // Returns the VMs that haven't confirmed that `version` is in force on them,
  // and sends them a query for their version.
  std::vector<VmId> Unconfirmed(StateVersion version);
  // Returns the VMs that haven't confirmed all withdrawals that this VM knows.
  std::vector<VmId> UnconfirmedWithdrawals() const;

  ControlStatus control_status() const;
  PeerTraffic traffic() const { return transport_->traffic(); }
  FleetView view() const;
  const Address& address() const { return transport_->bound(); }

  // Hands over the control leadership if this VM has it, stops the thread and
  // sends the other VMs a message that this VM leaves.
  void Stop();

 private:
  struct Committed {
    FleetStatePtr state;
    ChangeSet changes;
  };
  struct WithdrawKeys {
    std::vector<KeyId> keys;
  };
  // Wakes the thread after committed_ was set.
  struct Wake {};
  using NodeEvent = std::variant<PeerMessage, WithdrawKeys, Wake>;

  FleetNode(const ProcessSettings& settings,
            FleetNodeHooks hooks,
            const MemoryBudgetPtr& budget);
  Status StartTransport(const ProcessSettings& settings,
                        MemoryBudgetPtr budget);
  Status StartControl(const ProcessSettings& settings);
  void Route(PeerMessage message);
  void Run();
  void Handle(PeerMessage& event);
  void Handle(const Wake& event);
  // Hands a committed state over to the thread. Never fails: a newer state
  // takes the place of one that waits.
  void SetCommitted(Committed committed);
  void ApplyCommitted();
  void Handle(const WithdrawKeys& event);
  void Tick();
  void Add(const VmRecord& record);
  void Perform(const DirectoryActions& actions);
  void MaintainControlReplicas();
  void Perform(const MembershipActions& actions);
  void Perform(const StateReplicatorActions& actions);
  void ProposeEarlyWithdrawals();
  void CheckConfirmation();
  void PublishView();

  const SystemClock clock_;
  const VmId self_;
  const ZoneId zone_;
  const FleetNodeHooks hooks_;
  const Duration tick_;
  Ring<NodeEvent> events_;
  Latest<Committed> committed_;
  std::atomic<bool> control_running_{false};
  std::atomic<bool> stopped_{false};

  mutable std::mutex mutex_;  // guards the next five members
  std::unique_ptr<FleetMembership> membership_;
  std::unique_ptr<StateReplicator> replicator_;
  std::unique_ptr<Directory> directory_;  // null without discovery
  ReplicaPlanner planner_;
  FleetView view_;
  // The members below are used by the node's thread only.
  PeerDelayLog delay_log_{"fleet"};
  // The earliest time of the next proposal of early withdrawals.
  Instant next_proposal_;
  // A committed version that this VM checks as the control leader.
  struct PendingConfirmation {
    StateVersion version;
    Instant due;           // when to look who hasn't confirmed the version
    bool queried = false;  // whether these VMs were queried already
  };
  std::optional<PendingConfirmation> confirmation_;

  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<ControlNode> control_;  // null without a control group
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // SERVE_FLEET_NODE_H_
