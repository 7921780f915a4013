// The thread that runs the decisions of a VM that serves by a manifest. It
// takes events from a bounded queue and performs the resulting actions on
// callers' connections, the client for endpoints and the control log.
#ifndef GATEWAY_GATEWAY_LOOP_H_
#define GATEWAY_GATEWAY_LOOP_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/latest.h"
#include "base/ring.h"
#include "base/thread.h"
#include "callers/http_exchange.h"
#include "endpoints/surplus.h"
#include "gateway/call_session.h"
#include "gateway/control_handler.h"
#include "gateway/dialect.h"
#include "gateway/gateway.h"
#include "membership/peer_delay.h"
#include "membership/peer_message.h"
#include "registry/registry_replicator.h"
#include "relay/relay_client.h"

namespace baobabrun {

struct CallEvent {
  GatewayCallPtr call;
  HttpExchangePtr exchange;
};
struct CallerDisconnectedEvent {
  RequestId request;
};
// Makes the loop look at values that were set outside the queue.
struct WakeEvent {};
// All known VMs except this one.
struct FleetPeers {
  std::vector<RegistryReplicator::Peer> peers;
  std::vector<EntryPeer> other_entries;
  std::size_t entries = 1;
};
struct ControlCallEvent {
  ControlCall call;
  HttpExchangePtr exchange;
};
struct ChangeProposedEvent {
  std::uint64_t serial = 0;
  ProposalResult result;
};
struct OrderAnswerEvent {
  EndpointId endpoint;
  OrderAnswer answer = OrderAnswer::kUnclear;
};
struct StatusEvent {
  EndpointId endpoint;
  Result<EndpointStatus> status;
};
struct CacheUpdateEvent {
  EndpointId endpoint;
  Result<CacheUpdate> update;
};
using GatewayEvent = std::variant<CallEvent,
                                  CallerDisconnectedEvent,
                                  AttemptProgress,
                                  AttemptResult,
                                  WakeEvent,
                                  PeerMessage,
                                  ControlCallEvent,
                                  ChangeProposedEvent,
                                  OrderAnswerEvent,
                                  StatusEvent,
                                  CacheUpdateEvent,
                                  EndpointNotice,
                                  Surplus>;

// Functions of the rest of the process that the loop calls; none may block.
struct GatewayLoopHooks {
  SendToPeer send;
  std::function<void(Proposal proposal, Instant deadline, ProposalDone done)>
      propose;
  // The term in which this VM leads the control group and holds a lease; zero
  // if it doesn't.
  std::function<std::uint64_t()> led_term;
  // Stores a small file for the next start; not set on VMs without a disk.
  std::function<void(const std::string& name, std::string contents)> save_file;
};

// Names of the files that `save_file` stores.
inline constexpr char kEndpointsFile[] = "endpoints";
inline constexpr char kQuotasFile[] = "quotas";

struct GatewayLoopOptions {
  bool entry = false;    // accepts callers' calls
  bool control = false;  // accepts operators' calls and endpoints' reports
  GatewayOptions gateway;
  ControlHandlerOptions control_handler;
  // Bounds the answers to this VM's own requests. Null for no bound.
  MemoryBudgetPtr budget = nullptr;
  // Endpoints that this VM knew when it last stopped.
  std::vector<EndpointRecord> stored_endpoints;
};

class GatewayLoop {
 public:
  static Result<std::unique_ptr<GatewayLoop>> Start(GatewayLoopOptions options,
                                                    Dialect dialect,
                                                    GatewayLoopHooks hooks);
  // Stops the loop. Calls that are still open get no answer.
  ~GatewayLoop();
  GatewayLoop(const GatewayLoop&) = delete;
  GatewayLoop& operator=(const GatewayLoop&) = delete;

  // Returns false if the queue is full; the caller must then refuse the work.
  bool Push(GatewayEvent event) { return events_.TryPush(std::move(event)); }
  // Puts a newer state, or a newer list of VMs, in force. Unlike events, these
  // aren't lost when the queue is full, since nobody would send them again.
  // `named` tells when the state's weights, and those before them, were named.
  void SetState(FleetStatePtr state, std::vector<NamedWeightsAt> named = {});
  void SetPeers(FleetPeers fleet);
  // From now on, answers close their connections.
  void BeginDrain() { draining_ = true; }
  void Stop();

