// Runs the router on a thread of its own. The thread takes events from a
// bounded queue, passes them to the router and performs the actions that the
// router returns, through the callers' HTTP exchanges and the endpoint client.
#ifndef SERVE_DECISION_LOOP_H_
#define SERVE_DECISION_LOOP_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/ring.h"
#include "base/thread.h"
#include "callers/http_exchange.h"
#include "endpoints/endpoint_client.h"
#include "serve/router.h"

namespace baobabrun {

// A caller's request and the HTTP exchange on which it is answered.
struct RequestEvent {
  std::shared_ptr<const CallerRequest> request;
  HttpExchangePtr exchange;
};
struct CallerGoneEvent {
  RequestId request;
};
struct StateEvent {
  FleetStatePtr state;
};
struct WithdrawnEvent {
  std::vector<KeyId> keys;
};
struct MembersEvent {
  std::vector<LimitsMember> alive;  // without this VM itself
  bool isolated = false;
};
struct ProposedEvent {
  OnceRecord kind = OnceRecord::kBegin;
  std::uint64_t number = 0;
  ProposalResult result;
};
struct DrainEvent {};
using DecisionEvent = std::variant<RequestEvent,
                                   CallerGoneEvent,
                                   AttemptReport,
                                   Announcement,
                                   StateEvent,
                                   WithdrawnEvent,
                                   MembersEvent,
                                   PeerMessage,
                                   ProposedEvent,
                                   DrainEvent>;

// Functions of the rest of the process that the loop calls. None of them may
// block.
struct DecisionHooks {
  SendToPeer send;
  std::function<void(Proposal proposal, Instant deadline, ProposalDone done)>
      propose;
};

class DecisionLoop {
 public:
  static Result<std::unique_ptr<DecisionLoop>> Start(
      RouterOptions options,
      EndpointClientOptions client_options,
      DecisionHooks hooks);
  // Stops the thread. Requests that are still open are not answered.
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  // Stops the thread. Push returns false from then on.
  void Stop();

  // Returns false if the queue is full or the loop has stopped. The event is
  // then dropped, and the caller of Push refuses the request or ignores it.
  bool Push(DecisionEvent event) { return events_.TryPush(std::move(event)); }

  // Number of requests whose answer isn't complete yet.
  std::size_t open_requests() const { return open_requests_; }
  // Version of the state in force; zero until the first state arrives.
  StateVersion version() const { return StateVersion(version_); }
  // The state in force; null until the first state arrives.
  FleetStatePtr state() const;
  // The router's view of the endpoints, at most about 100 ms old.
  std::shared_ptr<const std::vector<EndpointView>> endpoints() const;

 private:
  // The caller's exchange for one open request. Shared with the thread of the
  // endpoint client.
  struct Session {
    HttpExchangePtr exchange;
    bool stream = false;
    std::atomic<std::uint64_t> attempt{
        0};  // id of the attempt that writes to it
  };
  using SessionPtr = std::shared_ptr<Session>;

  DecisionLoop(std::unique_ptr<Router> router, DecisionHooks hooks);
  void Run();
  // Returns how long the thread waits for events before it calls Advance.
  Duration WaitTimeout() const;

  void Handle(RequestEvent& event);
  void Handle(const CallerGoneEvent& event);
  void Handle(const AttemptReport& event);
  void Handle(const Announcement& event);
  void Handle(const StateEvent& event);
  void Handle(const WithdrawnEvent& event);
  void Handle(MembersEvent& event);
  void Handle(const PeerMessage& event);
  void Handle(const ProposedEvent& event);
  void Handle(const DrainEvent& event);

  void Perform(Dispatch& action);
  void Perform(const CancelAttempt& action);
  void Perform(const RefuseRequest& action);
  void Perform(AnswerRequest& action);
  void Perform(ProposeRecord& action);
  void Perform(const FinishRequest& action);
  void PerformAll();
  void Publish(Instant now);
  AnswerSink MakeAnswerSink(const SessionPtr& session);

  const SystemClock clock_;
  const DecisionHooks hooks_;
  std::unique_ptr<Router> router_;  // used by the loop's thread only
  std::unordered_map<RequestId, SessionPtr> sessions_;  // as router_
  std::unique_ptr<EndpointClient> client_;
  Ring<DecisionEvent> events_;
  std::atomic<std::size_t> open_requests_{0};
  std::atomic<std::uint64_t> version_{0};
  mutable std::mutex published_mutex_;  // guards the next two
  FleetStatePtr published_state_;
  std::shared_ptr<const std::vector<EndpointView>> published_endpoints_;
  Instant next_publication_;  // used by the loop's thread only
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // SERVE_DECISION_LOOP_H_
