// Handles events and performs actions on the decision thread.
#include "gateway/gateway_loop.h"

#include <algorithm>
#include <mutex>
#include <set>
#include <string>
#include <utility>

#include "base/log.h"

namespace baobabrun {
namespace {

// Each open call has at most a few events in the queue at a time.
constexpr std::size_t kQueueCapacity = 32'768;
// A leading control VM checks its orders this often; other VMs only check the
// endpoint registry.
constexpr Duration kLeaderSleep = milliseconds(50);
constexpr Duration kLongestSleep = milliseconds(250);
// The stored files are at most this old.
constexpr Duration kSaveInterval = seconds(1);
constexpr Duration kShortestSleep = std::chrono::microseconds(100);

// Distinguishes attempt ids of this VM's own requests from those of callers'
// calls.
constexpr std::uint64_t kOwnCallIdBit = std::uint64_t{1} << 31;
constexpr Duration kOwnCallTimeout = seconds(1);  // between two bytes
constexpr Duration kOwnCallTotalTimeout = seconds(3);
// How long after the call's deadline the transfer of an attempt may last.
constexpr Duration kTransferSlack = seconds(1);
constexpr std::size_t kMaxOwnBodyBytes = 1 << 20;
// How long an endpoint may wait for a change of its cache before it answers;
// must be shorter than kOwnCallTimeout.
constexpr Duration kCacheWait = milliseconds(700);

void LogMalformed(const VmId& from, const Error& error) {
  Log(Event::kPeerMessageMalformed, "a message from vm {} can't be read: {}",
      from.value(), error.message);
}

}  // namespace

GatewayLoop::GatewayLoop(GatewayLoopOptions options,
                         Dialect dialect,
                         GatewayLoopHooks hooks)
    : options_(std::move(options)),
      dialect_(std::move(dialect)),
      hooks_(std::move(hooks)),
      endpoints_(options_.control, options_.gateway.silent_after / 2),
      events_(kQueueCapacity) {
  endpoints_.Restore(options_.stored_endpoints, clock_.Now());
  if (options_.entry) {
    gateway_ = std::make_unique<Gateway>(options_.gateway, endpoints_);
  }
  if (options_.control) {
    control_handler_ = std::make_unique<ControlHandler>(
        options_.control_handler, endpoints_, dialect_.read_manifest);
  }
}

Result<std::unique_ptr<GatewayLoop>> GatewayLoop::Start(
    GatewayLoopOptions options,
    Dialect dialect,
    GatewayLoopHooks hooks) {
  std::unique_ptr<GatewayLoop> loop(new GatewayLoop(
      std::move(options), std::move(dialect), std::move(hooks)));
  auto* const events = loop.get();
  auto client = RelayClient::Start(
      [events](const Surplus& surplus) { events->Push(surplus); });
  if (!client.ok()) {
    return client.error();
  }
  loop->client_ = std::move(client.value());
  auto* self = loop.get();
  auto thread = DutyThread::Start("decisions", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  loop->thread_ = std::move(thread.value());
  return loop;
}

GatewayLoop::~GatewayLoop() {
  Stop();
  client_.reset();
}

void GatewayLoop::Stop() {
  events_.Close();
  thread_.reset();
}

ManifestViewPtr GatewayLoop::manifest() const {
  const std::lock_guard lock(manifest_mutex_);
  return manifest_;
}

void GatewayLoop::Run() {
  while (!events_.closed()) {
    auto events = events_.Drain(WaitTime());
    ApplyLatest();
    for (auto& it : events) {
      std::visit([this](auto& event) { Handle(event); }, it);
      it = WakeEvent();  // gives back the memory of the event
      PerformAll();
    }
    RunPeriodicWork();
    PerformAll();
    open_calls_ = sessions_.size();
  }
}

Duration GatewayLoop::WaitTime() const {
  const auto longest =
      control_handler_ != nullptr && control_handler_->leading()
          ? kLeaderSleep
          : kLongestSleep;
  auto next = gateway_ != nullptr ? gateway_->NextEvent() : std::nullopt;
  if (const auto flush = endpoints_.NextFlush();
      flush && (!next || *flush < *next)) {
    next = flush;
  }
  if (!next) {
    return longest;
  }
  return std::clamp(Duration(*next - clock_.Now()), kShortestSleep, longest);
}

void GatewayLoop::RunPeriodicWork() {
  const auto now = clock_.Now();
  endpoints_.Tick(now);
  if (control_handler_ != nullptr) {
    const auto term = hooks_.led_term();
    control_handler_->SetLeading(term != 0, term, now);
    control_handler_->Advance(now);
  }
  SaveFiles(now);
  if (gateway_ != nullptr) {
    if (endpoint_changes_ != endpoints_.changes()) {
      endpoint_changes_ = endpoints_.changes();
      gateway_->OnEndpointsChanged(now);
    }
    gateway_->Advance(now);
    informed_ = gateway_->has_manifest() && endpoints_.has_table();
  }
}

void GatewayLoop::SaveFiles(Instant now) {
  if (control_handler_ == nullptr || !hooks_.save_file || now < next_save_) {
    return;
  }
  next_save_ = now + kSaveInterval;
  hooks_.save_file(kQuotasFile,
                   EncodeQuotaUses(control_handler_->quota_uses(now)));
  if (endpoint_changes_saved_ != endpoints_.changes()) {
    endpoint_changes_saved_ = endpoints_.changes();
    hooks_.save_file(
        kEndpointsFile,
        EncodeRegistry(
            {RegistryKind::kTable, endpoints_.registry().All(), {}, 0, {}}));
  }
}

void GatewayLoop::Handle(CallEvent& event) {
  const auto id = event.call->id;
  CallSessionHooks hooks;
  hooks.on_progress = [this](const AttemptProgress& it) { Push(it); };
  hooks.on_end = [this](AttemptResult end) { Push(std::move(end)); };
  hooks.on_notice = [this](EndpointNotice it) { Push(std::move(it)); };
  auto session = std::make_shared<CallSession>(id, event.exchange, dialect_,
                                               draining_, std::move(hooks));
  sessions_[id] = session;
  event.exchange->SetHooks([this, id] { Push(CallerDisconnectedEvent{id}); },
                           [this, session = std::weak_ptr(session)] {
                             if (const auto it = session.lock()) {
                               client_->Resume(it->attempt());
                             }
                           });
  gateway_->OnCall(event.call, clock_.Now());
}

void GatewayLoop::Handle(const CallerDisconnectedEvent& event) {
  sessions_.erase(event.request);
  gateway_->OnCallerGone(event.request, clock_.Now());
}

void GatewayLoop::Handle(const AttemptProgress& event) {
  gateway_->OnProgress(event, clock_.Now());
}

void GatewayLoop::Handle(const AttemptResult& event) {
  gateway_->OnAttemptResult(event, clock_.Now());
}

void GatewayLoop::SetState(FleetStatePtr state,
                           std::vector<NamedWeightsAt> named) {
  latest_state_.Set({std::move(state), std::move(named)});
  Push(WakeEvent());
}

void GatewayLoop::SetPeers(FleetPeers fleet) {
  latest_peers_.Set(std::move(fleet));
  Push(WakeEvent());
}

void GatewayLoop::Handle(const WakeEvent& /*event*/) {}

void GatewayLoop::ApplyLatest() {
  if (auto fleet = latest_peers_.Take()) {
    ApplyPeers(std::move(*fleet));
    PerformAll();
  }
  if (const auto state = latest_state_.Take()) {
    ApplyState(*state);
    PerformAll();
  }
}

void GatewayLoop::ApplyState(const LatestState& latest) {
  const auto now = clock_.Now();
  const auto& state = latest.state;
  const auto& record = state->manifest;
  ManifestViewPtr view = manifest();
  if (record.number != 0 &&
      (view == nullptr || view->manifest().number < record.number)) {
    auto read = dialect_.read_manifest(*record.text);
    if (!read.ok()) {
      // Only validated manifests are committed; but a different version of this
      // program may have accepted this one.
      Log(Event::kManifestRefused, "manifest {} can't be used: {}",
          record.number, read.error().message);
    } else {
      view = std::make_shared<const ManifestView>(std::move(read.value()));
      std::set<std::string> services;
      for (const auto& it : view->manifest().services) {
        services.insert(it.service);
      }
      endpoints_.SetServices(std::move(services));
      const std::lock_guard lock(manifest_mutex_);
      manifest_ = view;
    }
  }
  if (gateway_ != nullptr) {
    gateway_->OnWeightsNamed(latest.named, now);
    gateway_->OnState(state, view, now);
  }
  if (control_handler_ != nullptr) {
    control_handler_->OnState(state, view, now);
  }
}

void GatewayLoop::ApplyPeers(FleetPeers fleet) {
  std::vector<VmId> all;
  all.reserve(fleet.peers.size());
  for (const auto& it : fleet.peers) {
    all.push_back(it.vm);
  }
  std::vector<VmId> control;
  for (const auto& it : fleet.peers) {
    if (it.control) {
      control.push_back(it.vm);
    }
  }
  endpoints_.SetPeers(std::move(fleet.peers));
  if (gateway_ != nullptr) {
    gateway_->SetPeers(fleet.entries, fleet.other_entries, std::move(control),
                       clock_.Now());
  }
  if (control_handler_ != nullptr) {
    std::vector<VmId> entries;
    for (const auto& it : fleet.other_entries) {
      entries.push_back(it.vm);
    }
    control_handler_->SetPeers(std::move(all), std::move(entries));
  }
}

void GatewayLoop::Handle(const PeerMessage& event) {
  const auto now = clock_.Now();
  delay_log_.Record(event, now);
  if (event.topic == PeerTopic::kRegistry) {
    const auto message = DecodeRegistry(event.payload);
    if (message.ok()) {
      endpoints_.Receive(event.from, message.value(), now);
    } else {
      LogMalformed(event.from, message.error());
    }
    return;
  }
  const auto message = DecodeGatewayMessage(event.payload);
  if (!message.ok()) {
    LogMalformed(event.from, message.error());
    return;
  }
  if (gateway_ != nullptr) {
    gateway_->Receive(event.from, message.value(), now);
  }
  if (control_handler_ != nullptr) {
    control_handler_->Receive(event.from, message.value(), now);
  }
}

void GatewayLoop::Handle(const ControlCallEvent& event) {
  const auto serial = ++last_control_call_;
  control_calls_[serial] = event.exchange;
  control_handler_->OnCall(serial, event.call, clock_.Now());
}

void GatewayLoop::Handle(const ChangeProposedEvent& event) {
  control_handler_->OnProposed(event.serial, event.result, clock_.Now());
}

void GatewayLoop::Handle(const OrderAnswerEvent& event) {
  control_handler_->OnOrderAnswer(event.endpoint, event.answer, clock_.Now());
}

void GatewayLoop::Handle(const StatusEvent& event) {
  control_handler_->OnStatus(event.endpoint, event.status, clock_.Now());
}

void GatewayLoop::Handle(const CacheUpdateEvent& event) {
  if (!event.update.ok()) {
    Log(Event::kCacheUnread,
        "the changes in the cache of endpoint {} can't be read: {}",
        event.endpoint.value(), event.update.error().message);
  }
  gateway_->OnCacheUpdate(event.endpoint,
                          event.update.ok() ? &event.update.value() : nullptr,
                          clock_.Now());
}

void GatewayLoop::Handle(const EndpointNotice& event) {
  const auto now = clock_.Now();
  if (gateway_ != nullptr) {
    gateway_->OnNotice(event, now);
  }
  if (control_handler_ != nullptr) {
    control_handler_->OnNotice(event, now);
  }
}

void GatewayLoop::Handle(const Surplus& surplus) {
  if (gateway_ != nullptr) {
    gateway_->OnSurplus(surplus, clock_.Now());
  }
}

void GatewayLoop::PerformAll() {
  const auto perform = [this](auto& action) { Perform(action); };
  const auto send = [this](std::vector<PeerMessage> messages) {
    for (auto& it : messages) {
      hooks_.send(std::move(it));
    }
  };
  if (gateway_ != nullptr) {
    for (auto& it : gateway_->TakeActions()) {
      std::visit(perform, it);
    }
    send(gateway_->TakeMessages(clock_.Now()));
  }
  if (control_handler_ != nullptr) {
    for (auto& it : control_handler_->TakeActions()) {
      std::visit(perform, it);
    }
    send(control_handler_->TakeMessages());
  }
  for (const auto& it : endpoints_.TakeMessages()) {
    hooks_.send(
        {VmId(), it.to, PeerTopic::kRegistry, EncodeRegistry(it.message)});
  }
}

CallSessionPtr GatewayLoop::TakeSession(RequestId request) {
  const auto node = sessions_.extract(request);
  return node.empty() ? nullptr : node.mapped();
}

void GatewayLoop::Perform(SendCall& action) {
  const auto it = sessions_.find(action.send.call->id);
  if (it == sessions_.end()) {
    return;
  }
  auto& send = action.send;
  RelayRequest request;
  request.attempt = send.attempt;
  request.address = send.address;
  request.method = send.call->method;
  request.target = send.call->target;
  request.headers = dialect_.write_headers(send);
  request.body = send.call->body;
  request.fresh_connection = send.fresh_connection;
  // The gateway cancels an attempt at the call's deadline, but not one that has
  // been reported before its answer has ended.
  request.total_timeout = send.time_left + kTransferSlack;
  if (!client_->Send(std::move(request), it->second->HooksFor(send))) {
    AttemptResult end;
    end.request = send.call->id;
    end.attempt = send.attempt;
    end.outcome = SendOutcome::kNotSent;
    end.detail = "too many attempts are waiting";
    Push(std::move(end));
  }
}

void GatewayLoop::Perform(const CancelSend& action) {
  client_->Cancel(action.attempt);
}

void GatewayLoop::Perform(const RefuseCall& action) {
  if (const auto session = TakeSession(action.request)) {
    session->Refuse(action.refusal);
  }
}

void GatewayLoop::Perform(const DeliverFailure& action) {
  if (const auto session = TakeSession(action.request)) {
    session->DeliverFailure();
  }
}

void GatewayLoop::Perform(const AbortAnswer& action) {
  if (const auto session = TakeSession(action.request)) {
    session->Abort();
  }
}

void GatewayLoop::Perform(const CallDone& action) {
  TakeSession(action.request);
}

void GatewayLoop::Perform(const AnswerControl& action) {
  const auto node = control_calls_.extract(action.serial);
  if (!node.empty()) {
    dialect_.write_control_answer(*node.mapped(), action.answer);
  }
}

void GatewayLoop::Perform(ProposeChange& action) {
  hooks_.propose(std::move(action.proposal), action.deadline,
                 [this, serial = action.serial](ProposalResult result) {
                   Push(ChangeProposedEvent{serial, std::move(result)});
                 });
}

void GatewayLoop::CallEndpoint(
    const EndpointId& endpoint,
    const Address& address,
    EndpointCall call,
    Duration idle_timeout,
    const std::function<void(const RelayResult& end, std::string body)>& done) {
  RelayRequest request;
  request.attempt = AttemptId(kOwnCallIdBit | ++last_own_call_);
  request.address = address;
  request.method = std::move(call.method);
  request.target = std::move(call.target);
  request.headers = std::move(call.headers);
  request.body = std::make_shared<const std::string>(std::move(call.body));
  request.idle_timeout = idle_timeout;
  request.total_timeout = kOwnCallTotalTimeout;
  struct Body {
    std::string text;
    MemoryLease lease;
  };
  auto body = std::make_shared<Body>(
      Body{"", MemoryLease(options_.budget, MemoryPart::kAnswers)});
  RelayHooks hooks;
  const auto* record = endpoints_.registry().Find(endpoint);
  EndpointNotice notice;
  notice.endpoint = endpoint;
  notice.incarnation = record == nullptr ? Incarnation() : record->incarnation;
  hooks.on_head = [this, notice](int status,
                                 const std::vector<Header>& headers) mutable {
    if (dialect_.answers_callers_call(headers)) {
      return false;
    }
    notice.notice = dialect_.read_notice(status, headers);
    if (notice.notice != AnswerNotice()) {
      Push(notice);
    }
    return true;
  };
  hooks.on_body = [body](std::string_view bytes) {
    body->text.append(bytes);
    return body->text.size() > kMaxOwnBodyBytes ||
                   !body->lease.Grow(bytes.size())
               ? RelayHooks::BodyAction::kAbort
               : RelayHooks::BodyAction::kContinue;
  };
  hooks.on_end = [body, done](const RelayResult& end) {
    done(end, std::move(body->text));
  };
  if (!client_->Send(std::move(request), std::move(hooks))) {
    done({RelayOutcome::kNotSent, 0, "too many attempts are waiting"}, "");
  }
}

void GatewayLoop::Perform(const QueryCache& action) {
  const auto& query = action.query;
  CallEndpoint(
      query.source.endpoint, query.source.address,
      dialect_.write_cache_call(query.since, kCacheWait), kOwnCallTimeout,
      [this, endpoint = query.source.endpoint](const RelayResult& end,
                                               const std::string& body) {
        constexpr int kOk = 200;
        const bool answered =
            end.outcome == RelayOutcome::kComplete && end.status == kOk;
        Push(CacheUpdateEvent{
            endpoint, answered
                          ? dialect_.read_cache_update(body)
                          : Error{ManifestError::kUnreadable,
                                  "the endpoint didn't return its changes"}});
      });
}

void GatewayLoop::Perform(const SendOrder& action) {
  const auto& order = action.order;
  Log(Event::kOrderGiven,
      "endpoint {} is ordered to load weights {} of {}, fencing token {}",
      order.endpoint.value(), order.weights, order.model.value(), order.fence);
  CallEndpoint(order.endpoint, order.address, dialect_.write_order(order),
               order.answer_timeout,
               [this, endpoint = order.endpoint](const RelayResult& end,
                                                 const std::string& /*body*/) {
                 const auto answer =
                     end.outcome == RelayOutcome::kComplete
                         ? dialect_.read_order_answer(end.status)
                         : OrderAnswer::kUnclear;
                 Push(OrderAnswerEvent{endpoint, answer});
               });
}

void GatewayLoop::Perform(const QueryStatus& action) {
  CallEndpoint(
      action.endpoint, action.address,
      dialect_.write_status_call(action.endpoint), kOwnCallTimeout,
      [this, endpoint = action.endpoint](const RelayResult& end,
                                         const std::string& body) {
        constexpr int kOk = 200;
        const bool answered =
            end.outcome == RelayOutcome::kComplete && end.status == kOk;
        Push(StatusEvent{endpoint,
                         answered
                             ? dialect_.read_status(body)
                             : Error{ManifestError::kUnreadable,
                                     "the endpoint didn't return its status"}});
      });
}

}  // namespace baobabrun
