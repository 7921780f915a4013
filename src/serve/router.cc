// Passes each request through admission, limits and placement.
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
// In fleets with up to this many other VMs, placement reports go to all VMs.
constexpr std::size_t kSmallFleet = 16;

// Budgets of one VM for open requests and for the bytes of their bodies. The
// values are the total, then for each kind of owner (organisation, service,
// endpoint) the limit of one owner and its guaranteed amount, and last the
// units reserved for owners within their guaranteed amount.
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

// Returns whether a request that this VM hasn't sent to an endpoint certainly
// never ran. If a call has an Idempotency-Key, the caller may have sent it
// before, through another VM or before a restart of this one, and that earlier
// call may have run; only the control log has a record of that.
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
      RefusalEntryOf(refusal.reason).code);
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
  if (!ReserveBudgets(checked.request)) {
    Refuse(request.id, {RefusalReason::kQueueFull,
                        "too many requests or bytes of this organisation or "
                        "service are open here",
                        KnownNotRun(*checked.request), kRetryWhenReady});
    return;
  }
  Admit(*checked.request, now);
  TakeDispatcherActions(now);
}

// Reserves the budgets for one open request and for the bytes of its body, so
// that one organisation or service can't use up the VM's capacity. Returns
// false if a budget is exhausted.
bool Router::ReserveBudgets(const RequestPtr& request) {
  std::vector<BudgetOwner> budget_owners = {
      {BudgetOwnerKind::kOrganisation, request->organisation.value()}};
  if (!request->service.empty()) {
    budget_owners.push_back({BudgetOwnerKind::kService, request->service});
  }
  const auto size = static_cast<std::int64_t>(request->caller.body->size());
  OpenRequest open;
  open.request = request;
  open.count_reservation =
      bulkheads_.Take(Resource::kQueuePlaces, 1, budget_owners);
  open.body_reservation = bulkheads_.Take(
      Resource::kBufferedBytes, std::max<std::int64_t>(size, 1), budget_owners);
  if (!open.count_reservation.held() || !open.body_reservation.held()) {
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

// Refuses a request that this VM never sent to an endpoint.
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
    // The call continues, so that the caller can send it again and get the
    // stored answer.
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

// Recomputes the rollout only every 100 ms, because counting all endpoints
// takes longer than the handling of a request.
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

// Sends a placement report to all VMs of a small fleet. In a large fleet only
// the VMs of this zone get it, because these share most of their endpoints.
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
    if (const auto* result = std::get_if<RequestResult>(&it)) {
      OnRequestResult(*result, now);
    } else if (auto* dispatch = std::get_if<Dispatch>(&it)) {
      ObserveWait(*dispatch->request, now);
      actions_.push_back(std::move(*dispatch));
    } else {
      actions_.push_back(std::get<CancelAttempt>(it));
    }
  }
}

void Router::OnRequestResult(const RequestResult& result, Instant now) {
  Settle(result, now);
  ObserveEnd(result);
  RecordOnceOutcome(result, now);
  open_.erase(result.request);
  if (result.refusal) {
    Refuse(result.request, *result.refusal);
    return;
  }
  actions_.push_back(FinishRequest{result.request});
}

// Reports the tokens that the request used, so that the limiter releases the
// rest of what it charged. A request that never ran is released completely.
void Router::Settle(const RequestResult& result, Instant now) {
  const auto it = open_.find(result.request);
  if (it == open_.end() || !it->second.limited) {
    return;
  }
  if (result.refusal && result.refusal->not_run) {
    limiter_->Abandon(result.request, now);
  } else {
    limiter_->Finish(result.request, result.prompt_tokens,
                     result.completion_tokens, now);
  }
}

}  // namespace baobabrun
