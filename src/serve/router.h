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
  void BeginDrain();
  void Advance(Instant now);

  std::optional<Instant> NextEvent() const;
  std::vector<RouterAction> TakeActions();

  FleetStatePtr state() const { return state_; }
  std::size_t open_requests() const { return open_.size(); }
  std::vector<EndpointView> Endpoints() const {
    return dispatcher_->Endpoints();
  }

 private:
  struct OpenRequest {
    KeyId key;
    OrganisationId organisation;
  };

  Router(RouterOptions options, std::unique_ptr<Dispatcher> dispatcher);

  void Refuse(RequestId request, Refusal refusal);
  void TakeDispatcherActions(Instant now);
  void OnOver(const RequestOver& over, Instant now);
  void EndRequestsOf(const std::vector<KeyId>& withdrawn, Instant now);

  KeyTable keys_;
  std::unique_ptr<Dispatcher> dispatcher_;
  FleetStatePtr state_;  // null until the first one; its version only grows
  std::unordered_map<RequestId, OpenRequest> open_;
  std::vector<RouterAction> actions_;
};

}  // namespace baobabrun

#endif  // SERVE_ROUTER_H_
