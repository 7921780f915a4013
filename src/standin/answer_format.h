// The engine stand-in's answers as text: server-sent events and whole JSON.
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

constexpr char kDoneEvent[] = "data: [DONE]\n\n";

// The event that carries one token. `id` counts from 1 over the whole answer.
std::string TokenEvent(RequestKind kind,
                       std::int64_t id,
                       const std::string& text);
// The event before the terminal marker: finish reason and usage.
std::string FinishEvent(RequestKind kind,
                        std::int64_t id,
                        const AnswerUsage& usage);
// An answer that isn't streamed.
std::string WholeAnswer(RequestKind kind,
                        const std::string& model,
                        const std::string& text,
                        const AnswerUsage& usage);
std::string ErrorAnswer(const std::string& code, const std::string& message);

}  // namespace baobabrun::standin

#endif  // STANDIN_ANSWER_FORMAT_H_
