// Scans JSON text for its depth and its number of values.
#include "base/json_bounds.h"

#include <fmt/core.h>

#include <algorithm>

namespace baobabrun {
namespace {

Error TooLarge(std::string message) {
  return {std::make_error_code(std::errc::value_too_large), std::move(message)};
}

// Returns the position of the quote that ends the string that begins at `at`,
// or the text's size.
std::size_t EndOfString(std::string_view text, std::size_t at) {
  for (++at; at < text.size() && text[at] != '"'; ++at) {
    if (text[at] == '\\') {
      ++at;
    }
  }
  return std::min(at, text.size());
}

// Returns the position of the last character of the comment that begins at
// `at`, or `at` if none begins there.
std::size_t EndOfComment(std::string_view text, std::size_t at) {
  const auto begin = text.substr(at, 2);
  if (begin != "//" && begin != "/*") {
    return at;
  }
  const auto body = at + begin.size();
  const auto end = begin == "//"
                       ? text.find_first_of(std::string_view("\n\r\0", 3), body)
                       : text.find("*/", body);
  if (end == std::string_view::npos) {
    return text.size();
  }
  return begin == "//" ? end : end + 1;
}

}  // namespace

Status CheckJsonBounds(std::string_view text, const JsonBounds& bounds) {
  std::size_t depth = 0;
  std::size_t values = 0;
  for (std::size_t n = 0; n < text.size(); ++n) {
    switch (text[n]) {
      case '"':
        n = EndOfString(text, n);
        break;
      case '/':
        n = EndOfComment(text, n);
        break;
      case '[':
      case '{':
        ++values;
        if (++depth > bounds.depth) {
          return TooLarge(
              fmt::format("nested more than {} levels deep", bounds.depth));
        }
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        ++values;
        break;
      default:
        break;
    }
    if (values > bounds.values) {
      return TooLarge(fmt::format("more than {} values", bounds.values));
    }
  }
  return Ok();
}

}  // namespace baobabrun
