// Answers of the engine stand-in: events as their tokens come, and the faults
// that spoil them.
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
constexpr char kAnotherAttempt[] = "00000000deadbeef";

AnswerUsage UsageOf(const ModelRequest& request, std::int64_t cached_tokens) {
  AnswerUsage usage;
  usage.prompt_tokens = request.work.prompt_tokens;
  usage.cached_tokens = cached_tokens;
  usage.completion_tokens = request.answer_tokens;
  return usage;
}

}  // namespace

void EngineServer::Send(Run& run) {
  if (run.reader == nullptr || run.muted) {
    return;
  }
  if (run.fault && run.fault->kind == FaultKind::kSilent &&
      run.sent_events >= run.fault->after) {
    run.muted = true;
    return;
  }
  const bool has_news =
      run.finished || run.produced > run.request.delivered_tokens;
  if (!has_news) {
    return;
  }
  if (run.fault && run.fault->kind == FaultKind::kCutBeforeFirstByte) {
    EndReader(run, false);
  } else if (run.request.stream) {
    SendStream(run);
  } else if (run.finished) {
    SendWhole(run);
  }
}

void EngineServer::SendStream(Run& run) {
  if (!run.reader->begun()) {
    run.reader->Begin(200, AnswerHeaders(run, kEventStreamType));
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
    EndReader(run, true);
    return;
  }
  run.reader->Write(kDoneEvent);
  const bool cut = run.fault && run.fault->kind == FaultKind::kCutAfterMarker;
  EndReader(run, !cut);
}

// Sends event number `id`. False if a fault ended or muted the answer.
bool EngineServer::SendEvent(Run& run, std::int64_t id) {
  const auto event = EventText(run, id);
  if (run.fault && id > run.fault->after && ShowsFault(run, id, event)) {
    return run.reader != nullptr && !run.muted;
  }
  run.reader->Write(event);
  run.sent_events = id;
  return true;
}

// Shows the fault on this event, if it is one of single events. Returns whether
// that replaced the sending of the event.
bool EngineServer::ShowsFault(Run& run,
                              std::int64_t id,
                              const std::string& event) {
  switch (run.fault->kind) {
    case FaultKind::kSilent:
      run.muted = true;
      return true;
    case FaultKind::kCutMidEvent:
      run.reader->Write(std::string_view(event).substr(0, event.size() / 2));
      EndReader(run, false);
      return true;
    case FaultKind::kDoubledEvent:
      run.reader->Write(event + event);
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
    run.reader->Respond(500, AnswerHeaders(run, kJsonType),
                        ErrorAnswer("fault", "failed after the run"));
    EndReader(run, true);
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
    run.reader->Begin(200, AnswerHeaders(run, kJsonType));
    run.reader->Write(std::string_view(body).substr(0, body.size() / 2));
  } else {
    run.reader->Respond(200, AnswerHeaders(run, kJsonType), body);
  }
  EndReader(run, !cut);
}

// Ends the reader's connection from this side; the run goes on and may be
// resumed for a time.
void EngineServer::EndReader(Run& run, bool whole) {
  const auto reader = std::exchange(run.reader, nullptr);
  if (reader != nullptr) {
    reader->End(whole);
  }
  run.forget_at = SystemClock().Now() + options_.resume_window;
}

std::vector<Header> EngineServer::AnswerHeaders(const Run& run,
                                                const char* type) const {
  const bool wrong = run.fault && run.fault->kind == FaultKind::kWrongAttempt;
  const auto& work = run.request.work;
  return {{"Content-Type", type},
          {"Baobabrun-Attempt", wrong ? kAnotherAttempt : run.attempt_text},
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
