// Checks the bytes of headers.
#include "requests/header_syntax.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace baobabrun {
namespace {

bool IsNameByte(unsigned char c) {
  constexpr std::string_view kOther = "!#$%&'*+-.^_`|~";
  return std::isalnum(c) != 0 ||
         kOther.find(static_cast<char>(c)) != std::string_view::npos;
}

bool IsValueByte(unsigned char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return c == '\t' || (c >= kFirstPrintable && c != kDelete);
}

}  // namespace

bool IsHeaderName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsNameByte);
}

bool IsHeaderValue(std::string_view text) {
  return std::all_of(text.begin(), text.end(), IsValueByte);
}

bool IsBodyLength(std::string_view text) {
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, n);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

bool IsChunkedCoding(std::string_view text) {
  constexpr std::string_view kChunked = "chunked";
  return std::equal(text.begin(), text.end(), kChunked.begin(), kChunked.end(),
                    [](unsigned char left, char right) {
                      return std::tolower(left) == right;
                    });
}

}  // namespace baobabrun
