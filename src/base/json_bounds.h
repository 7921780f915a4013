// Bounds of a JSON text, checked before it is parsed: a parsed value can take
// 75 times the memory of its text, and functions that recurse over a deeply
// nested value exhaust the stack.
#ifndef BASE_JSON_BOUNDS_H_
#define BASE_JSON_BOUNDS_H_

#include <cstddef>
#include <string_view>

#include "base/error.h"

namespace baobabrun {

struct JsonBounds {
  std::size_t depth = 64;
  // Counts objects, arrays and commas, so at most one value is not counted.
  std::size_t values = 200'000;
};

// Doesn't check the syntax. Skips comments. Errors: std::errc::value_too_large.
Status CheckJsonBounds(std::string_view text, const JsonBounds& bounds);

}  // namespace baobabrun

#endif  // BASE_JSON_BOUNDS_H_
