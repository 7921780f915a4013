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
#include "limits/bulkheads.h"
#include "limits/limiter.h"
#include "membership/peer_message.h"
#include "metrics/metrics.h"
#include "once/once_guard.h"
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
  WholeAnswer answer;
};
// Proposes the record of a call that runs at most once. The result goes to
// OnProposed with the same kind and number.
enum class OnceRecord { kBegin, kEnd };
struct ProposeRecord {
  OnceRecord kind = OnceRecord::kBegin;
  std::uint64_t number = 0;
  Proposal proposal;
  Instant deadline;
};
// The whole answer has been handed to the caller's session.
struct FinishRequest {
  RequestId request;
};
using RouterAction = std::variant<Dispatch,
                                  CancelAttempt,
                                  RefuseRequest,
                                  AnswerRequest,
                                  ProposeRecord,
                                  FinishRequest>;

struct RouterOptions {
  std::string key_salt;
  DispatcherOptions dispatcher;
  LimiterOptions limiter;
  OnceGuardOptions once;
  // Where observations go; must outlive the router. Null: nowhere.
  Metrics* metrics = nullptr;
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
  void OnProposed(OnceRecord kind,
                  std::uint64_t number,
                  const ProposalResult& result,
                  Instant now);
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
    BudgetReservation place;  // among all open requests
    BudgetReservation bytes;  // of its body
    bool limited = false;     // the limiter knows it
    bool submitted = false;   // the dispatcher has it
    bool recording = false;   // the log is asked to record that it begins
    bool dispatched = false;
    std::shared_ptr<const WholeAnswer> answer;  // of a call that runs once
    Instant last_progress;
  };

  Router(RouterOptions options,
         std::unique_ptr<Dispatcher> dispatcher,
         std::unique_ptr<Limiter> limiter);

  void UpdateRollout(Instant now);
  bool RefusedByIsolation(const Request& request);
  bool TakePlace(const RequestPtr& request);
  void Admit(const Request& request, Instant now);
  void TakeDecisions(Instant now);
  void OnDecision(const Decision& decision, Instant now);
  void OnAdmitted(RequestId request, Instant now);
  void Submit(RequestId request, Instant now);
  void TakeOnceActions(Instant now);
  void Perform(const SendToEndpoint& action, Instant now);
  void Perform(const RefuseOnce& action, Instant now);
  void Perform(ReplayStoredAnswer& action, Instant now);
  void EndOnce(const RequestResult& result, Instant now);
  void ObserveProgress(const AttemptReport& report, Instant now);
  void ObserveWait(const Request& request, Instant now);
  void ObserveEnd(const RequestResult& result);
  void RefuseUnsent(RequestId request, Refusal refusal);
  void GiveUp(RequestId request, RefusalReason reason, Instant now);
  void Refuse(RequestId request, Refusal refusal);
  void TakeDispatcherActions(Instant now);
  void OnRequestResult(const RequestResult& result, Instant now);
  void Settle(const RequestResult& result, Instant now);
  void Broadcast(const std::string& payload);
  void EndRequestsOf(const std::vector<KeyId>& withdrawn, Instant now);

  const VmId self_;
  const ZoneId zone_;
  KeyTable keys_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<Limiter> limiter_;
  OnceGuard once_;
  Metrics* const metrics_;
  std::vector<LimitsMember> alive_;  // without this VM
  bool isolated_ = false;
  bool draining_ = false;
  Rollout rollout_;
  Instant next_rollout_;
  FleetStatePtr state_;  // null until the first one; its version only grows
  Bulkheads bulkheads_;  // outlives the reservations in open_
  std::unordered_map<RequestId, OpenRequest> open_;
  std::vector<RouterAction> actions_;
  std::vector<PeerMessage> messages_;
};

}  // namespace baobabrun

#endif  // SERVE_ROUTER_H_
