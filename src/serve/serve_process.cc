// Start, routes of the callers' port, health checks and shutdown.
#include "serve/serve_process.h"

#include <fmt/core.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "callers/caller_front.h"
#include "serve/serve_error.h"
#include "serve/signals.h"

namespace baobabrun {
namespace {

// The longest time that a caller waits for the first byte of its answer.
constexpr Duration kRequestDeadline = seconds(60);
// How long this VM still accepts new requests after SIGTERM. The load balancer
// needs this time to see that the VM isn't ready.
constexpr Duration kDrainNotice = seconds(1);
constexpr std::size_t kCallerThreads = 2;

void RefuseLargeBody(HttpExchange& exchange) {
  WriteRefusal(
      exchange,
      {RefusalReason::kBodyTooLarge, "the body is too large", true, {}}, false);
}

Error Wrap(const Error& error) {
  return {ServeError::kCannotStart, error.message};
}

}  // namespace

ServeProcess::ServeProcess(ProcessSettings settings)
    : settings_(std::move(settings)),
      drain_({kDrainNotice, kDrainNotice, settings_.shutdown_timeout}) {}

Result<std::unique_ptr<ServeProcess>> ServeProcess::Start(
    ProcessSettings settings) {
  SetLogLevel(settings.log_level);
  std::unique_ptr<ServeProcess> process(new ServeProcess(std::move(settings)));
  const auto status = process->StartAll();
  if (!status.ok()) {
    return Wrap(status.error());
  }
  return process;
}

ServeProcess::~ServeProcess() {
  callers_.reset();
  operators_.reset();
  if (fleet_ != nullptr) {
    fleet_->Stop();
  }
  if (decisions_ != nullptr) {
    decisions_->Stop();
  }
  fleet_started_ = false;
  fleet_.reset();
  decisions_.reset();
}

Status ServeProcess::StartAll() {
  for (const auto step :
       {&ServeProcess::StartDecisions, &ServeProcess::StartFleet,
        &ServeProcess::LoadState, &ServeProcess::StartServers}) {
    auto status = (this->*step)();
    if (!status.ok()) {
      return status;
    }
  }
  Log(Event::kVmStarted,
      "vm {} in zone {} serves callers on {}, operators on {}",
      settings_.vm.value(), settings_.zone.value(), ToString(callers()),
      ToString(operators()));
  return Ok();
}

Status ServeProcess::StartDecisions() {
  RouterOptions options;
  options.key_salt = settings_.key_salt;
  options.dispatcher.zone = settings_.zone;
  options.dispatcher.seed = RandomNumber();
  options.dispatcher.attempt_prefix =
      static_cast<std::uint32_t>(RandomNumber());
  options.limiter.self = settings_.vm;
  options.limiter.fleet = AllVms();
  options.limiter.clock_drift_ppm = settings_.clock_drift_ppm;
  options.limiter.seed = RandomNumber();
  options.once.self = settings_.vm;
  options.once.first_attempt = RandomNumber();
  options.metrics = &metrics_;
  DecisionHooks hooks;
  hooks.send = [this](PeerMessage message) {
    return fleet_started_ && fleet_->Send(std::move(message));
  };
  hooks.propose = [this](Proposal proposal, Instant deadline,
                         const ProposalDone& done) {
    if (!fleet_started_) {
      done({ProposalOutcome::kNotAccepted, StateVersion(), "", std::nullopt});
      return;
    }
    fleet_->Propose(std::move(proposal), deadline, done);
  };
  auto loop = DecisionLoop::Start(std::move(options), EndpointClientOptions(),
                                  std::move(hooks));
  if (!loop.ok()) {
    return loop.error();
  }
  decisions_ = std::move(loop.value());
  return Ok();
}

std::vector<LimitsMember> ServeProcess::AllVms() const {
  std::vector<LimitsMember> all = {{settings_.vm, settings_.zone}};
  for (const auto& it : settings_.fleet) {
    if (it.vm != settings_.vm) {
      all.push_back({it.vm, it.zone});
    }
  }
  return all;
}

Status ServeProcess::StartFleet() {
  FleetNodeHooks hooks;
  hooks.on_state = [this](FleetStatePtr state,
                          const std::vector<NamedWeightsAt>& /*named*/) {
    decisions_->Push(StateEvent{std::move(state)});
  };
  hooks.on_withdrawn = [this](std::vector<KeyId> keys) {
    decisions_->Push(WithdrawnEvent{std::move(keys)});
  };
  hooks.on_view = [this](const FleetView& view) { OnView(view); };
  hooks.on_message = [this](PeerMessage message) {
    decisions_->Push(std::move(message));
  };
  auto node = FleetNode::Start(settings_, std::move(hooks));
  if (!node.ok()) {
    return node.error();
  }
  fleet_ = std::move(node.value());
  fleet_started_ = true;
  return Ok();
}

void ServeProcess::OnView(const FleetView& view) {
  state_ready_ = view.ready;
  MembersEvent event;
  event.isolated = view.zone_isolated;
  for (const auto& it : settings_.fleet) {
    const bool alive = std::any_of(
        view.members.begin(), view.members.end(), [&it](const auto& member) {
          return member.vm == it.vm && member.state == MemberState::kAlive;
        });
    if (alive && it.vm != settings_.vm) {
      event.alive.push_back({it.vm, it.zone});
    }
  }
  decisions_->Push(std::move(event));
}

Status ServeProcess::LoadState() {
  if (settings_.declarations.empty()) {
    return Ok();
  }
  auto declarations = LoadDeclarations(settings_.declarations);
  if (!declarations.ok()) {
    return declarations.error();
  }
  auto state = std::make_shared<FleetState>();
  state->version = StateVersion(1);
  state->declarations = std::move(declarations.value());
  fleet_->SetInitialState(std::move(state));
  return Ok();
}

Status ServeProcess::StartServers() {
  auto operator_server = OperatorPort::Start(
      settings_, decisions_.get(), fleet_.get(), &metrics_,
      [this](HttpExchange& it) { return AnswerHealth(it); });
  if (!operator_server.ok()) {
    return operator_server.error();
  }
  operators_ = std::move(operator_server.value());

  HttpServerOptions callers;
  callers.listen = settings_.callers;
  callers.name = "callers";
  callers.threads = kCallerThreads;
  callers.max_body_bytes = settings_.max_body_bytes;
  callers.max_connections = settings_.max_connections;
  callers.idle_timeout = settings_.header_timeout;
  callers.tls = settings_.tls;
  auto caller_server = HttpServer::Start(
      callers, [this](const HttpExchangePtr& it) { OnCaller(it); },
      &RefuseLargeBody);
  if (!caller_server.ok()) {
    return caller_server.error();
  }
  callers_ = std::move(caller_server.value());
  return Ok();
}

bool ServeProcess::ready() const {
  return !draining_ && state_ready_ && decisions_->version() != StateVersion();
}

bool ServeProcess::AnswerHealth(HttpExchange& exchange) const {
  const auto& path = exchange.request().path;
  if (path == "/healthz") {
    exchange.Respond(200, {{"Content-Type", "text/plain"}}, "alive\n");
    return true;
  }
  if (path == "/readyz") {
    exchange.Respond(ready() ? 200 : 503, {{"Content-Type", "text/plain"}},
                     ready() ? "ready\n" : "not ready\n");
    return true;
  }
  return false;
}

void ServeProcess::OnCaller(const HttpExchangePtr& exchange) {
  if (AnswerHealth(*exchange)) {
    return;
  }
  if (drain_.refusing() || exchange->reading_was_closed()) {
    WriteRefusal(*exchange,
                 {RefusalReason::kShuttingDown, "this VM stops", true, {}},
                 false);
    return;
  }
  const RequestId id(++last_request_);
  auto read = ReadCallerRequest(exchange->request(), id, clock_.Now(),
                                kRequestDeadline);
  if (read.request == nullptr) {
    WriteRefusal(*exchange, read.refusal, false);
    return;
  }
  if (!decisions_->Push(RequestEvent{std::move(read.request), exchange})) {
    WriteRefusal(
        *exchange,
        {RefusalReason::kQueueFull, "this VM is overloaded", true, seconds(1)},
        false);
  }
}

void ServeProcess::BeginShutdown() {
  draining_ = true;
  drain_.Begin(clock_.Now());
  operators_->BeginDrain(clock_.Now());
  Log(Event::kVmDraining, "vm {} drains: {} open requests remain",
      settings_.vm.value(), decisions_->open_requests());
}

bool ServeProcess::AdvanceShutdown() {
  operators_->Tick(clock_.Now());
  if (!draining_) {
    return false;
  }
  const bool ended = drain_.Advance(*callers_, clock_.Now());
  // The decisions refuse what they still hold.
  if (drain_.refusing() && !drain_sent_) {
    drain_sent_ = decisions_->Push(DrainEvent{});
  }
  // Endpoints announce themselves, and operators call, for as long as callers
  // are served.
  callers_ended_ |= ended;
  return callers_ended_ && operators_->AdvanceDrain(clock_.Now());
}

void ServeProcess::Run() {
  SignalHooks hooks;
  hooks.on_stop = [this] { BeginShutdown(); };
  hooks.on_reload = [] {};
  hooks.finished = [this] { return AdvanceShutdown(); };
  WaitForSignals(hooks);
  Log(Event::kVmStopped, "vm {} stops: {} requests are still open",
      settings_.vm.value(), callers_->open_exchanges());
}

}  // namespace baobabrun
