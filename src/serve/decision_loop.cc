// Handles events and performs the router's actions on the decision thread.
#include "serve/decision_loop.h"

#include <algorithm>
#include <utility>

#include "callers/caller_front.h"

namespace baobabrun {
namespace {

// Each open request has at most a handful of events in the queue at a time, so
// this capacity is enough for all connections that an entry VM accepts.
constexpr std::size_t kRingCapacity = 131'072;
constexpr Duration kLongestSleep = milliseconds(50);
constexpr Duration kPublishInterval = milliseconds(100);

}  // namespace

DecisionLoop::DecisionLoop(std::unique_ptr<Router> router, DecisionHooks hooks)
    : hooks_(std::move(hooks)),
      router_(std::move(router)),
      events_(kRingCapacity),
      published_endpoints_(
          std::make_shared<const std::vector<EndpointView>>()) {}

Result<std::unique_ptr<DecisionLoop>> DecisionLoop::Start(
    RouterOptions options,
    EndpointClientOptions client_options,
    DecisionHooks hooks) {
  auto router = Router::Create(std::move(options));
  if (!router.ok()) {
    return router.error();
  }
  std::unique_ptr<DecisionLoop> loop(
      new DecisionLoop(std::move(router.value()), std::move(hooks)));
  auto* self = loop.get();
  auto client = EndpointClient::Start(
      client_options,
      [self](AttemptReport report) { self->Push(std::move(report)); });
  if (!client.ok()) {
    return client.error();
  }
  loop->client_ = std::move(client.value());
  auto thread = DutyThread::Start("decisions", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  loop->thread_ = std::move(thread.value());
  return loop;
}

DecisionLoop::~DecisionLoop() {
  Stop();
  client_.reset();
}

void DecisionLoop::Stop() {
  events_.Close();
  thread_.reset();
}

void DecisionLoop::Run() {
  while (!events_.closed()) {
    for (auto& it : events_.Drain(WaitTimeout())) {
      std::visit([this](auto& event) { Handle(event); }, it);
      PerformAll();
    }
    router_->Advance(clock_.Now());
    PerformAll();
    open_requests_ = sessions_.size();
    Publish(clock_.Now());
  }
}

void DecisionLoop::Publish(Instant now) {
  if (now < next_publication_) {
    return;
  }
  next_publication_ = now + kPublishInterval;
  auto endpoints =
      std::make_shared<const std::vector<EndpointView>>(router_->Endpoints());
  std::lock_guard lock(published_mutex_);
  published_endpoints_ = std::move(endpoints);
}

FleetStatePtr DecisionLoop::state() const {
  std::lock_guard lock(published_mutex_);
  return published_state_;
}

std::shared_ptr<const std::vector<EndpointView>> DecisionLoop::endpoints()
    const {
  std::lock_guard lock(published_mutex_);
  return published_endpoints_;
}

Duration DecisionLoop::WaitTimeout() const {
  const auto next = router_->NextEvent();
  if (!next) {
    return kLongestSleep;
  }
  constexpr Duration kShortestSleep = std::chrono::microseconds(100);
  return std::clamp(Duration(*next - clock_.Now()), kShortestSleep,
                    kLongestSleep);
}

void DecisionLoop::Handle(RequestEvent& event) {
  const auto id = event.request->id;
  auto session = std::make_shared<Session>();
  session->exchange = std::move(event.exchange);
  session->stream = event.request->call.stream;
  sessions_[id] = session;
  session->exchange->SetHooks([this, id] { Push(CallerGoneEvent{id}); },
                              [this, session = std::weak_ptr(session)] {
                                if (const auto it = session.lock()) {
                                  client_->Resume(AttemptId(it->attempt));
                                }
                              });
  router_->OnRequest(*event.request, clock_.Now());
}

void DecisionLoop::Handle(const CallerGoneEvent& event) {
  router_->OnCallerGone(event.request, clock_.Now());
}

void DecisionLoop::Handle(const AttemptReport& event) {
  router_->OnReport(event, clock_.Now());
}

void DecisionLoop::Handle(const Announcement& event) {
  router_->OnAnnouncement(event, clock_.Now());
}

void DecisionLoop::Handle(const StateEvent& event) {
  router_->OnState(event.state, clock_.Now());
  version_ = router_->state()->version.value();
  std::lock_guard lock(published_mutex_);
  published_state_ = router_->state();
}

void DecisionLoop::Handle(const WithdrawnEvent& event) {
  router_->OnWithdrawn(event.keys, clock_.Now());
}

void DecisionLoop::Handle(MembersEvent& event) {
  router_->OnMembers(std::move(event.alive), event.isolated, clock_.Now());
}

void DecisionLoop::Handle(const PeerMessage& event) {
  router_->OnMessage(event, clock_.Now());
}

void DecisionLoop::Handle(const ProposedEvent& event) {
  router_->OnProposed(event.kind, event.number, event.result, clock_.Now());
}

void DecisionLoop::Handle(const DrainEvent& /*event*/) {
  router_->BeginDrain();
}

void DecisionLoop::PerformAll() {
  for (auto& it : router_->TakeActions()) {
    std::visit([this](auto& action) { Perform(action); }, it);
  }
  for (auto& it : router_->TakeMessages()) {
    hooks_.send(std::move(it));
  }
}

AnswerSink DecisionLoop::MakeAnswerSink(const SessionPtr& session) {
  return {
      [session](int status, std::vector<Header> headers) {
        session->exchange->Begin(status, std::move(headers));
      },
      [session](std::string_view bytes) {
        return session->exchange->Write(bytes);
      },
      [session] { session->exchange->End(true); },
  };
}

void DecisionLoop::Perform(Dispatch& action) {
  const auto it = sessions_.find(action.request->caller.id);
  if (it == sessions_.end()) {
    return;
  }
  const auto attempt = action.attempt;
  it->second->attempt = attempt.value();
  if (!client_->Send(std::move(action), MakeAnswerSink(it->second))) {
    AttemptReport report;
    report.attempt = attempt;
    report.outcome = AttemptOutcome::kNotSent;
    Push(std::move(report));
  }
}

void DecisionLoop::Perform(const CancelAttempt& action) {
  client_->Cancel(action.attempt);
}

void DecisionLoop::Perform(const RefuseRequest& action) {
  const auto it = sessions_.find(action.request);
  if (it == sessions_.end()) {
    return;
  }
  WriteRefusal(*it->second->exchange, action.refusal, it->second->stream);
  sessions_.erase(it);
}

void DecisionLoop::Perform(AnswerRequest& action) {
  const auto it = sessions_.find(action.request);
  if (it == sessions_.end()) {
    return;
  }
  auto& answer = action.answer;
  it->second->exchange->Respond(answer.status,
                                {{"Content-Type", answer.content_type}},
                                std::move(answer.body));
  sessions_.erase(it);
}

void DecisionLoop::Perform(ProposeRecord& action) {
  const auto kind = action.kind;
  const auto number = action.number;
  hooks_.propose(std::move(action.proposal), action.deadline,
                 [this, kind, number](ProposalResult result) {
                   Push(ProposedEvent{kind, number, std::move(result)});
                 });
}

void DecisionLoop::Perform(const FinishRequest& action) {
  sessions_.erase(action.request);
}

}  // namespace baobabrun
