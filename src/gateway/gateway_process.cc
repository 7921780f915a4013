// Start and shutdown of the process, and the handlers of its ports.
#include "gateway/gateway_process.h"

#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "serve/serve_error.h"
#include "serve/signals.h"

namespace baobabrun {
namespace {

constexpr std::size_t kCallerThreads = 1;
// Limit of a request body on all ports but the callers', whose limits are the
// defaults until a manifest sets others.
constexpr std::size_t kMaxManifestBytes = kMaxPeerMessageBytes / 2;
constexpr Duration kOperatorIdle = seconds(30);
// A load balancer that probes once a second and needs two failed probes goes on
// sending calls for a while after SIGTERM.
constexpr Duration kMinDrainTime = milliseconds(2'200);
// A VM without callers only has to finish operators' open requests.
constexpr Duration kControlMinDrainTime = milliseconds(200);
// New calls are accepted in the first one in this many parts of the shutdown
// timeout: later ones might not finish before the process is killed.
constexpr int kAcceptingDivisor = 3;
// The process ends this long before the timeout after which it is killed.
constexpr Duration kExitMargin = milliseconds(300);
constexpr std::size_t kMegabyte = 1'000'000;
// What a caller's connection and an open call take beside their bodies: buffers
// for heads and of the HTTP libraries.
constexpr std::size_t kConnectionBytes = 16'000;
constexpr std::size_t kCallBytes = 32'000;
// Time to come back for a call that was refused because of the load.
constexpr Duration kOverloadRetryAfter = milliseconds(500);
constexpr Duration kWatchInterval = milliseconds(100);
// While connections are scarce, one that has been idle for this long is closed.
constexpr Duration kCrowdedIdleTime = seconds(1);
constexpr Duration kResourceLogInterval = seconds(10);

ServerDrainOptions DrainOptions(Duration min_time, Duration shutdown_timeout) {
  ServerDrainOptions options;
  options.min_time = min_time;
  options.refuse_after = shutdown_timeout / kAcceptingDivisor;
  options.timeout = shutdown_timeout - kExitMargin;
  return options;
}

Error Wrap(const Error& error) {
  return {ServeError::kCannotStart, error.message};
}

}  // namespace

GatewayProcess::GatewayProcess(ProcessSettings settings)
    : settings_(std::move(settings)),
      callers_drain_(DrainOptions(kMinDrainTime, settings_.shutdown_timeout)),
      operators_drain_(
          DrainOptions(kControlMinDrainTime, settings_.shutdown_timeout)),
      budget_(std::make_shared<MemoryBudget>(settings_.memory_limit_mb *
                                             kMegabyte)),
      pressure_(settings_.memory_limit_mb * kMegabyte) {}

Result<std::unique_ptr<GatewayProcess>> GatewayProcess::Start(
    ProcessSettings settings,
    Dialect dialect) {
  SetLogLevel(settings.log_level);
  std::unique_ptr<GatewayProcess> process(
      new GatewayProcess(std::move(settings)));
  const auto status = process->StartAll(std::move(dialect));
  if (!status.ok()) {
    return Wrap(status.error());
  }
  return process;
}

GatewayProcess::~GatewayProcess() {
  callers_.reset();
  operators_.reset();
  readiness_.reset();
  metrics_port_.reset();
  if (fleet_ != nullptr) {
    fleet_->Stop();
  }
  fleet_started_ = false;
  if (loop_ != nullptr) {
    loop_->Stop();
  }
  fleet_.reset();
  loop_.reset();
  files_.reset();
}

Status GatewayProcess::StartAll(Dialect dialect) {
  auto status = StartLoop(std::move(dialect));
  if (status.ok()) {
    status = StartFleet();
  }
  if (status.ok()) {
    status = StartServers();
  }
  if (status.ok()) {
    Log(Event::kVmStarted,
        "vm {} ({}) in zone {} serves callers on {}, "
        "operators on {}, peers on {}{}",
        settings_.name, settings_.vm.value(), settings_.zone.value(),
        ToString(settings_.callers), ToString(settings_.operators),
        ToString(settings_.peers), settings_.bootstrap ? ", first start" : "");
  }
  return status;
}

Status GatewayProcess::StartLoop(Dialect dialect) {
  const auto& bounds = settings_.gateway;
  GatewayLoopOptions options;
  options.budget = budget_;
  options.entry = IsSet(settings_.callers);
  options.control = IsSet(settings_.operators);
  auto& gateway = options.gateway;
  gateway.self = settings_.vm;
  gateway.zone = settings_.zone;
  gateway.seed = RandomNumber();
  gateway.attempt_prefix = static_cast<std::uint32_t>(RandomNumber()) | 1;
  gateway.retries = {bounds.retry_ratio, bounds.retry_window,
                     bounds.retry_slack};
  gateway.observe = [this](const CallObservation& call) { Count(call); };
  gateway.quota = {bounds.quota_window, bounds.quota_overage,
                   bounds.quota_slack};
  options.control_handler.quota = gateway.quota;
  gateway.picker.zone = settings_.zone;
  gateway.notices.bytes_per_second = BulkBytesPerSecond(settings_);
  // A call begins at the endpoint up to this much later than it was sent.
  constexpr Duration kBeginMargin = milliseconds(700);
  gateway.picker.weights_deadline = bounds.weights_deadline - kBeginMargin;
  // Time until a call that is withdrawn is off the endpoint's queue: this VM
  // may be busy, the endpoint isn't in its zone, and the weights may have been
  // named a little before this VM heard of them.
  constexpr Duration kWithdrawTime = milliseconds(250);
  gateway.begin_deadline = bounds.weights_deadline - kWithdrawTime;
  constexpr int kMissedReports = 4;
  gateway.silent_after = kMissedReports * bounds.report_interval;
  options.control_handler.self = settings_.vm;
  options.control_handler.rollout.self = settings_.vm;
  options.control_handler.rollout.order_lease = bounds.order_lease;
  if (!settings_.data_dir.empty()) {
    ReadFiles(&options);
  }
  GatewayLoopHooks hooks;
  if (files_ != nullptr) {
    hooks.save_file = [this](const std::string& name, std::string contents) {
      files_->Write(name, std::move(contents));
    };
  }
  hooks.send = [this](PeerMessage message) {
    return fleet_started_ && fleet_->Send(std::move(message));
  };
  hooks.propose = [this](Proposal proposal, Instant deadline,
                         const ProposalDone& done) {
    if (!fleet_started_) {
      done({ProposalOutcome::kNotAccepted, StateVersion(),
            "this VM is starting or stopping", std::nullopt});
      return;
    }
    fleet_->Propose(std::move(proposal), deadline, done);
  };
  hooks.led_term = [this]() -> std::uint64_t {
    if (!fleet_started_) {
      return 0;
    }
    const auto status = fleet_->control_status();
    return status.has_lease ? status.term : 0;
  };
  auto loop = GatewayLoop::Start(std::move(options), std::move(dialect),
                                 std::move(hooks));
  if (!loop.ok()) {
    return loop.error();
  }
  loop_ = std::move(loop.value());
  return Ok();
}

// Without these files, the VM starts correctly but takes longer to be ready.
void GatewayProcess::ReadFiles(GatewayLoopOptions* options) {
  auto files = StateFiles::Open(settings_.data_dir / "start");
  if (!files.ok()) {
    Log(Event::kStateFileFailed, "{}", files.error().message);
    return;
  }
  files_ = std::move(files.value());
  const auto stored = files_->Read(kEndpointsFile);
  const auto endpoints = DecodeRegistry(stored);
  const auto uses = DecodeQuotaUses(files_->Read(kQuotasFile));
  if (endpoints.ok()) {
    options->stored_endpoints = endpoints.value().records;
  } else if (!stored.empty()) {
    Log(Event::kStateFileFailed, "state file {}: {}", kEndpointsFile,
        endpoints.error().message);
  }
  if (uses.ok()) {
    options->control_handler.stored_uses = uses.value();
  } else {
    Log(Event::kStateFileFailed, "state file {}: {}", kQuotasFile,
        uses.error().message);
  }
}

Status GatewayProcess::StartFleet() {
  FleetNodeHooks hooks;
  hooks.on_state = [this](FleetStatePtr state,
                          std::vector<NamedWeightsAt> named) {
    loop_->SetState(std::move(state), std::move(named));
  };
  hooks.on_withdrawn = [](const std::vector<KeyId>&) {};
  hooks.on_view = [](const FleetView&) {};
  hooks.on_message = [this](PeerMessage message) {
    loop_->Push(std::move(message));
  };
  hooks.on_directory = [this](const Directory& directory) {
    OnDirectory(directory);
  };
  auto node = FleetNode::Start(settings_, std::move(hooks), budget_);
  if (!node.ok()) {
    return node.error();
  }
  fleet_ = std::move(node.value());
  fleet_started_ = true;
  return Ok();
}

void GatewayProcess::OnDirectory(const Directory& directory) {
  FleetPeers fleet;
  fleet.entries = directory.CountEntryVms();
  for (const auto& it : directory.Others()) {
    fleet.peers.push_back({it.vm, it.control});
    if (it.entry) {
      fleet.other_entries.push_back({it.vm, it.zone});
    }
  }
  loop_->SetPeers(std::move(fleet));
}

Result<std::unique_ptr<HttpServer>> GatewayProcess::Serve(
    const Address& listen,
    std::string name,
    bool watch_peers,
    HttpServer::Handler handler) {
  HttpServerOptions options;
  options.listen = listen;
  options.name = std::move(name);
  options.threads = kCallerThreads;
  options.max_body_bytes =
      watch_peers ? CallerLimits().max_body_bytes : kMaxManifestBytes;
  options.max_connections = MaxConnections();
  options.idle_timeout =
      watch_peers ? CallerLimits().idle_timeout : kOperatorIdle;
  options.watch_peers = watch_peers;
  if (watch_peers) {
    options.budget = budget_;
    options.no_memory = [this](HttpExchange& exchange) {
      RefuseForLoad(exchange, "there is no memory for the body");
    };
  }
  return HttpServer::Start(
      std::move(options), std::move(handler), [this](HttpExchange& exchange) {
        loop_->dialect().write_refusal(
            exchange,
            {RefusalReason::kBodyTooLarge, "the body is too large", true, {}});
      });
}

Status GatewayProcess::StartServers() {
  struct Port {
    const Address& listen;
    const char* name;
    bool watch_peers;
    std::unique_ptr<HttpServer>& server;
    HttpServer::Handler handler;
  };
  const Port ports[] = {
      {settings_.operators, "operators", false, operators_,
       [this](const HttpExchangePtr& it) { OnControlCall(it); }},
      {settings_.callers, "callers", true, callers_,
       [this](const HttpExchangePtr& it) { OnCaller(it); }},
      {settings_.readiness, "readiness", false, readiness_,
       [this](const HttpExchangePtr& it) { OnReadiness(*it); }},
      {settings_.metrics, "metrics", false, metrics_port_,
       [this](const HttpExchangePtr& it) { OnMetrics(*it); }},
  };
  for (const auto& it : ports) {
    if (!IsSet(it.listen)) {
      continue;
    }
    auto server = Serve(it.listen, it.name, it.watch_peers, it.handler);
    if (!server.ok()) {
      return server.error();
    }
    it.server = std::move(server.value());
  }
  return Ok();
}

bool GatewayProcess::ready() const {
  return !stopping_ && loop_->informed();
}

void GatewayProcess::OnReadiness(HttpExchange& exchange) const {
  exchange.Respond(ready() ? 200 : 503, {{"Content-Type", "text/plain"}},
                   ready() ? "ready\n" : "not ready\n");
}

void GatewayProcess::OnMetrics(HttpExchange& exchange) const {
  if (exchange.request().path != "/metrics") {
    exchange.Respond(404, {{"Content-Type", "text/plain"}},
                     "only /metrics is served here\n");
    return;
  }
  exchange.Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                   metrics_.Render());
}

void GatewayProcess::Count(const CallObservation& call) {
  if (call.refused) {
    metrics_.CountRefusal(call.organisation, *call.refused, false);
  }
  if (call.first_event) {
    metrics_.ObserveFirstToken({call.organisation}, *call.first_event);
    metrics_.ObserveTokenGap({call.organisation}, call.longest_pause);
  }
}

std::size_t GatewayProcess::MaxConnections() const {
  return std::clamp<std::size_t>(
      budget_->BoundOf(MemoryPart::kConnections) / kConnectionBytes, 1,
      settings_.max_connections);
}

const char* GatewayProcess::Overloaded() const {
  if (short_of_memory_) {
    return "this VM is short of memory";
  }
  const auto most_calls = budget_->BoundOf(MemoryPart::kCalls) / kCallBytes;
  return loop_->open_calls() >= most_calls ? "this VM has too many open calls"
                                           : nullptr;
}

void GatewayProcess::RefuseForLoad(HttpExchange& exchange, const char* reason) {
  metrics_.CountRefusal(OrganisationId(), RefusalReason::kQueueFull, false);
  Log(Event::kCallRefused, {{"reason", reason}}, "a call is refused: {}",
      reason);
  loop_->dialect().write_refusal(
      exchange, {RefusalReason::kQueueFull, reason, true, kOverloadRetryAfter});
}

void GatewayProcess::OnCaller(const HttpExchangePtr& exchange) {
  const auto& dialect = loop_->dialect();
  if (const auto* reason = Overloaded()) {
    RefuseForLoad(*exchange, reason);
    return;
  }
  auto read = dialect.read_call(exchange->request());
  exchange->FreeBody();
  const bool too_late =
      callers_drain_.refusing() || exchange->reading_was_closed();
  if (too_late && read.call != nullptr) {
    // The call might not finish before the process is killed, or its answer
    // would be lost with the connection that is being closed.
    read = {nullptr,
            {RefusalReason::kShuttingDown, "this VM stops", true,
             milliseconds(100)}};
  }
  if (read.call == nullptr) {
    dialect.write_refusal(*exchange, read.refusal);
    return;
  }
  read.call->id = RequestId(++last_request_);
  read.call->arrived = clock_.Now();
  if (!loop_->Push(CallEvent{std::move(read.call), exchange})) {
    dialect.write_refusal(
        *exchange, {RefusalReason::kQueueFull, "this VM is overloaded", true,
                    milliseconds(500)});
  }
}

void GatewayProcess::OnControlCall(const HttpExchangePtr& exchange) {
  const auto& dialect = loop_->dialect();
  if (operators_drain_.refusing() || exchange->reading_was_closed()) {
    dialect.write_control_answer(
        *exchange, {ControlOutcome::kUnavailable, "this VM stops", nullptr});
    return;
  }
  auto call = dialect.read_control_call(exchange->request());
  if (!loop_->Push(ControlCallEvent{std::move(call), exchange})) {
    dialect.write_control_answer(*exchange, {ControlOutcome::kUnavailable,
                                             "this VM is overloaded", nullptr});
  }
}

void GatewayProcess::BeginShutdown() {
  stopping_ = true;
  callers_drain_.Begin(clock_.Now());
  operators_drain_.Begin(clock_.Now());
  loop_->BeginDrain();
  Log(Event::kVmDraining, "vm {} is draining with {} calls open",
      settings_.name, loop_->open_calls());
}

// Applies the limits on callers' requests, which change with each manifest.
void GatewayProcess::FollowLimits() {
  const auto manifest = loop_->manifest();
  if (callers_ != nullptr && manifest != nullptr) {
    const auto& limits = manifest->manifest().limits;
    callers_->SetLimits(limits.max_body_bytes, limits.idle_timeout);
  }
}

void GatewayProcess::WatchResources(Instant now) {
  if (now < next_watch_) {
    return;
  }
  next_watch_ = now + kWatchInterval;
  // Callers that are idle give way before new ones are kept waiting.
  if (callers_ != nullptr &&
      callers_->connections() > MaxConnections() / 8 * 7) {
    callers_->CloseIdle(kCrowdedIdleTime);
  }
  if (pressure_.level() != PressureLevel::kNormal) {
    // What was freed counts until it is given back to the system.
    malloc_trim(0);
  }
  const auto memory = ReadProcessMemory();
  if (pressure_.Update(memory.resident)) {
    Log(Event::kMemoryPressure,
        {{"pressure", NameOf(pressure_.level())},
         {"resident_bytes", memory.resident},
         {"limit_mb", settings_.memory_limit_mb}},
        "vm {} occupies {} of {} MB; memory pressure is {}", settings_.name,
        memory.resident / kMegabyte, settings_.memory_limit_mb,
        NameOf(pressure_.level()));
    short_of_memory_ = pressure_.level() != PressureLevel::kNormal;
    LogResources(memory);
  } else if (now >= next_resource_log_) {
    LogResources(memory);
  }
}

void GatewayProcess::LogResources(const ProcessMemory& memory) {
  next_resource_log_ = clock_.Now() + kResourceLogInterval;
  const auto connections = callers_ == nullptr ? 0 : callers_->connections();
  const auto exchanges = callers_ == nullptr ? 0 : callers_->open_exchanges();
  const auto traffic = fleet_->traffic();
  const LogFields resources = {
      {"resident_bytes", memory.resident},
      {"highest_resident_bytes", memory.highest},
      {"caller_connections", connections},
      {"caller_exchanges", exchanges},
      {"open_calls", loop_->open_calls()},
      {"waiting_events", loop_->waiting_events()},
      {"peer_connections", traffic.connections},
      {"waiting_peer_messages", traffic.waiting},
      {"dropped_peer_messages", traffic.dropped},
      {"overflowed_peer_messages", traffic.overflowed},
      {"request_bytes", budget_->TakeHighest(MemoryPart::kRequests)},
      {"answer_bytes", budget_->TakeHighest(MemoryPart::kAnswers)},
      {"event_bytes", budget_->TakeHighest(MemoryPart::kEvents)},
      {"peer_bytes", budget_->TakeHighest(MemoryPart::kPeers)},
      {"requests_without_memory", budget_->refusals(MemoryPart::kRequests)},
      {"answers_without_memory", budget_->refusals(MemoryPart::kAnswers)},
  };
  for (const auto& it : resources) {
    metrics_.SetResource(it.name, std::get<std::int64_t>(it.value));
  }
  Log(Event::kVmResources, resources, "vm {} occupies {} of {} MB",
      settings_.name, memory.resident / kMegabyte, settings_.memory_limit_mb);
  LogTraffic(traffic);
}

void GatewayProcess::LogTraffic(const PeerTraffic& traffic) const {
  std::string by_topic;
  for (const auto& [topic, it] : traffic.sent_of) {
    by_topic += fmt::format("{}{} {} B in {}", by_topic.empty() ? "" : ", ",
                            NameOf(topic), it.bytes, it.messages);
  }
  Log(Event::kPeerTraffic,
      {{"sent_messages", traffic.sent},
       {"sent_bytes", traffic.sent_bytes},
       {"sent_bulk_bytes", traffic.sent_bulk_bytes},
       {"received_bytes", traffic.received_bytes},
       {"sent_of", by_topic}},
      "vm {} sent {} bytes to other VMs, {} of them estimates", settings_.name,
      traffic.sent_bytes, traffic.sent_bulk_bytes);
}

bool GatewayProcess::AdvanceShutdown() {
  FollowLimits();
  const auto now = clock_.Now();
  WatchResources(now);
  bool ended = stopping_;
  if (callers_ != nullptr) {
    ended &= callers_drain_.Advance(*callers_, now);
  }
  if (operators_ != nullptr) {
    ended &= operators_drain_.Advance(*operators_, now);
  }
  return ended;
}

void GatewayProcess::Run() {
  SignalHooks hooks;
  hooks.on_stop = [this] { BeginShutdown(); };
  hooks.on_reload = [this] {
    Log(Event::kReloadIgnored,
        "vm {} was asked to reload its settings; they apply from the next "
        "start",
        settings_.name);
  };
  hooks.finished = [this] { return AdvanceShutdown(); };
  WaitForSignals(hooks);
  Log(Event::kVmStopped, "vm {} stops with {} calls open", settings_.name,
      loop_->open_calls());
}

}  // namespace baobabrun
