// Requests and threads of the engine stand-in. engine_answers.cc sends the
// answers.
#include "standin/engine_server.h"

#include <fmt/core.h>

#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "standin/answer_format.h"
#include "standin/answer_text.h"
#include "standin/http_helpers.h"

namespace baobabrun::standin {
namespace {

constexpr milliseconds kMaxWait{100};

}  // namespace

EngineServer::EngineServer(EngineServerOptions options)
    : options_(std::move(options)),
      first_incarnation_(FirstIncarnation()),
      run_recorder_(options_.key_marker),
      orders_(options_.orders, options_.models) {
  for (const auto& it : options_.faults) {
    faults_.Add(it);
  }
}

Result<std::unique_ptr<EngineServer>> EngineServer::Start(
    EngineServerOptions options) {
  std::unique_ptr<EngineServer> out(new EngineServer(std::move(options)));
  auto engine = Engine::Create(out->options_.engine, out->options_.seed);
  if (!engine.ok()) {
    return engine.error();
  }
  out->engine_ = std::move(engine.value());
  auto status = out->Listen();
  if (status.ok()) {
    status = out->StartThreads();
  }
  if (!status.ok()) {
    return status.error();
  }
  return out;
}

Status EngineServer::Listen() {
  auto server = HttpServer::Start(
      EndpointHttpOptions(options_.listen, "engine"),
      [this](const auto& exchange) { Handle(exchange); }, &RefuseTooLarge);
  if (!server.ok()) {
    return server.error();
  }
  http_ = std::move(server.value());
  return Ok();
}

Status EngineServer::StartThreads() {
  auto decision_thread =
      DutyThread::Start("engine-decide", [this] { RunDecisionLoop(); });
  if (!decision_thread.ok()) {
    return decision_thread.error();
  }
  decision_thread_ = std::move(decision_thread.value());
  auto announcer = Announcer::Start(
      options_.announcer, [this] { return Describe(); },
      [this] { return TakeEvents(); });
  if (!announcer.ok()) {
    return announcer.error();
  }
  announcer_ = std::move(announcer.value());
  return Ok();
}

EngineServer::~EngineServer() {
  announcer_.reset();
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  decision_thread_.reset();
  http_.reset();
}

void EngineServer::Leave() {
  std::lock_guard lock(mutex_);
  orders_.Leave();
}

bool EngineServer::Idle() const {
  std::lock_guard lock(mutex_);
  const auto load = engine_->CurrentLoad();
  return load.running == 0 && load.queued == 0;
}

void EngineServer::Handle(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  if (request.path == "/fault") {
    HandleFault(exchange);
  } else if (request.path == "/runs") {
    HandleRuns(exchange);
  } else if (request.path == "/orders") {
    HandleOrder(exchange);
  } else if (request.path == "/v1/resume") {
    HandleResume(exchange);
  } else if (request.path == "/v1/chat/completions") {
    HandleModelCall(exchange, RequestKind::kChat);
  } else if (request.path == "/v1/completions") {
    HandleModelCall(exchange, RequestKind::kCompletion);
  } else {
    exchange->Respond(404, JsonHeaders(request),
                      ErrorAnswer("not_found", "no such path"));
  }
}

void EngineServer::HandleModelCall(const HttpExchangePtr& exchange,
                                   RequestKind kind) {
  const auto& request = exchange->request();
  run_recorder_.CheckForKey(request);
  auto call = ReadModelRequest(kind, request.body, options_.poison_marker);
  if (!call.ok()) {
    exchange->Respond(400, JsonHeaders(request),
                      ErrorAnswer("bad_request", call.error().message));
    return;
  }
  auto run = std::make_shared<Run>();
  run->request = std::move(call.value());
  run->tag = RunRecorder::TagOf(request, run->request.user);
  run->prompt_id = PromptId(run->request.prompt);
  run->sent_events = run->request.delivered_tokens;
  run->produced = run->request.delivered_tokens;
  if (SubmitRun(run, exchange)) {
    Attach(run, exchange);
  }
}

// Submits the run to the engine. Returns false if it was refused and the
// exchange has been ended.
bool EngineServer::SubmitRun(const RunPtr& run,
                             const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  std::lock_guard lock(mutex_);
  const auto now = SystemClock().Now();
  if (down_until_) {
    exchange->End(false);
    return false;
  }
  if (!orders_.Serves(run->request.model, run->request.weights, now)) {
    exchange->Respond(404, JsonHeaders(request),
                      ErrorAnswer("model_not_found", "model not loaded"));
    return false;
  }
  const auto fault = faults_.Take();
  if (const int status = RefusalStatus(fault); status != 0) {
    run_recorder_.Refused(run->tag);
    exchange->Respond(status, JsonHeaders(request),
                      ErrorAnswer("fault", "refused by a fault"));
    return false;
  }
  run->fault = fault;
  run->id = AttemptId(ParseHex(request.HeaderValue("baobabrun-attempt")));
  if (run->id == AttemptId() || runs_.contains(run->id)) {
    run->id = AttemptId(RandomNumber());
  }
  run->request.work.id = run->id;
  const auto status = engine_->Submit(run->request.work, now);
  if (!status.ok()) {
    run_recorder_.Refused(run->tag);
    exchange->Respond(503, JsonHeaders(request),
                      ErrorAnswer("overloaded", status.error().message));
    return false;
  }
  runs_[run->id] = run;
  if (run->request.delivered_tokens > 0) {
    run_recorder_.Continued(run->tag);
  } else {
    run_recorder_.Started(run->tag);
  }
  return true;
}

// Makes the exchange the one that receives the run's answer.
void EngineServer::Attach(const RunPtr& run, const HttpExchangePtr& exchange) {
  {
    std::lock_guard lock(mutex_);
    run->exchange = exchange;
    run->attempt_text = exchange->request().HeaderValue("baobabrun-attempt");
    run->expires_at.reset();
  }
  // SetHooks() can call the hook at once, and the hook locks the mutex, so that
  // the mutex must not be held here.
  exchange->SetHooks(
      [this, id = run->id, closed = exchange.get()] {
        OnConnectionClosed(id, closed);
      },
      nullptr);
  std::lock_guard lock(mutex_);
  SendNew(*run);
  changed_.notify_all();
}

// Cancels the request whose connection was closed, unless another exchange
// receives the answer now.
void EngineServer::OnConnectionClosed(AttemptId id,
                                      const HttpExchange* exchange) {
  std::lock_guard lock(mutex_);
  const auto it = runs_.find(id);
  if (it == runs_.end() || it->second->exchange.get() != exchange) {
    return;
  }
  if (!it->second->finished) {
    engine_->Cancel(id, SystemClock().Now());
    run_recorder_.Cancelled(it->second->tag);
  }
  RemoveRun(it->second);
}

// Removes all entries of the run. A resumed run has one for each attempt id.
void EngineServer::RemoveRun(RunPtr run) {
  std::erase_if(runs_,
                [&run](const auto& entry) { return entry.second == run; });
}

void EngineServer::HandleResume(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  run_recorder_.CheckForKey(request);
  const auto body = nlohmann::json::parse(request.body, nullptr, false);
  RunPtr run;
  if (body.is_object() && body.contains("attempt") && body.contains("after") &&
      body["attempt"].is_string() && body["after"].is_number_integer()) {
    std::lock_guard lock(mutex_);
    const auto it = runs_.find(
        AttemptId(ParseHex(body["attempt"].get_ref<const std::string&>())));
    if (!down_until_ && it != runs_.end() && it->second->request.stream) {
      run = it->second;
      EndExchange(*run, false);
      const auto attempt = request.HeaderValue("baobabrun-attempt");
      runs_[AttemptId(ParseHex(attempt))] = run;
      run->sent_events = body["after"].get<std::int64_t>();
      run->fault.reset();
      run->silenced = false;
    }
  }
  if (run == nullptr) {
    exchange->Respond(404, JsonHeaders(request),
                      ErrorAnswer("unknown_attempt", "nothing to resume"));
    return;
  }
  Attach(run, exchange);
}

void EngineServer::HandleRuns(const HttpExchangePtr& exchange) {
  std::lock_guard lock(mutex_);
  exchange->Respond(
      200, JsonHeaders(exchange->request()),
      run_recorder_.ToJson(faults_.waiting(), engine_->incarnation() - 1));
}

void EngineServer::HandleFault(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto scheduled = ParseScheduledFault(request.body);
  if (!scheduled.ok()) {
    exchange->Respond(400, JsonHeaders(request),
                      ErrorAnswer("bad_request", scheduled.error().message));
    return;
  }
  exchange->Respond(200, JsonHeaders(request), "{}");
  const auto& fault = scheduled.value().fault;
  std::lock_guard lock(mutex_);
  switch (fault.kind) {
    case FaultKind::kCrash:
      engine_->Crash(SystemClock().Now());
      ShutDownAfterCrash(SystemClock().Now());
      break;
    case FaultKind::kLagEvents:
      engine_->cache().set_event_delay(milliseconds(fault.value));
      break;
    case FaultKind::kLoseEvents:
      engine_->cache().set_event_loss_ppm(
          static_cast<std::int32_t>(fault.value));
      break;
    case FaultKind::kSlow:
      engine_->SetWorkTimePercent(static_cast<std::int32_t>(fault.value));
      break;
    default:
      faults_.Add(scheduled.value());
  }
}

void EngineServer::HandleOrder(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto order = ParseOrder(request.body);
  if (!order.ok()) {
    exchange->Respond(400, JsonHeaders(request),
                      ErrorAnswer("bad_request", order.error().message));
    return;
  }
  std::lock_guard lock(mutex_);
  if (down_until_) {
    exchange->End(false);
    return;
  }
  const bool accepted = orders_.Apply(order.value(), SystemClock().Now());
  exchange->Respond(accepted ? 200 : 409, JsonHeaders(request),
                    fmt::format(R"({{"accepted":{},"term":{}}})", accepted,
                                orders_.highest_term()));
}

void EngineServer::RunDecisionLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto now = SystemClock().Now();
    if (down_until_ && *down_until_ <= now) {
      down_until_.reset();
    }
    for (const auto& it : engine_->Advance(now)) {
      HandleOutput(it);
    }
    RemoveExpiredRuns(now);
    const auto next = engine_->NextEvent();
    const auto latest = now + kMaxWait;
    changed_.wait_until(lock, next ? std::min(*next, latest) : latest);
  }
}

