// Calls and threads of the service stand-in.
#include "standin/service_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"
#include "standin/answer_format.h"
#include "standin/http_helpers.h"

namespace baobabrun::standin {
namespace {

constexpr milliseconds kMaxWait{100};
constexpr char kWrongAttemptId[] = "00000000deadbeef";

}  // namespace

ServiceServer::ServiceServer(ServiceServerOptions options)
    : options_(std::move(options)),
      first_incarnation_(FirstIncarnation()),
      run_recorder_(options_.key_marker) {
  for (const auto& it : options_.faults) {
    faults_.Add(it);
  }
}

Result<std::unique_ptr<ServiceServer>> ServiceServer::Start(
    ServiceServerOptions options) {
  std::unique_ptr<ServiceServer> out(new ServiceServer(std::move(options)));
  auto status = out->Listen();
  if (status.ok()) {
    status = out->StartThreads();
  }
  if (!status.ok()) {
    return status.error();
  }
  return out;
}

Status ServiceServer::Listen() {
  auto server = HttpServer::Start(
      EndpointHttpOptions(options_.listen, "service"),
      [this](const auto& exchange) { Handle(exchange); }, &RefuseTooLarge);
  if (!server.ok()) {
    return server.error();
  }
  http_ = std::move(server.value());
  return Ok();
}

Status ServiceServer::StartThreads() {
  auto answer_thread =
      DutyThread::Start("service-answer", [this] { RunAnswerLoop(); });
  if (!answer_thread.ok()) {
    return answer_thread.error();
  }
  answer_thread_ = std::move(answer_thread.value());
  auto announcer = Announcer::Start(
      options_.announcer, [this] { return Describe(); },
      [] { return std::vector<CacheEvents>(); });
  if (!announcer.ok()) {
    return announcer.error();
  }
  announcer_ = std::move(announcer.value());
  return Ok();
}

ServiceServer::~ServiceServer() {
  announcer_.reset();
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  answer_thread_.reset();
  http_.reset();
}

void ServiceServer::Leave() {
  std::lock_guard lock(mutex_);
  leaving_ = true;
}

bool ServiceServer::Idle() const {
  std::lock_guard lock(mutex_);
  return waiting_.empty();
}

void ServiceServer::Handle(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  if (request.path == "/fault") {
    HandleFault(exchange);
  } else if (request.path == "/runs") {
    HandleRuns(exchange);
  } else {
    HandleCall(exchange);
  }
}

void ServiceServer::HandleRuns(const HttpExchangePtr& exchange) {
  std::lock_guard lock(mutex_);
  exchange->Respond(200, JsonHeaders(exchange->request()),
                    run_recorder_.ToJson(faults_.waiting(), crashes_));
}

void ServiceServer::HandleFault(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  const auto scheduled = ParseScheduledFault(request.body);
  if (!scheduled.ok()) {
    exchange->Respond(400, JsonHeaders(request),
                      ErrorAnswer("bad_request", scheduled.error().message));
    return;
  }
  exchange->Respond(200, JsonHeaders(request), "{}");
  std::lock_guard lock(mutex_);
  if (scheduled.value().fault.kind == FaultKind::kCrash) {
    CrashLocked(SystemClock().Now());
  } else {
    faults_.Add(scheduled.value());
  }
}

void ServiceServer::HandleCall(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  run_recorder_.CheckForKey(request);
  Call call;
  call.exchange = exchange;
  call.tag = RunRecorder::TagOf(request, {});
  std::lock_guard lock(mutex_);
  if (down_until_) {
    exchange->End(false);
    return;
  }
  call.fault = faults_.Take();
  if (const int status = RefusalStatus(call.fault); status != 0) {
    run_recorder_.Refused(call.tag);
    exchange->Respond(status, JsonHeaders(request),
                      ErrorAnswer("fault", "refused by a fault"));
    return;
  }
  run_recorder_.Started(call.tag);
  call.run_number = ++runs_by_tag_[call.tag];
  waiting_.emplace(SystemClock().Now() + options_.delay, std::move(call));
  changed_.notify_all();
}

void ServiceServer::CrashLocked(Instant now) {
  for (const auto& [due, call] : std::exchange(waiting_, {})) {
    call.exchange->End(false);
  }
  ++crashes_;
  down_until_ = now + options_.restart_time;
  Log(Event::kStandinCrashed, "service stand-in {} crashed",
      options_.name.value());
}

void ServiceServer::RunAnswerLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto now = SystemClock().Now();
    if (down_until_ && *down_until_ <= now) {
      down_until_.reset();
    }
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
      auto entry = waiting_.extract(waiting_.begin());
      run_recorder_.Finished(entry.mapped().tag);
      Answer(entry.mapped());
    }
    const auto latest = now + kMaxWait;
    const auto next =
        waiting_.empty() ? latest : std::min(latest, waiting_.begin()->first);
    changed_.wait_until(lock, next);
  }
}

void ServiceServer::Answer(const Call& call) {
  const auto& request = call.exchange->request();
  const auto has_fault = [&call](FaultKind kind) {
    return call.fault && call.fault->kind == kind;
  };
  if (has_fault(FaultKind::kSilent)) {
    return;
  }
  if (has_fault(FaultKind::kCutBeforeFirstByte)) {
    call.exchange->End(false);
    return;
  }
  auto headers = JsonHeaders(request);
  if (has_fault(FaultKind::kWrongAttempt)) {
    headers.back() = {"Baobabrun-Attempt", kWrongAttemptId};
  }
  if (has_fault(FaultKind::kFailAfterRun)) {
    call.exchange->Respond(500, headers,
                           ErrorAnswer("fault", "failed after the run"));
    return;
  }
  const nlohmann::json answer = {
      {"service", options_.service}, {"method", request.method},
      {"path", request.path},        {"tag", call.tag},
      {"run", call.run_number},      {"echo", request.body}};
  const auto body =
      answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (has_fault(FaultKind::kCutMidEvent)) {
    call.exchange->Begin(200, headers);
    call.exchange->Write(std::string_view(body).substr(0, body.size() / 2));
    call.exchange->End(false);
    return;
  }
  call.exchange->Respond(200, headers, body);
}

std::optional<Announcement> ServiceServer::Describe() {
  std::lock_guard lock(mutex_);
  if (down_until_) {
    return std::nullopt;
  }
  Announcement out;
  out.endpoint = options_.name;
  out.incarnation = Incarnation(first_incarnation_ + crashes_);
  out.zone = options_.zone;
  out.address = address();
  out.kind = EndpointKind::kService;
  out.service = options_.service;
  out.slots = options_.slots;
  out.leaving = leaving_;
  out.load.running = static_cast<std::int32_t>(waiting_.size());
  return out;
}

}  // namespace baobabrun::standin
