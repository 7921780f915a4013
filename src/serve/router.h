// The decisions of one VM's entry duty, all slices together: a request goes
// from the check of its key through the limits to an endpoint and to its end.
// No threads, sockets or clock: typed messages and `now` go in, actions come
// out.
#ifndef SERVE_ROUTER_H_
#define SERVE_ROUTER_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "keys/key_table.h"
#include "limits/limiter.h"
#include "membership/peer_message.h"
#include "orders/rollout.h"
#include "placement/dispatcher.h"
#include "requests/request.h"
#include "settings/declarations.h"

namespace baobabrun {

// Ends a request with a refusal.
struct RefuseRequest {
  RequestId request;
  Refusal refusal;
};
// Answers a request that needs no endpoint.
struct AnswerRequest {
  RequestId request;
  std::string json;
};
// The whole answer has been handed to the caller's session.
struct FinishRequest {
  RequestId request;
};
using RouterAction = std::variant<Dispatch,
                                  CancelAttempt,
                                  RefuseRequest,
                                  AnswerRequest,
                                  FinishRequest>;

struct RouterOptions {
  std::string key_salt;
  DispatcherOptions dispatcher;
  LimiterOptions limiter;
};

class Router {
 public:
  // Errors: those of the slices' own factories.
  static Result<std::unique_ptr<Router>> Create(RouterOptions options);

  // Each request that comes in ends by exactly one RefuseRequest, AnswerRequest
  // or FinishRequest, unless its caller is gone.
  void OnRequest(const CallerRequest& request, Instant now);
  void OnCallerGone(RequestId request, Instant now);
  void OnReport(const AttemptReport& report, Instant now);
  void OnAnnouncement(const Announcement& it, Instant now);
  // Ignores a state that isn't newer than the one in force.
  void OnState(FleetStatePtr state, Instant now);
  // Keys withdrawn, perhaps ahead of the committed state.
  void OnWithdrawn(const std::vector<KeyId>& keys, Instant now);
  // The other VMs that are up, and whether this zone is cut off from all
  // others.
  void OnMembers(std::vector<LimitsMember> alive, bool isolated, Instant now);
  // A message of topic kLimits or kPlacement; others are ignored.
  void OnMessage(const PeerMessage& message, Instant now);
  void BeginDrain();
  void Advance(Instant now);

  std::optional<Instant> NextEvent() const;
  std::vector<RouterAction> TakeActions();
  std::vector<PeerMessage> TakeMessages();

  FleetStatePtr state() const { return state_; }
  std::size_t open_requests() const { return open_.size(); }
  std::vector<EndpointView> Endpoints() const {
    return dispatcher_->Endpoints();
  }

 private:
  struct OpenRequest {
    RequestPtr request;
    bool limited = false;    // the limiter knows it
    bool submitted = false;  // the dispatcher has it; else it waits for tokens
  };

  Router(RouterOptions options,
         std::unique_ptr<Dispatcher> dispatcher,
         std::unique_ptr<Limiter> limiter);

  void UpdateRollout(Instant now);
  bool RefusedByIsolation(const Request& request);
  void Admit(const Request& request, Instant now);
  void TakeDecisions(Instant now);
  void OnDecision(const Decision& decision, Instant now);
  void Submit(RequestId request, Instant now);
  void GiveUp(RequestId request, RefusalReason reason, Instant now);
  void Refuse(RequestId request, Refusal refusal);
  void TakeDispatcherActions(Instant now);
  void OnOver(const RequestOver& over, Instant now);
  void Settle(const RequestOver& over, Instant now);
  void Broadcast(const std::string& payload);
  void EndRequestsOf(const std::vector<KeyId>& withdrawn, Instant now);

  const VmId self_;
  const ZoneId zone_;
  KeyTable keys_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<Limiter> limiter_;
  std::vector<LimitsMember> alive_;  // without this VM
  bool isolated_ = false;
  Rollout rollout_;
  Instant next_rollout_;
  FleetStatePtr state_;  // null until the first one; its version only grows
  std::unordered_map<RequestId, OpenRequest> open_;
  std::vector<RouterAction> actions_;
  std::vector<PeerMessage> messages_;
};

}  // namespace baobabrun

#endif  // SERVE_ROUTER_H_
