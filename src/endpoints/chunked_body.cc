// Reads chunks line by line and their data in pieces.
#include "endpoints/chunked_body.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>

#include "endpoints/http_header.h"
#include "requests/header_syntax.h"

namespace baobabrun {
namespace {

// Reads a chunk's size and its extensions, which mean nothing here. There may
// be blanks before the first extension.
std::optional<std::uint64_t> ReadChunkSize(std::string_view line) {
  constexpr int kHexadecimal = 16;
  std::uint64_t size = 0;
  const auto* end = line.data() + line.size();
  const auto parsed = std::from_chars(line.data(), end, size, kHexadecimal);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  line.remove_prefix(parsed.ptr - line.data());
  if (!line.empty() &&
      (!TrimBlanks(line).starts_with(';') || !IsHeaderValue(line))) {
    return std::nullopt;
  }
  return size;
}

}  // namespace

bool ChunkedBody::Add(
    std::string_view bytes,
    const std::function<bool(std::string_view data)>& on_data) {
  while (!bytes.empty() && !complete()) {
    const auto n = state_ == State::kData
                       ? static_cast<std::size_t>(
                             std::min<std::uint64_t>(remaining_, bytes.size()))
                       : std::min(bytes.find('\n'), bytes.size() - 1) + 1;
    const auto part = bytes.substr(0, n);
    bytes.remove_prefix(n);
    if (state_ != State::kData) {
      AddToLine(part);
      if (malformed()) {
        return false;
      }
      continue;
    }
    remaining_ -= n;
    if (remaining_ == 0) {
      state_ = State::kDataEnd;
    }
    if (!on_data(part)) {
      return false;
    }
  }
  return true;
}

void ChunkedBody::AddToLine(std::string_view part) {
  line_.append(part);
  if (line_.size() > kMaxLineBytes) {
    state_ = State::kMalformed;
  } else if (line_.ends_with('\n')) {
    state_ =
        line_.ends_with("\r\n")
            ? StateAfter(std::string_view(line_).substr(0, line_.size() - 2))
            : State::kMalformed;
    line_.clear();
  }
}

ChunkedBody::State ChunkedBody::StateAfter(std::string_view line) {
  switch (state_) {
    case State::kSize: {
      const auto size = ReadChunkSize(line);
      remaining_ = size.value_or(0);
      return !size             ? State::kMalformed
             : remaining_ == 0 ? State::kTrailer
                               : State::kData;
    }
    case State::kDataEnd:
      return line.empty() ? State::kSize : State::kMalformed;
    case State::kTrailer:
      trailer_bytes_ += line.size();
      return line.empty() ? State::kComplete
             : trailer_bytes_ <= kMaxTrailerBytes && ReadHeaderLine(line)
                 ? State::kTrailer
                 : State::kMalformed;
    case State::kData:
    case State::kComplete:
    case State::kMalformed:
      break;
  }
  return state_;
}

}  // namespace baobabrun
