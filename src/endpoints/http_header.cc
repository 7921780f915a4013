// Parsing of HTTP header lines.
#include "endpoints/http_header.h"

#include <algorithm>
#include <cctype>

namespace baobabrun {

std::string LowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return out;
}

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  const auto first = text.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlank) - first + 1);
}

bool ReadHeader(std::string_view line, Header* header) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  header->name = LowerCase(Trim(line.substr(0, colon)));
  header->value = Trim(line.substr(colon + 1));
  return !header->name.empty();
}

}  // namespace baobabrun
