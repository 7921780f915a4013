// The way of a request through the slices' decisions.
#include "serve/router.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/log.h"
#include "serve/admission.h"

namespace baobabrun {
namespace {

constexpr std::string_view kModelsPath = "/v1/models";
constexpr std::int32_t kOk = 200;
constexpr Duration kRetryWhenReady = seconds(1);
constexpr Duration kRolloutInterval = milliseconds(100);
// Fleets up to this many VMs exchange placement reports among all of them.
constexpr std::size_t kSmallFleet = 16;

// Requests and bytes of their bodies that one VM holds: in all, the most of one
// part (organisation, service, endpoint), its share, and what is kept for those
// within their shares.
constexpr Budget kOpenRequests{20'000,
                               {10'000, 10'000, 20'000},
                               {1'000, 1'000, 1'000},
                               5'000};
constexpr std::int64_t kMiB = 1 << 20;
constexpr Budget kOpenBytes{512 * kMiB,
                            {128 * kMiB, 256 * kMiB, 512 * kMiB},
                            {16 * kMiB, 16 * kMiB, 16 * kMiB},
                            128 * kMiB};

std::array<Budget, kResources> Budgets() {
  std::array<Budget, kResources> budgets{};
  budgets[static_cast<std::size_t>(Resource::kQueuePlaces)] = kOpenRequests;
  budgets[static_cast<std::size_t>(Resource::kBufferedBytes)] = kOpenBytes;
  return budgets;
}

// Whether a request that this VM hasn't handed over certainly never ran. Of a
// call with an Idempotency-Key an earlier sending may have run, through another
// VM or before a restart; only the control log knows.
bool KnownNotRun(const Request& request) {
  return !RunsAtMostOnce(request);
}

}  // namespace

Router::Router(RouterOptions options,
               std::unique_ptr<Dispatcher> dispatcher,
               std::unique_ptr<Limiter> limiter)
    : self_(std::move(options.limiter.self)),
      zone_(std::move(options.dispatcher.zone)),
      keys_(std::move(options.key_salt)),
      dispatcher_(std::move(dispatcher)),
      limiter_(std::move(limiter)),
      once_(options.once),
      metrics_(options.metrics),
      bulkheads_(Budgets()) {}

Result<std::unique_ptr<Router>> Router::Create(RouterOptions options) {
  auto dispatcher = Dispatcher::Create(options.dispatcher);
  if (!dispatcher.ok()) {
    return dispatcher.error();
  }
  auto limiter = Limiter::Create(options.limiter);
  if (!limiter.ok()) {
    return limiter.error();
  }
  return std::unique_ptr<Router>(new Router(std::move(options),
                                            std::move(dispatcher.value()),
                                            std::move(limiter.value())));
}

void Router::Refuse(RequestId request, Refusal refusal) {
  Log(Event::kRequestRefused, "request {}: {}", request.value(),
      EntryOf(refusal.reason).code);
  actions_.push_back(RefuseRequest{request, std::move(refusal)});
}

void Router::OnRequest(const CallerRequest& request, Instant now) {
  if (state_ == nullptr) {
    Refuse(request.id,
           {RefusalReason::kNoQuorum, "this VM has no configuration yet", true,
            kRetryWhenReady});
    return;
  }
  if (request.path == kModelsPath && request.method == "GET") {
    auto list = ListModels(*state_, keys_, request);
    if (list.ok) {
      actions_.push_back(AnswerRequest{
          request.id, {kOk, "application/json", std::move(list.json)}});
    } else {
      Refuse(request.id, std::move(list.refusal));
    }
    return;
  }
  auto checked = CheckRequest(*state_, keys_, rollout_, request);
  if (checked.request == nullptr) {
    Refuse(request.id, std::move(checked.refusal));
    return;
  }
  if (RefusedByIsolation(*checked.request)) {
    Refuse(request.id,
           {RefusalReason::kIsolated,
            "this zone is cut off from all others, and the contract refuses "
            "there",
            KnownNotRun(*checked.request), kRetryWhenReady});
    return;
  }
  if (!TakePlace(checked.request)) {
    Refuse(request.id, {RefusalReason::kQueueFull,
                        "too many requests or bytes of this organisation or "
                        "service are open here",
                        KnownNotRun(*checked.request), kRetryWhenReady});
    return;
  }
  Admit(*checked.request, now);
  TakeDispatcherActions(now);
}

// Keeps one organisation or service from filling the VM.
bool Router::TakePlace(const RequestPtr& request) {
  std::vector<Part> parts = {
      {PartKind::kOrganisation, request->organisation.value()}};
  if (!request->service.empty()) {
    parts.push_back({PartKind::kService, request->service});
  }
  const auto size = static_cast<std::int64_t>(request->caller.body->size());
  OpenRequest open;
  open.request = request;
  open.place = bulkheads_.Take(Resource::kQueuePlaces, 1, parts);
  open.bytes = bulkheads_.Take(Resource::kBufferedBytes,
                               std::max<std::int64_t>(size, 1), parts);
  if (!open.place.held() || !open.bytes.held()) {
    return false;
  }
  open_[request->caller.id] = std::move(open);
  return true;
}

bool Router::RefusedByIsolation(const Request& request) {
  if (!isolated_ || request.organisation.empty()) {
    return false;
  }
  const auto* contract =
      state_->declarations.FindContract(request.organisation);
  return contract != nullptr &&
         contract->when_isolated == WhenIsolated::kRefuse;
}

void Router::Admit(const Request& request, Instant now) {
  const auto id = request.caller.id;
  if (request.organisation.empty()) {
    OnAdmitted(id, now);
    return;
  }
  Charge charge;
  charge.request = id;
  charge.organisation = request.organisation;
  charge.service_call = request.caller.kind == RequestKind::kService;
  if (!charge.service_call) {
    charge.prompt_bytes =
        static_cast<std::int64_t>(request.caller.call.prompt->size());
    charge.tokens =
        limiter_->EstimatePrompt(request.organisation, charge.prompt_bytes) +
        request.max_tokens;
  }
  open_[id].limited = true;
  OnDecision(limiter_->Admit(charge, request.caller.deadline, now), now);
}

void Router::OnDecision(const Decision& decision, Instant now) {
  switch (decision.admission) {
    case Admission::kAdmitted:
      OnAdmitted(decision.request, now);
      break;
    case Admission::kWaiting:
      break;
    case Admission::kRefused:
      if (metrics_ != nullptr) {
        metrics_->CountRefusal(open_[decision.request].request->organisation,
                               decision.reason, false);
      }
      RefuseUnsent(decision.request,
                   {decision.reason, "the contract's limit is used up", true,
                    decision.retry_after});
      break;
  }
}

void Router::TakeDecisions(Instant now) {
  for (const auto& it : limiter_->TakeDecisions()) {
    if (open_.contains(it.request)) {
      OnDecision(it, now);
    }
  }
}

// A call that may run only once is recorded before anything else happens to it.
void Router::OnAdmitted(RequestId request, Instant now) {
  auto& it = open_[request];
  if (!RunsAtMostOnce(*it.request)) {
    Submit(request, now);
    return;
  }
  if (draining_ || !rollout_.HasService(it.request->service)) {
    // Nothing may be recorded that can't be handed over afterwards.
    limiter_->Abandon(request, now);
    RefuseUnsent(
        request,
        {draining_ ? RefusalReason::kShuttingDown : RefusalReason::kNoEndpoint,
         "the call was not handed over", true, kRetryWhenReady});
    return;
  }
  it.recording = true;
  const auto& caller = it.request->caller;
  once_.Begin({request, it.request->organisation, caller.idempotency_key,
               OnceFingerprint(caller), caller.deadline},
              now);
  TakeOnceActions(now);
}

void Router::TakeOnceActions(Instant now) {
  for (auto& it : once_.TakeActions()) {
    if (auto* begin = std::get_if<ProposeBegin>(&it)) {
      actions_.push_back(
          ProposeRecord{OnceRecord::kBegin, begin->request.value(),
                        std::move(begin->proposal), begin->deadline});
    } else if (auto* end = std::get_if<ProposeEnd>(&it)) {
      actions_.push_back(ProposeRecord{OnceRecord::kEnd, end->record,
                                       std::move(end->proposal),
                                       end->deadline});
    } else if (const auto* over = std::get_if<HandOver>(&it)) {
      Perform(*over, now);
    } else if (const auto* refuse = std::get_if<RefuseOnce>(&it)) {
      Perform(*refuse, now);
    } else {
      Perform(std::get<AnswerStored>(it), now);
    }
  }
}

void Router::Perform(const HandOver& action, Instant now) {
  const auto it = open_.find(action.request);
  if (it == open_.end()) {
    // Its caller went meanwhile, and nothing was sent.
    once_.OnEnded(action.request, {}, now);
    return;
  }
  it->second.recording = false;
  Submit(action.request, now);
}

void Router::Perform(const RefuseOnce& action, Instant now) {
  if (open_.erase(action.request) > 0) {
    limiter_->Abandon(action.request, now);
    Refuse(action.request, action.refusal);
  }
}

void Router::Perform(AnswerStored& action, Instant now) {
  if (open_.erase(action.request) == 0) {
    return;
  }
  limiter_->Abandon(action.request, now);
  auto& stored = action.stored;
  if (!stored.body_stored) {
    Refuse(action.request, {RefusalReason::kOutcomeUnknown,
                            "the call ran; its answer was too large to be kept",
                            false,
                            {}});
    return;
  }
  actions_.push_back(AnswerRequest{
      action.request,
      {stored.status, std::move(stored.content_type), std::move(stored.body)}});
}

void Router::OnProposed(OnceRecord kind,
                        std::uint64_t number,
                        const ProposalResult& result,
                        Instant now) {
  if (kind == OnceRecord::kBegin) {
    once_.OnBegun(RequestId(number), result);
  } else {
    once_.OnRecorded(number, result);
  }
  TakeOnceActions(now);
  TakeDispatcherActions(now);
}

void Router::Submit(RequestId request, Instant now) {
  auto& it = open_[request];
  it.submitted = true;
  dispatcher_->Submit(it.request, now);
}

void Router::GiveUp(RequestId request, RefusalReason reason, Instant now) {
  const auto it = open_.find(request);
  if (it == open_.end()) {
    return;
  }
  if (it->second.submitted) {
    dispatcher_->Abandon(request, now, reason);
    return;
  }
  limiter_->Abandon(request, now);
  RefuseUnsent(request, {reason, "the request was given up", true, {}});
}

// Refuses a request that this VM never handed over.
void Router::RefuseUnsent(RequestId request, Refusal refusal) {
  const auto it = open_.find(request);
  refusal.not_run = KnownNotRun(*it->second.request);
  open_.erase(it);
  Refuse(request, std::move(refusal));
}

void Router::OnCallerGone(RequestId request, Instant now) {
  const auto it = open_.find(request);
  if (it != open_.end() && it->second.submitted &&
      RunsAtMostOnce(*it->second.request)) {
    // It goes on, so that its caller can come back for the stored answer.
    return;
  }
  GiveUp(request, RefusalReason::kInternal, now);
  TakeDispatcherActions(now);
}

void Router::OnReport(const AttemptReport& report, Instant now) {
  if (report.kind == AttemptReport::Kind::kProgress) {
    limiter_->Spend(report.request,
                    static_cast<std::int64_t>(report.delivered_events), now);
    ObserveProgress(report, now);
    return;
  }
  const auto it = open_.find(report.request);
  if (it != open_.end() && report.answer != nullptr) {
    it->second.answer = report.answer;
  }
  if (report.kind == AttemptReport::Kind::kFirstByte) {
    ObserveProgress(report, now);
  }
  dispatcher_->OnReport(report, now);
  TakeDispatcherActions(now);
}

void Router::OnAnnouncement(const Announcement& it, Instant now) {
  dispatcher_->OnAnnouncement(it, now);
  UpdateRollout(now);
  TakeDispatcherActions(now);
}

void Router::OnState(FleetStatePtr state, Instant now) {
  if (state_ != nullptr && state->version <= state_->version) {
    return;
  }
  state_ = std::move(state);
  const auto withdrawn = keys_.Apply(*state_);
  dispatcher_->SetRetired(state_->retired, now);
  limiter_->SetState(state_, now);
  EndRequestsOf(withdrawn, now);
  TakeDecisions(now);
  TakeDispatcherActions(now);
  Log(Event::kStateInForce, "state version {}", state_->version.value());
}

void Router::OnWithdrawn(const std::vector<KeyId>& keys, Instant now) {
  EndRequestsOf(keys_.Withdraw(keys), now);
  TakeDispatcherActions(now);
}

void Router::EndRequestsOf(const std::vector<KeyId>& withdrawn, Instant now) {
  if (withdrawn.empty()) {
    return;
  }
  std::vector<RequestId> ended;
  for (const auto& it : open_) {
    if (std::find(withdrawn.begin(), withdrawn.end(), it.second.request->key) !=
        withdrawn.end()) {
      ended.push_back(it.first);
    }
  }
  for (const auto& it : ended) {
    GiveUp(it, RefusalReason::kKeyWithdrawn, now);
  }
}

void Router::OnMembers(std::vector<LimitsMember> alive,
                       bool isolated,
                       Instant now) {
  alive_ = std::move(alive);
  isolated_ = isolated;
  limiter_->SetMembers(alive_, std::nullopt, now);
  TakeDecisions(now);
  TakeDispatcherActions(now);
}

void Router::OnMessage(const PeerMessage& message, Instant now) {
  if (message.topic == PeerTopic::kLimits) {
    limiter_->Receive(message.from, message.payload, now);
    TakeDecisions(now);
  } else if (message.topic == PeerTopic::kPlacement) {
    dispatcher_->Receive(message.from, message.payload, now);
  }
  TakeDispatcherActions(now);
}

void Router::BeginDrain() {
  draining_ = true;
  dispatcher_->BeginDrain();
}

// Kept for a moment, since counting all endpoints takes longer than a request.
void Router::UpdateRollout(Instant now) {
  if (now >= next_rollout_) {
    rollout_.Update(dispatcher_->Endpoints());
    next_rollout_ = now + kRolloutInterval;
  }
}

void Router::Advance(Instant now) {
  UpdateRollout(now);
  once_.Advance(now);
  TakeOnceActions(now);
  limiter_->Advance(now);
  TakeDecisions(now);
  dispatcher_->Advance(now);
  TakeDispatcherActions(now);
}

std::optional<Instant> Router::NextEvent() const {
  const auto limiter = limiter_->NextEvent();
  const auto dispatcher = dispatcher_->NextEvent();
  if (!limiter || !dispatcher) {
    return limiter ? limiter : dispatcher;
  }
  return std::min(*limiter, *dispatcher);
}

std::vector<PeerMessage> Router::TakeMessages() {
  for (auto& it : limiter_->TakeMessages()) {
    messages_.push_back(std::move(it));
  }
  for (const auto& it : dispatcher_->TakeMessages()) {
    Broadcast(it);
  }
  return std::exchange(messages_, {});
}

// In a small fleet every VM hears of every other's requests; in a large one
// only those of its zone, which share most of their endpoints.
void Router::Broadcast(const std::string& payload) {
  const bool everywhere = alive_.size() <= kSmallFleet;
  for (const auto& it : alive_) {
    if (everywhere || it.zone == zone_) {
      messages_.push_back({self_, it.vm, PeerTopic::kPlacement, payload});
    }
  }
}

std::vector<RouterAction> Router::TakeActions() {
  return std::exchange(actions_, {});
}

void Router::TakeDispatcherActions(Instant now) {
  for (auto& it : dispatcher_->TakeActions()) {
    if (const auto* over = std::get_if<RequestOver>(&it)) {
      OnOver(*over, now);
    } else if (auto* dispatch = std::get_if<Dispatch>(&it)) {
      ObserveWait(*dispatch->request, now);
      actions_.push_back(std::move(*dispatch));
    } else {
      actions_.push_back(std::get<CancelAttempt>(it));
    }
  }
}

void Router::OnOver(const RequestOver& over, Instant now) {
  Settle(over, now);
  ObserveEnd(over);
  EndOnce(over, now);
  open_.erase(over.request);
  if (over.refusal) {
    Refuse(over.request, *over.refusal);
    return;
  }
  actions_.push_back(FinishRequest{over.request});
}

// Has the outcome of a call that runs at most once recorded.
void Router::EndOnce(const RequestOver& over, Instant now) {
  const auto it = open_.find(over.request);
  if (it == open_.end() || !RunsAtMostOnce(*it->second.request)) {
    return;
  }
  OnceOutcome outcome;
  outcome.handed_over = !over.refusal || !over.refusal->not_run;
  if (const auto& answer = it->second.answer; answer != nullptr) {
    outcome.answered = true;
    outcome.status = answer->status;
    outcome.content_type = answer->content_type;
    outcome.body = answer->body;
  }
  once_.OnEnded(over.request, outcome, now);
  TakeOnceActions(now);
}

// Times the first byte, and the mean gap between the events since the last
// report.
void Router::ObserveProgress(const AttemptReport& report, Instant now) {
  const auto it = open_.find(report.request);
  if (metrics_ == nullptr || it == open_.end()) {
    return;
  }
  auto& open = it->second;
  const MetricsSubject subject{open.request->organisation,
                               open.request->priority};
  if (report.kind == AttemptReport::Kind::kFirstByte) {
    metrics_->ObserveFirstToken(subject, now - open.request->caller.arrived);
  } else {
    metrics_->ObserveTokenGap(subject,
                              (now - open.last_progress) / kProgressEvents);
  }
  open.last_progress = now;
}

void Router::ObserveWait(const Request& request, Instant now) {
  auto& open = open_[request.caller.id];
  if (metrics_ != nullptr && !open.dispatched) {
    metrics_->ObserveQueueWait({request.organisation, request.priority},
                               now - request.caller.arrived);
  }
  open.dispatched = true;
}

void Router::ObserveEnd(const RequestOver& over) {
  const auto it = open_.find(over.request);
  if (metrics_ == nullptr || it == open_.end()) {
    return;
  }
  const auto& request = *it->second.request;
  if (!over.refusal) {
    metrics_->ObserveTokens({request.organisation, request.priority},
                            over.prompt_tokens, over.cached_tokens,
                            over.completion_tokens);
    return;
  }
  // The limiter admitted it, so it was inside the rate.
  metrics_->CountRefusal(request.organisation, over.refusal->reason, true);
}

// Gives the limiter back what the request didn't use.
void Router::Settle(const RequestOver& over, Instant now) {
  const auto it = open_.find(over.request);
  if (it == open_.end() || !it->second.limited) {
    return;
  }
  if (over.refusal && over.refusal->not_run) {
    limiter_->Abandon(over.request, now);
  } else {
    limiter_->Finish(over.request, over.prompt_tokens, over.completion_tokens,
                     now);
  }
}

}  // namespace baobabrun
