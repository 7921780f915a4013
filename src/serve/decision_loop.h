// The thread around the router's decisions: takes events from a bounded ring,
// and carries the resulting actions out on callers' sessions and the client
// towards endpoints.
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

// A caller's request with the exchange that waits for its answer.
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
  std::vector<LimitsMember> alive;  // without this VM
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

// What the loop needs of the rest of the process; none may block.
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
  // Stops. Requests still open are not answered.
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  // Ends the thread; what is pushed later is refused.
  void Stop();

  // Returns false if the ring is full; the caller then refuses or counts it.
  bool Push(DecisionEvent event) { return events_.TryPush(std::move(event)); }

  // Requests whose answer isn't whole yet.
  std::size_t open_requests() const { return open_requests_; }
  // Version of the state in force; zero before the first.
  StateVersion version() const { return StateVersion(version_); }
  // The state in force; null before the first.
  FleetStatePtr state() const;
  // The endpoints as the router saw them a moment ago.
  std::shared_ptr<const std::vector<EndpointView>> endpoints() const;

 private:
  // The caller's side of one request, shared with the client's thread.
  struct Session {
    HttpExchangePtr exchange;
    bool stream = false;
    std::atomic<std::uint64_t> attempt{0};  // the try that writes to it
  };
  using SessionPtr = std::shared_ptr<Session>;

  DecisionLoop(std::unique_ptr<Router> router, DecisionHooks hooks);
  void Run();
  Duration Patience() const;

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
  AnswerSink SinkOf(const SessionPtr& session);

  const SystemClock clock_;
  const DecisionHooks hooks_;
  std::unique_ptr<Router> router_;  // touched by the thread only
  std::unordered_map<RequestId, SessionPtr> sessions_;  // as router_
  std::unique_ptr<EndpointClient> client_;
  Ring<DecisionEvent> events_;
  std::atomic<std::size_t> open_requests_{0};
  std::atomic<std::uint64_t> version_{0};
  mutable std::mutex published_mutex_;  // guards the next two
  FleetStatePtr published_state_;
  std::shared_ptr<const std::vector<EndpointView>> published_endpoints_;
  Instant next_publication_;  // touched by the thread only
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // SERVE_DECISION_LOOP_H_
