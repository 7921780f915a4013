// The checks on streams, completions, service answers and refusals.
#include "load/answer_check.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace baobabrun::load {
namespace {

using nlohmann::json;

constexpr NameEntry<AnswerOutcome> kNames[] = {
    {AnswerOutcome::kComplete, "complete"},
    {AnswerOutcome::kNotRun, "not_run"},
    {AnswerOutcome::kRefused, "refused"},
    {AnswerOutcome::kExplicitError, "explicit_error"},
    {AnswerOutcome::kEndedEarly, "cut"},
    {AnswerOutcome::kWrong, "wrong"},
    {AnswerOutcome::kRanTwice, "doubled"},
    {AnswerOutcome::kNotConnected, "not_connected"},
    {AnswerOutcome::kNoAnswer, "no_answer"},
    {AnswerOutcome::kTimeout, "timeout"},
};

constexpr int kOk = 200;
constexpr std::string_view kDoneData = "[DONE]";

std::string TextAt(const json& value, const char* pointer) {
  const json::json_pointer at(pointer);
  return value.contains(at) && value[at].is_string()
             ? value[at].get<std::string>()
             : std::string();
}

}  // namespace

std::span<const NameEntry<AnswerOutcome>> AnswerOutcomeNames() {
  return kNames;
}

bool IsViolation(AnswerOutcome outcome) {
  return outcome == AnswerOutcome::kEndedEarly ||
         outcome == AnswerOutcome::kWrong ||
         outcome == AnswerOutcome::kRanTwice;
}

AnswerCheck::AnswerCheck(PlannedKind kind,
                         std::string tag,
                         std::string expected)
    : kind_(kind), tag_(std::move(tag)), expected_(std::move(expected)) {}

bool AnswerCheck::AddBytes(int status, std::string_view bytes) {
  if (kind_ != PlannedKind::kChatStream || status != kOk) {
    const bool first = body_.empty();
    body_.append(bytes);
    return first && status == kOk;
  }
  const bool had_text = !text_.empty();
  for (const auto& it : splitter_.Push(bytes)) {
    events_invalid_ = !AddEvent(it) || events_invalid_;
  }
  return !had_text && !text_.empty();
}

// Returns false if the event must not occur at this point of the stream.
bool AnswerCheck::AddEvent(const StreamEvent& event) {
  if (done_received_ || error_received_) {
    return false;
  }
  if (event.data == kDoneData) {
    done_received_ = true;
    return true;
  }
  if (event.id == 0) {
    const json error = json::parse(event.data, nullptr, false);
    error_received_ = error.is_object() && error.contains("error");
    code_ = error_received_ ? TextAt(error, "/error/code") : "";
    return error_received_;
  }
  if (event.id != last_event_id_ + 1) {
    return false;
  }
  last_event_id_ = event.id;
  AddChunk(event);
  return true;
}

void AnswerCheck::AddChunk(const StreamEvent& event) {
  const json chunk = json::parse(event.data, nullptr, false);
  text_ += TextAt(chunk, "/choices/0/delta/content");
  finish_reason_received_ = finish_reason_received_ ||
                            !TextAt(chunk, "/choices/0/finish_reason").empty();
}

AnswerOutcome AnswerCheck::Finish(int status, bool message_complete) const {
  if (status == 0) {
    return AnswerOutcome::kNoAnswer;
  }
  if (status != kOk) {
    return message_complete ? FinishRefusal() : AnswerOutcome::kEndedEarly;
  }
  if (kind_ == PlannedKind::kChatStream) {
    return FinishStream(message_complete);
  }
  if (!message_complete) {
    return AnswerOutcome::kEndedEarly;
  }
  return kind_ == PlannedKind::kService ? FinishService() : FinishCompletion();
}

AnswerOutcome AnswerCheck::FinishStream(bool message_complete) const {
  if (events_invalid_ || !expected_.starts_with(text_)) {
    return AnswerOutcome::kWrong;
  }
  if (error_received_) {
    return AnswerOutcome::kExplicitError;
  }
  if (!done_received_ || !message_complete) {
    return AnswerOutcome::kEndedEarly;
  }
  return text_ == expected_ && finish_reason_received_
             ? AnswerOutcome::kComplete
             : AnswerOutcome::kWrong;
}

AnswerOutcome AnswerCheck::FinishCompletion() const {
  const json answer = json::parse(body_, nullptr, false);
  return TextAt(answer, "/choices/0/text") == expected_
             ? AnswerOutcome::kComplete
             : AnswerOutcome::kWrong;
}

AnswerOutcome AnswerCheck::FinishService() const {
  const json answer = json::parse(body_, nullptr, false);
  if (TextAt(answer, "/tag") != tag_ || TextAt(answer, "/echo") != expected_) {
    return AnswerOutcome::kWrong;
  }
  const auto run = answer.find("run");
  const bool once = run != answer.end() && *run == 1;
  return once ? AnswerOutcome::kComplete : AnswerOutcome::kRanTwice;
}

AnswerOutcome AnswerCheck::FinishRefusal() const {
  const json refusal = json::parse(body_, nullptr, false);
  code_ = TextAt(refusal, "/error/code");
  const json::json_pointer not_run("/error/not_run");
  const bool ran = !refusal.is_object() || !refusal.contains(not_run) ||
                   refusal[not_run] != true;
  return ran ? AnswerOutcome::kRefused : AnswerOutcome::kNotRun;
}

}  // namespace baobabrun::load
