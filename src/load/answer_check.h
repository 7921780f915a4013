// Checks one answer while it comes: whole, in order, its own and once. The
// stand-in engine's text is a function of the prompt, so every word is known
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
  kComplete,       // whole, in order, its own
  kNotRun,         // refused before any endpoint got it
  kRefused,        // refused, and it may have run
  kExplicitError,  // a stream that ended with an error event
  kCut,            // ended early without a word
  kWrong,          // other text, a gap, a repetition or another's answer
  kDoubled,        // a service call that ran more than once
  kNotConnected,   // no connection, so nothing was sent
  kNoAnswer,       // sent, but nothing came
  kTimeout,        // not over at the end of the run
};
std::span<const NameEntry<AnswerOutcome>> AnswerOutcomeNames();

// Whether the router broke its word: never allowed, whatever fails.
bool IsViolation(AnswerOutcome outcome);

class AnswerCheck {
 public:
  // `expected`: the whole text, or for a service the request's body.
  AnswerCheck(PlannedKind kind, std::string tag, std::string expected);

  // Takes bytes of the body. Returns true if they bring the first text.
  bool Take(int status, std::string_view bytes);
  // `framed`: the answer ended as HTTP says it should.
  AnswerOutcome Finish(int status, bool framed) const;
  // The refusal's code, or empty.
  const std::string& code() const { return code_; }

 private:
  bool TakeEvent(const StreamEvent& event);
  void TakeChunk(const StreamEvent& event);
  AnswerOutcome FinishStream(bool framed) const;
  AnswerOutcome FinishWhole() const;
  AnswerOutcome FinishService() const;
  AnswerOutcome ReadRefusal() const;

  const PlannedKind kind_;
  const std::string tag_;
  const std::string expected_;
  std::string body_;  // of anything but a stream
  EventSplitter splitter_;
  std::string text_;  // of a stream
  std::uint64_t events_ = 0;
  bool finish_reason_ = false;
  bool marker_ = false;
  bool error_event_ = false;
  bool wrong_ = false;
  mutable std::string code_;
};

}  // namespace baobabrun::load

#endif  // LOAD_ANSWER_CHECK_H_
