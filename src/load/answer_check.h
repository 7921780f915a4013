// Checks one answer while it arrives: it must be complete, in order, belong to
// the request that was sent, and come from a single execution. The stand-in
// engine's text is a function of the prompt, so the check knows every word
// beforehand.
#ifndef LOAD_ANSWER_CHECK_H_
#define LOAD_ANSWER_CHECK_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "base/error.h"
#include "endpoints/event_splitter.h"
#include "load/schedule.h"

namespace baobabrun::load {

enum class AnswerOutcome {
  kComplete,       // complete, in order and the answer to this request
  kNotRun,         // refused before any endpoint received the request
  kRefused,        // refused, and an endpoint may have run the request
  kExplicitError,  // a stream that ended with an error event
  kEndedEarly,     // ended early without an error event
  kWrong,         // wrong text, a gap, a repetition or another request's answer
  kRanTwice,      // a service call that ran more than once
  kNotConnected,  // the connection failed, so nothing was sent
  kNoAnswer,      // the request was sent, but no status line arrived
  kTimeout,       // the answer had not ended when the run ended
};
std::span<const NameEntry<AnswerOutcome>> AnswerOutcomeNames();

// True for the outcomes that the router must prevent whatever fails: cut, wrong
// and doubled answers.
bool IsViolation(AnswerOutcome outcome);

class AnswerCheck {
 public:
  // `expected` is the complete text of the answer, or for a service call the
  // body of the request, which the service echoes.
  AnswerCheck(PlannedKind kind, std::string tag, std::string expected);

  // Adds received bytes of the body. Returns true if they contain the first
  // text of the answer.
  bool AddBytes(int status, std::string_view bytes);
  // Returns the outcome at the end of the answer. `message_complete` is true if
  // the HTTP message is complete. `status` is 0 if no status line arrived.
  AnswerOutcome Finish(int status, bool message_complete) const;
  // The error code of a refusal or an error event; empty if there is none.
  const std::string& code() const { return code_; }

 private:
  bool AddEvent(const StreamEvent& event);
  void AddChunk(const StreamEvent& event);
  AnswerOutcome FinishStream(bool message_complete) const;
  AnswerOutcome FinishCompletion() const;
  AnswerOutcome FinishService() const;
  AnswerOutcome FinishRefusal() const;

  const PlannedKind kind_;
  const std::string tag_;
  const std::string expected_;
  std::string body_;  // body of any answer but a stream with status 200
  EventSplitter splitter_;
  std::string text_;                 // text of a stream received until now
  std::uint64_t last_event_id_ = 0;  // ids count from 1 without gaps
  bool finish_reason_received_ = false;
  bool done_received_ = false;
  bool error_received_ = false;
  bool events_invalid_ = false;
  mutable std::string code_;
};

}  // namespace baobabrun::load

#endif  // LOAD_ANSWER_CHECK_H_
