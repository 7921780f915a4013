// This VM's part in the fleet: the thread around membership and the spread of
// state, the transport between VMs, and the control duty. Routes every message
// between VMs to the slice it belongs to.
#ifndef SERVE_FLEET_LINK_H_
#define SERVE_FLEET_LINK_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ring.h"
#include "base/thread.h"
#include "control/control_node.h"
#include "control/replica_planner.h"
#include "membership/directory.h"
#include "membership/fleet_membership.h"
#include "membership/peer_transport.h"
#include "settings/process_settings.h"
#include "spread/state_replicator.h"

namespace baobabrun {

// What this VM knows of the others.
struct FleetView {
  std::vector<MemberUpdate> members;  // the other VMs
  bool zone_isolated = false;         // no VM of another zone answers
  bool ready = false;                 // the state is fit to serve with
};

// Called on the link's threads; none may block.
struct FleetLinkHooks {
  std::function<void(FleetStatePtr state)> on_state;
  // Keys withdrawn, perhaps ahead of the committed state.
  std::function<void(std::vector<KeyId> keys)> on_withdrawn;
  // Whenever something of the view changed.
  std::function<void(const FleetView& view)> on_view;
  // Whenever a VM was found that this one didn't know; all that are known.
  std::function<void(const Directory& directory)> on_directory;
  // Messages of the topics that the decision thread handles.
  std::function<void(PeerMessage message)> on_message;
};

class FleetLink {
 public:
  // Errors: ServeError::kCannotStart, with the reason.
  static Result<std::unique_ptr<FleetLink>> Start(
      const ProcessSettings& settings,
      FleetLinkHooks hooks);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  // For a VM without control group: the state it has from its files.
  void Seed(FleetStatePtr state);
  // Queues a message for another VM; false if it was dropped.
  bool Send(PeerMessage message);
  // See ControlNode::Propose. Without a control group it isn't accepted.
  void Propose(Proposal proposal, Instant deadline, const ProposalDone& done);
  // Withdraws at once on every VM that can be reached, ahead of the log.
  void Withdraw(std::vector<KeyId> keys);
  // VMs that haven't confirmed that `version` is in force there; also asks
  // them.
  std::vector<VmId> Unconfirmed(StateVersion version);
  // VMs that haven't confirmed all withdrawals that this one knows.
  std::vector<VmId> UnconfirmedWithdrawals() const;

  ControlStatus control_status() const;
  PeerTraffic traffic() const { return transport_->traffic(); }
  FleetView view() const;
  const Address& address() const { return transport_->bound(); }

  // Hands control leadership over and tells the others that this VM goes.
  void Stop();

 private:
  struct Committed {
    FleetStatePtr state;
    ChangeSet changes;
  };
  struct WithdrawKeys {
    std::vector<KeyId> keys;
  };
  using LinkEvent = std::variant<PeerMessage, Committed, WithdrawKeys>;

  FleetLink(const ProcessSettings& settings, FleetLinkHooks hooks);
  Status StartTransport(const ProcessSettings& settings);
  Status StartControl(const ProcessSettings& settings);
  void Route(PeerMessage message);
  void Run();
  void Handle(PeerMessage& event);
  void Handle(Committed& event);
  void Handle(const WithdrawKeys& event);
  void Tick();
  void Add(const VmRecord& record);
  void Perform(const DirectoryActions& actions);
  void KeepReplicas();
  void Perform(const MembershipActions& actions);
  void Perform(const StateReplicatorActions& actions);
  void ProposeEarlyWithdrawals();
  void PublishView();

  const SystemClock clock_;
  const VmId self_;
  const ZoneId zone_;
  const FleetLinkHooks hooks_;
  const Duration tick_;
  Ring<LinkEvent> events_;
  std::atomic<bool> control_running_{false};
  std::atomic<bool> stopped_{false};

  mutable std::mutex mutex_;  // guards the next five
  std::unique_ptr<FleetMembership> membership_;
  std::unique_ptr<StateReplicator> replicator_;
  std::unique_ptr<Directory> directory_;  // null with a fixed fleet
  ReplicaPlanner planner_;
  FleetView view_;
  Instant next_proposal_;  // of early withdrawals; the link's thread only

  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<ControlNode> control_;  // null without a control group
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // SERVE_FLEET_LINK_H_
