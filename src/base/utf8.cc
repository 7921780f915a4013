// Validates UTF-8.
#include "base/utf8.h"

#include <cstddef>
#include <cstdint>

namespace baobabrun {
namespace {

// The lead bytes of sequences of one length, and the range of code points that
// need that length.
struct Form {
  std::uint8_t mask;
  std::uint8_t lead;
  std::size_t length;
  std::uint32_t first;
  std::uint32_t last;
};
constexpr Form kForms[] = {
    {0x80, 0x00, 1, 0x0, 0x7f},
    {0xe0, 0xc0, 2, 0x80, 0x7ff},
    {0xf0, 0xe0, 3, 0x800, 0xffff},
    {0xf8, 0xf0, 4, 0x10000, 0x10ffff},
};

bool IsSurrogate(std::uint32_t code_point) {
  return code_point >= 0xd800 && code_point <= 0xdfff;
}

// Returns the length of the sequence at the start of `text`, or 0 if it is
// invalid.
std::size_t LengthOfFirst(std::string_view text) {
  const auto byte = [text](std::size_t n) {
    return static_cast<std::uint8_t>(text[n]);
  };
  for (const auto& it : kForms) {
    if ((byte(0) & it.mask) != it.lead) {
      continue;
    }
    if (text.size() < it.length) {
      return 0;
    }
    std::uint32_t code_point = byte(0) & static_cast<std::uint8_t>(~it.mask);
    for (std::size_t n = 1; n < it.length; ++n) {
      if ((byte(n) & 0xc0) != 0x80) {
        return 0;
      }
      code_point = code_point << 6 | (byte(n) & 0x3f);
    }
    const bool good = code_point >= it.first && code_point <= it.last &&
                      !IsSurrogate(code_point);
    return good ? it.length : 0;
  }
  return 0;
}

}  // namespace

bool IsUtf8(std::string_view text) {
  while (!text.empty()) {
    const auto length = LengthOfFirst(text);
    if (length == 0) {
      return false;
    }
    text.remove_prefix(length);
  }
  return true;
}

}  // namespace baobabrun