void EngineServer::HandleOutput(const EngineOutput& output) {
  if (output.kind == EngineOutput::Kind::kCrashed) {
    ShutDownAfterCrash(output.at);
    return;
  }
  const auto it = runs_.find(output.id);
  if (it == runs_.end()) {
    return;
  }
  auto& run = *it->second;
  switch (output.kind) {
    case EngineOutput::Kind::kStarted:
      run.cached_tokens = output.cached_tokens;
      return;
    case EngineOutput::Kind::kToken:
      ++run.produced;
      break;
    case EngineOutput::Kind::kFinished:
      run.finished = true;
      run_recorder_.Finished(run.tag);
      break;
    case EngineOutput::Kind::kCrashed:
      break;
  }
  SendNew(run);
}

void EngineServer::RemoveExpiredRuns(Instant now) {
  std::erase_if(runs_, [now](const auto& entry) {
    const auto& at = entry.second->expires_at;
    return at && *at <= now;
  });
}

// Closes all connections after the engine has crashed. The endpoint stays down
// for the restart time.
void EngineServer::ShutDownAfterCrash(Instant now) {
  auto runs = std::exchange(runs_, {});
  for (const auto& [id, run] : runs) {
    EndExchange(*run, false);
  }
  down_until_ = now + options_.restart_time;
  Log(Event::kStandinCrashed, "engine stand-in {} crashed",
      options_.name.value());
}

std::optional<Announcement> EngineServer::Describe() {
  std::lock_guard lock(mutex_);
  if (down_until_) {
    return std::nullopt;
  }
  const auto now = SystemClock().Now();
  Announcement out;
  out.endpoint = options_.name;
  out.incarnation = Incarnation(first_incarnation_ + engine_->incarnation());
  out.zone = options_.zone;
  out.address = address();
  out.kind = EndpointKind::kEngine;
  out.models = orders_.Models(now);
  out.loading = orders_.loading(now);
  out.checks_fencing = orders_.checks_fencing();
  out.slots = options_.engine.slots;
  out.leaving = orders_.leaving();
  out.load = engine_->ReportedLoad(now);
  return out;
}

std::vector<CacheEvents> EngineServer::TakeEvents() {
  std::lock_guard lock(mutex_);
  const auto now = SystemClock().Now();
  std::vector<CacheEvents> out;
  for (auto events = engine_->TakeEvents(now); !events.items.empty();
       events = engine_->TakeEvents(now)) {
    out.push_back(std::move(events));
  }
  return out;
}

}  // namespace baobabrun::standin
