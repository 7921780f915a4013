// Text of HTTP header lines.
#include "endpoints/http_header.h"

#include <algorithm>
#include <cctype>

#include "requests/header_syntax.h"

namespace baobabrun {
namespace {

std::string_view TrimOf(std::string_view removed, std::string_view text) {
  const auto first = text.find_first_not_of(removed);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(removed) - first + 1);
}

}  // namespace

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string_view Trim(std::string_view text) {
  return TrimOf(" \t\r\n", text);
}

std::string_view TrimBlanks(std::string_view text) {
  return TrimOf(" \t", text);
}

std::optional<Header> ReadHeaderLine(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Header header{LowerCase(line.substr(0, colon)),
                std::string(TrimBlanks(line.substr(colon + 1)))};
  if (!IsHeaderName(header.name) || !IsHeaderValue(header.value)) {
    return std::nullopt;
  }
  return header;
}

}  // namespace baobabrun