  const Dialect& dialect() const { return dialect_; }
  // Whether this VM has a manifest and the endpoint registry, and so can serve
  // calls.
  bool informed() const { return informed_; }
  std::size_t open_calls() const { return open_calls_; }
  // Events that wait for the decisions.
  std::size_t waiting_events() const { return events_.size(); }
  // The manifest in force; null before the first.
  ManifestViewPtr manifest() const;

 private:
  GatewayLoop(GatewayLoopOptions options,
              Dialect dialect,
              GatewayLoopHooks hooks);
  void Run();
  Duration WaitTime() const;
  void ApplyLatest();
  struct LatestState {
    FleetStatePtr state;
    std::vector<NamedWeightsAt> named;
  };
  void ApplyState(const LatestState& latest);
  void ApplyPeers(FleetPeers fleet);
  void RunPeriodicWork();
  void PerformAll();
  void SaveFiles(Instant now);

  void Handle(CallEvent& event);
  void Handle(const CallerDisconnectedEvent& event);
  void Handle(const AttemptProgress& event);
  void Handle(const AttemptResult& event);
  void Handle(const WakeEvent& event);
  void Handle(const PeerMessage& event);
  void Handle(const ControlCallEvent& event);
  void Handle(const ChangeProposedEvent& event);
  void Handle(const OrderAnswerEvent& event);
  void Handle(const StatusEvent& event);
  void Handle(const CacheUpdateEvent& event);
  void Handle(const EndpointNotice& event);
  void Handle(const Surplus& surplus);

  void Perform(SendCall& action);
  void Perform(const CancelSend& action);
  void Perform(const RefuseCall& action);
  void Perform(const DeliverFailure& action);
  void Perform(const AbortAnswer& action);
  void Perform(const CallDone& action);
  void Perform(const QueryCache& action);
  void Perform(const AnswerControl& action);
  void Perform(ProposeChange& action);
  void Perform(const SendOrder& action);
  void Perform(const QueryStatus& action);
  // Sends a request of this VM's own to `endpoint` and passes the body of its
  // answer to `done`. `idle_timeout` is the longest time without a byte.
  void CallEndpoint(const EndpointId& endpoint,
                    const Address& address,
                    EndpointCall call,
                    Duration idle_timeout,
                    const std::function<void(const RelayResult& end,
                                             std::string body)>& done);
  // Removes and returns the session of a call; null if the caller has
  // disconnected.
  CallSessionPtr TakeSession(RequestId request);

  const GatewayLoopOptions options_;
  const Dialect dialect_;
  const GatewayLoopHooks hooks_;
  const SystemClock clock_;
  PeerDelayLog delay_log_{"decisions"};  // used on the loop's thread
  std::atomic<bool> draining_{false};
  std::atomic<bool> informed_{false};
  std::atomic<std::size_t> open_calls_{0};
  mutable std::mutex manifest_mutex_;  // guards the next one
  ManifestViewPtr manifest_;

  // Accessed on the loop's thread only, from here to events_.
  RegistryReplicator endpoints_;
  std::unique_ptr<Gateway> gateway_;  // null unless this VM is an entry
  std::unique_ptr<ControlHandler>
      control_handler_;  // null unless this is a control VM
  std::uint64_t endpoint_changes_ = 0;
  std::uint64_t endpoint_changes_saved_ = 0;
  Instant next_save_;
  std::unordered_map<RequestId, CallSessionPtr> sessions_;
  std::map<std::uint64_t, HttpExchangePtr> control_calls_;
  std::uint64_t last_control_call_ = 0;
  std::uint64_t last_own_call_ = 0;

  Latest<LatestState> latest_state_;
  Latest<FleetPeers> latest_peers_;
  Ring<GatewayEvent> events_;
  std::unique_ptr<RelayClient> client_;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // GATEWAY_GATEWAY_LOOP_H_
