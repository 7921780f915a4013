// Rules for a request's headers, as far as they frame it.
#include "callers/request_framing.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <utility>

#include "requests/header_syntax.h"

namespace baobabrun {
namespace {

constexpr std::string_view kLength = "content-length";
constexpr std::string_view kCoding = "transfer-encoding";
constexpr std::string_view kHost = "host";

bool IsNumber(std::string_view text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isdigit(c) != 0; });
}

}  // namespace

std::string_view FramingFault(const std::vector<Header>& headers,
                              bool knows_chunks) {
  const std::string* length = nullptr;
  const std::string* coding = nullptr;
  bool host = false;
  for (const auto& [name, value] : headers) {
    if (!IsHeaderName(name)) {
      return "the name of a header has a byte that no name may have";
    }
    if (!IsHeaderValue(value)) {
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
  if (length != nullptr && !IsNumber(*length)) {
    return "the length is no number";
  }
  if (knows_chunks && !host) {
    return "there is no host";
  }
  if (coding == nullptr) {
    return {};
  }
  if (length != nullptr) {
    return "there are a length and a transfer coding";
  }
  if (!IsChunkedCoding(*coding)) {
    return "the transfer coding isn't known";
  }
  return knows_chunks ? std::string_view() : "HTTP/1.0 has no transfer coding";
}

}  // namespace baobabrun
