// Sends the engine stand-in's answers, event by event as tokens are produced,
// and injects faults into them.
#include <algorithm>
#include <utility>

#include "standin/answer_format.h"
#include "standin/answer_text.h"
#include "standin/engine_server.h"
#include "standin/http_helpers.h"

namespace baobabrun::standin {
namespace {

constexpr char kEventStreamType[] = "text/event-stream";
constexpr char kJsonType[] = "application/json";
constexpr char kWrongAttemptId[] = "00000000deadbeef";

AnswerUsage UsageOf(const ModelRequest& request, std::int64_t cached_tokens) {
  AnswerUsage usage;
  usage.prompt_tokens = request.work.prompt_tokens;
  usage.cached_tokens = cached_tokens;
  usage.completion_tokens = request.answer_tokens;
  return usage;
}

}  // namespace

void EngineServer::SendNew(Run& run) {
  if (run.exchange == nullptr || run.silenced) {
    return;
  }
  if (run.fault && run.fault->kind == FaultKind::kSilent &&
      run.sent_events >= run.fault->after) {
    run.silenced = true;
    return;
  }
  const bool has_new_tokens =
      run.finished || run.produced > run.request.delivered_tokens;
  if (!has_new_tokens) {
    return;
  }
  if (run.fault && run.fault->kind == FaultKind::kCutBeforeFirstByte) {
    EndExchange(run, false);
  } else if (run.request.stream) {
    SendStream(run);
  } else if (run.finished) {
    SendWhole(run);
  }
}

void EngineServer::SendStream(Run& run) {
  if (!run.exchange->begun()) {
    run.exchange->Begin(200, AnswerHeaders(run, kEventStreamType));
  }
  while (run.sent_events < run.produced) {
    if (!SendEvent(run, run.sent_events + 1)) {
      return;
    }
  }
  if (!run.finished) {
    return;
  }
  const auto finish_id = run.request.answer_tokens + 1;
  if (run.sent_events < finish_id && !SendEvent(run, finish_id)) {
    return;
  }
  if (run.fault && run.fault->kind == FaultKind::kCutBeforeMarker) {
    EndExchange(run, true);
    return;
  }
  run.exchange->Write(kDoneEvent);
  const bool cut = run.fault && run.fault->kind == FaultKind::kCutAfterMarker;
  EndExchange(run, !cut);
}

// Sends event number `id`. Returns false if a fault ended or silenced the
// answer.
bool EngineServer::SendEvent(Run& run, std::int64_t id) {
  const auto event = EventText(run, id);
  if (run.fault && id > run.fault->after && InjectFault(run, id, event)) {
    return run.exchange != nullptr && !run.silenced;
  }
  run.exchange->Write(event);
  run.sent_events = id;
  return true;
}

// Applies the run's fault to this event if it is a fault of single events.
// Returns true if the caller must not send the event.
bool EngineServer::InjectFault(Run& run,
                               std::int64_t id,
                               const std::string& event) {
  switch (run.fault->kind) {
    case FaultKind::kSilent:
      run.silenced = true;
      return true;
    case FaultKind::kCutMidEvent:
      run.exchange->Write(std::string_view(event).substr(0, event.size() / 2));
      EndExchange(run, false);
      return true;
    case FaultKind::kDoubledEvent:
      run.exchange->Write(event + event);
      break;
    case FaultKind::kSkippedEvent:
      break;
    default:
      return false;
  }
  run.fault.reset();
  run.sent_events = id;
  return true;
}

void EngineServer::SendWhole(Run& run) {
  const bool failed = run.fault && run.fault->kind == FaultKind::kFailAfterRun;
  if (failed) {
    run.exchange->Respond(500, AnswerHeaders(run, kJsonType),
                          ErrorAnswer("fault", "failed after the run"));
    EndExchange(run, true);
    return;
  }
  const auto body =
      WholeAnswer(run.request.kind, run.request.model.value(),
                  AnswerText(run.request.prompt, run.request.answer_tokens),
                  UsageOf(run.request, run.cached_tokens));
  const bool cut =
      run.fault && (run.fault->kind == FaultKind::kCutMidEvent ||
                    run.fault->kind == FaultKind::kCutBeforeMarker);
  if (cut) {
    run.exchange->Begin(200, AnswerHeaders(run, kJsonType));
    run.exchange->Write(std::string_view(body).substr(0, body.size() / 2));
  } else {
    run.exchange->Respond(200, AnswerHeaders(run, kJsonType), body);
  }
  EndExchange(run, !cut);
}

// Ends the exchange. The run continues and can be resumed within the resume
// window.
void EngineServer::EndExchange(Run& run, bool complete) {
  const auto exchange = std::exchange(run.exchange, nullptr);
  if (exchange != nullptr) {
    exchange->End(complete);
  }
  run.expires_at = SystemClock().Now() + options_.resume_window;
}

std::vector<Header> EngineServer::AnswerHeaders(const Run& run,
                                                const char* type) const {
  const bool wrong = run.fault && run.fault->kind == FaultKind::kWrongAttempt;
  const auto& work = run.request.work;
  return {{"Content-Type", type},
          {"Baobabrun-Attempt", wrong ? kWrongAttemptId : run.attempt_text},
          {"Baobabrun-Cached-Tokens", std::to_string(run.cached_tokens)},
          {"Baobabrun-Prompt-Tokens", std::to_string(work.prompt_tokens)}};
}

std::string EngineServer::EventText(const Run& run, std::int64_t id) const {
  const auto kind = run.request.kind;
  if (id > run.request.answer_tokens) {
    return FinishEvent(kind, id, UsageOf(run.request, run.cached_tokens));
  }
  return TokenEvent(kind, id, TokenText(run.prompt_id, id));
}

}  // namespace baobabrun::standin
