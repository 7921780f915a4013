// Formats the engine stand-in's answers as server-sent events and as JSON.
#ifndef STANDIN_ANSWER_FORMAT_H_
#define STANDIN_ANSWER_FORMAT_H_

#include <cstdint>
#include <string>

#include "requests/request.h"

namespace baobabrun::standin {

struct AnswerUsage {
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
};

// The end marker of a stream.
constexpr char kDoneEvent[] = "data: [DONE]\n\n";

// Returns the event that contains one token. `id` is the event's number in the
// answer, starting at 1.
std::string TokenEvent(RequestKind kind,
                       std::int64_t id,
                       const std::string& text);
// Returns the event before the end marker. It contains the finish reason and
// the usage.
std::string FinishEvent(RequestKind kind,
                        std::int64_t id,
                        const AnswerUsage& usage);
// Returns the body of an answer that isn't streamed.
std::string WholeAnswer(RequestKind kind,
                        const std::string& model,
                        const std::string& text,
                        const AnswerUsage& usage);
std::string ErrorAnswer(const std::string& code, const std::string& message);

}  // namespace baobabrun::standin

#endif  // STANDIN_ANSWER_FORMAT_H_
