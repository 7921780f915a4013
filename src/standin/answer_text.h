// The stand-in engine's text: a function of the prompt and the position alone,
// so that any try at any endpoint continues any other, and a caller can check
// an answer word by word.
#ifndef STANDIN_ANSWER_TEXT_H_
#define STANDIN_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace baobabrun::standin {

// Identifies a prompt for the functions below.
std::uint64_t PromptId(std::string_view prompt);

// The text of token number `position`, from 1: a space and a short word.
std::string TokenText(std::uint64_t prompt_id, std::int64_t position);

// Length in tokens of the answer to `prompt`: what a mark "[answer-tokens=N]"
// in it asks for, else from 8 to 71; at most `max_tokens`.
std::int64_t AnswerTokens(std::string_view prompt, std::int64_t max_tokens);

// The whole answer.
std::string AnswerText(std::string_view prompt, std::int64_t max_tokens);

}  // namespace baobabrun::standin

#endif  // STANDIN_ANSWER_TEXT_H_
