// Generates the engine stand-in's answers. The text depends only on the prompt
// and the token's position, so that an attempt at any endpoint can continue the
// answer of any other, and a caller can check an answer word by word.
#ifndef STANDIN_ANSWER_TEXT_H_
#define STANDIN_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace baobabrun::standin {

// Returns the hash of the prompt that TokenText() takes.
std::uint64_t PromptId(std::string_view prompt);

// Returns the text of token number `position`, which starts at 1. It is a space
// and a short word.
std::string TokenText(std::uint64_t prompt_id, std::int64_t position);

// Returns the length in tokens of the answer to `prompt`. A marker
// "[answer-tokens=N]" in the prompt sets it; otherwise it is from 8 to 71,
// depending on the prompt. It is at most `max_tokens`.
std::int64_t AnswerTokens(std::string_view prompt, std::int64_t max_tokens);

// Returns the text of all tokens of the answer.
std::string AnswerText(std::string_view prompt, std::int64_t max_tokens);

}  // namespace baobabrun::standin

#endif  // STANDIN_ANSWER_TEXT_H_
