// Rules for a request's headers, as far as they frame it.
#include "callers/request_framing.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

namespace baobabrun {
namespace {

constexpr std::string_view kLength = "content-length";
constexpr std::string_view kCoding = "transfer-encoding";
constexpr std::string_view kHost = "host";

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

bool IsLength(std::string_view text) {
  std::uint64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, n);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

bool IsChunked(std::string_view text) {
  constexpr std::string_view kChunked = "chunked";
  return std::equal(text.begin(), text.end(), kChunked.begin(), kChunked.end(),
                    [](unsigned char left, char right) {
                      return std::tolower(left) == right;
                    });
}

}  // namespace

std::string_view FramingFault(const std::vector<Header>& headers,
                              bool knows_chunks) {
  const std::string* length = nullptr;
  const std::string* coding = nullptr;
  bool host = false;
  for (const auto& [name, value] : headers) {
    if (name.empty() || !std::all_of(name.begin(), name.end(), IsNameByte)) {
      return "the name of a header has a byte that no name may have";
    }
    if (!std::all_of(value.begin(), value.end(), IsValueByte)) {
      return "the value of a header has a control byte";
    }
    if (name == kHost && std::exchange(host, true)) {
      return "there are two hosts";
    }
    if (name == kLength && std::exchange(length, &value) != nullptr) {
      return "there are two lengths";
    }
    if (name == kCoding && std::exchange(coding, &value) != nullptr) {
      return "there are two transfer codings";
    }
  }
  if (length != nullptr && !IsLength(*length)) {
    return "the length is no number";
  }
  if (coding == nullptr) {
    return {};
  }
  if (length != nullptr) {
    return "there are a length and a transfer coding";
  }
  if (!IsChunked(*coding)) {
    return "the transfer coding isn't known";
  }
  return knows_chunks ? std::string_view() : "HTTP/1.0 has no transfer coding";
}

}  // namespace baobabrun
