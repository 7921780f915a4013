// Makes all decisions about callers' requests on one entry VM. Each request
// passes the check of its key, the limits and the choice of an endpoint, and is
// tracked until it ends.
//
// The router has no threads, sockets or clock. Its methods take typed messages
// and the current time `now`; TakeActions and TakeMessages return the results.
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

// Ends the request with a refusal.
struct RefuseRequest {
  RequestId request;
  Refusal refusal;
};
// Ends the request with an answer that the router has itself: the list of
// models, or the stored answer of a call that already ran.
struct AnswerRequest {
  RequestId request;
  WholeAnswer answer;
};
// Proposes a control log entry for a call that runs at most once: kBegin before
// the call is sent, kEnd with its outcome. The result must be passed to
// OnProposed with the same kind and number.
enum class OnceRecord { kBegin, kEnd };
struct ProposeRecord {
  OnceRecord kind = OnceRecord::kBegin;
  std::uint64_t number = 0;
  Proposal proposal;
  Instant deadline;
};
// Ends the request after its complete answer was passed to the caller's
// exchange.
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
  // Receives the router's measurements; must outlive the router. If null,
  // nothing is measured.
  Metrics* metrics = nullptr;
};

class Router {
 public:
  // Errors: those of Dispatcher::Create and Limiter::Create.
  static Result<std::unique_ptr<Router>> Create(RouterOptions options);

  // Each request ends with exactly one RefuseRequest, AnswerRequest or
  // FinishRequest action, unless its caller has disconnected.
  void OnRequest(const CallerRequest& request, Instant now);
  void OnCallerGone(RequestId request, Instant now);
  void OnReport(const AttemptReport& report, Instant now);
  void OnAnnouncement(const Announcement& it, Instant now);
  // Ignores a state that isn't newer than the one in force.
  void OnState(FleetStatePtr state, Instant now);
  // Withdraws `keys`, possibly before the withdrawal is committed, and ends
  // their open requests.
  void OnWithdrawn(const std::vector<KeyId>& keys, Instant now);
  // Sets the other VMs that are up. `isolated` is true if this zone can't reach
  // any other zone.
  void OnMembers(std::vector<LimitsMember> alive, bool isolated, Instant now);
  // Handles a message of topic kLimits or kPlacement and ignores all others.
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
    BudgetReservation count_reservation;  // one open request
    BudgetReservation body_reservation;   // the bytes of its body
    bool limited = false;                 // passed to the limiter
    bool submitted = false;               // passed to the dispatcher
    bool recording = false;   // its entry in the control log is proposed
    bool dispatched = false;  // sent to an endpoint at least once
    // The complete answer, for calls that run at most once; else null.
    std::shared_ptr<const WholeAnswer> answer;
    Instant last_progress;
  };

  Router(RouterOptions options,
         std::unique_ptr<Dispatcher> dispatcher,
         std::unique_ptr<Limiter> limiter);

  void UpdateRollout(Instant now);
  bool HasService(const std::string& service);
  bool RefusedByIsolation(const Request& request);
  bool ReserveBudgets(const RequestPtr& request);
  void Admit(const Request& request, Instant now);
  void TakeDecisions(Instant now);
  void OnDecision(const Decision& decision, Instant now);
  void OnAdmitted(RequestId request, Instant now);
  void Submit(RequestId request, Instant now);
  void TakeOnceActions(Instant now);
  void Perform(const SendToEndpoint& action, Instant now);
  void Perform(const RefuseOnce& action, Instant now);
  void Perform(ReplayStoredAnswer& action, Instant now);
  void RecordOnceOutcome(const RequestResult& result, Instant now);
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
  std::vector<LimitsMember> alive_;  // without this VM itself
  bool isolated_ = false;
  bool draining_ = false;
  Rollout rollout_;
  Instant next_rollout_;
  FleetStatePtr state_;  // null until the first one; versions only grow
  Bulkheads bulkheads_;  // must outlive the reservations in open_
  std::unordered_map<RequestId, OpenRequest> open_;
  std::vector<RouterAction> actions_;
  std::vector<PeerMessage> messages_;
};

}  // namespace baobabrun

#endif  // SERVE_ROUTER_H_
