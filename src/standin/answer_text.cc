// Derives the words and lengths of answers from hashes.
#include "standin/answer_text.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>

#include "base/hash.h"

namespace baobabrun::standin {
namespace {

constexpr std::string_view kLengthMarker = "[answer-tokens=";
constexpr std::int64_t kShortestAnswer = 8;
constexpr std::uint64_t kAnswerLengths = 64;
constexpr std::uint64_t kWordMask = 0xffffff;

// Returns the length that a marker in the prompt asks for, or 0 if there is no
// marker.
std::int64_t RequestedLength(std::string_view prompt) {
  const auto marker = prompt.rfind(kLengthMarker);
  if (marker == std::string_view::npos) {
    return 0;
  }
  const auto digits = prompt.substr(marker + kLengthMarker.size());
  std::int64_t n = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), n);
  return n;
}

}  // namespace

std::uint64_t PromptId(std::string_view prompt) {
  return FastHash(prompt);
}

std::string TokenText(std::uint64_t prompt_id, std::int64_t position) {
  const std::string_view bytes(reinterpret_cast<const char*>(&position),
                               sizeof(position));
  return fmt::format(" {:06x}", FastHash(bytes, prompt_id) & kWordMask);
}

std::int64_t AnswerTokens(std::string_view prompt, std::int64_t max_tokens) {
  auto length = RequestedLength(prompt);
  if (length <= 0) {
    length = kShortestAnswer +
             static_cast<std::int64_t>(PromptId(prompt) % kAnswerLengths);
  }
  return std::min(length, max_tokens);
}

std::string AnswerText(std::string_view prompt, std::int64_t max_tokens) {
  const auto id = PromptId(prompt);
  const auto length = AnswerTokens(prompt, max_tokens);
  std::string out;
  for (std::int64_t n = 1; n <= length; ++n) {
    out += TokenText(id, n);
  }
  return out;
}

}  // namespace baobabrun::standin
