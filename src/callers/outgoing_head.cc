// Joins status line, framing and headers.
#include "callers/outgoing_head.h"

#include <fmt/chrono.h>
#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <ctime>
#include <iterator>
#include <span>
#include <string_view>

#include "base/error.h"
#include "base/log.h"
#include "requests/header_syntax.h"

namespace baobabrun {
namespace {

constexpr NameEntry<int> kReasons[] = {
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {206, "Partial Content"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {303, "See Other"},
    {304, "Not Modified"},
    {307, "Temporary Redirect"},
    {308, "Permanent Redirect"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {406, "Not Acceptable"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {411, "Length Required"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {414, "URI Too Long"},
    {415, "Unsupported Media Type"},
    {417, "Expectation Failed"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
};

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

// Whether a `Connection` header has `token` in its list.
bool ConnectionHas(const std::vector<Header>& headers, std::string_view token) {
  for (const auto& [name, value] : headers) {
    if (LowerCase(name) != "connection") {
      continue;
    }
    const auto list = LowerCase(value);
    std::string_view rest = list;
    while (!rest.empty()) {
      const auto comma = rest.find(',');
      auto item = rest.substr(0, comma);
      item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
      item = item.substr(0, item.find_last_not_of(" \t") + 1);
      if (item == token) {
        return true;
      }
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
    }
  }
  return false;
}

// The other values of `Connection` name nothing that this server does.
bool FramesAnswer(std::string_view name) {
  return name == "content-length" || name == "transfer-encoding" ||
         name == "connection";
}

}  // namespace

bool MayHaveBody(int status) {
  constexpr int kFirstFinal = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return status >= kFirstFinal && status != kNoContent &&
         status != kNotModified;
}

bool AsksForClose(const std::vector<Header>& headers) {
  return ConnectionHas(headers, "close");
}

bool AsksForKeepAlive(const std::vector<Header>& headers) {
  return ConnectionHas(headers, "keep-alive");
}

std::string ToText(const OutgoingHead& head) {
  constexpr std::size_t kUsualBytes = 512;
  std::string text;
  text.reserve(kUsualBytes);
  const auto append = std::back_inserter(text);
  fmt::format_to(
      append, "HTTP/1.1 {} {}\r\n", head.status,
      NameOf(std::span<const NameEntry<int>>(kReasons), head.status));
  bool dated = false;
  for (const auto& [name, value] : head.headers) {
    const auto lower = LowerCase(name);
    if (FramesAnswer(lower)) {
      continue;
    }
    if (!IsHeaderName(name) || !IsHeaderValue(value)) {
      Log(Event::kHeaderDropped,
          "a header of an answer with status {} isn't well-formed and was left "
          "out",
          head.status);
      continue;
    }
    dated = dated || lower == "date";
    fmt::format_to(append, "{}: {}\r\n", name, value);
  }
  if (!dated) {
    fmt::format_to(append, "Date: {:%a, %d %b %Y %H:%M:%S} GMT\r\n",
                   fmt::gmtime(std::time(nullptr)));
  }
  if (!head.keep_alive) {
    text += "Connection: close\r\n";
  } else if (!head.knows_chunks) {
    text += "Connection: Keep-Alive\r\n";
  }
  if (head.length.has_value()) {
    fmt::format_to(append, "Content-Length: {}\r\n", *head.length);
  } else if (MayHaveBody(head.status) && head.knows_chunks) {
    text += "Transfer-Encoding: chunked\r\n";
  }
  text += "\r\n";
  return text;
}

}  // namespace baobabrun
