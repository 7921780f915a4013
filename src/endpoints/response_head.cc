// Checks the lines of a response's head.
#include "endpoints/response_head.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

#include "base/error.h"
#include "endpoints/http_header.h"

namespace baobabrun {
namespace {

constexpr NameEntry<BodyFraming> kFramings[] = {
    {BodyFraming::kNone, "none"},
    {BodyFraming::kLength, "length"},
    {BodyFraming::kChunked, "chunked"},
    {BodyFraming::kConnection, "connection"},
};

constexpr std::string_view kStatusLine = "HTTP/";
constexpr std::string_view kLength = "content-length";
constexpr std::string_view kEncoding = "transfer-encoding";
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContentStatus = 204;
constexpr int kNotModifiedStatus = 304;

// Returns the number after the first space of a status line; zero if there is
// none.
int StatusOf(std::string_view line) {
  const auto space = line.find(' ');
  int status = 0;
  if (space != std::string_view::npos) {
    line.remove_prefix(space + 1);
    std::from_chars(line.data(), line.data() + line.size(), status);
  }
  return status;
}

bool EndsWithChunked(std::string_view encodings) {
  return LowerCase(Trim(encodings)).ends_with("chunked");
}

bool IsLength(std::string_view text) {
  std::int64_t n = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, n);
  return parsed.ec == std::errc() && parsed.ptr == end && n >= 0;
}

}  // namespace

std::string_view NameOf(BodyFraming framing) {
  return NameOf<BodyFraming>(kFramings, framing);
}

bool ResponseHead::Add(std::string_view line) {
  bytes_ += line.size();
  if (bytes_ > kMaxBytes) {
    return false;
  }
  line = Trim(line);
  if (complete_) {
    return true;
  }
  if (line.empty()) {
    return Complete();
  }
  Header header;
  if (line.starts_with(kStatusLine)) {
    status_ = StatusOf(line);
    headers_.clear();
  } else if (ReadHeader(line, &header)) {
    headers_.push_back(std::move(header));
  }
  return true;
}

bool ResponseHead::Complete() {
  if (status_ < kFirstFinalStatus) {
    return true;
  }
  const std::string* encodings = Find(kEncoding);
  if (!may_have_body_ || status_ == kNoContentStatus ||
      status_ == kNotModifiedStatus) {
    framing_ = BodyFraming::kLength;
  } else if (encodings != nullptr && EndsWithChunked(*encodings)) {
    framing_ = BodyFraming::kChunked;
  } else if (Find(kLength) != nullptr) {
    if (!HasValidLength()) {
      return false;
    }
    framing_ = BodyFraming::kLength;
  } else {
    framing_ = BodyFraming::kConnection;
  }
  complete_ = true;
  return true;
}

const std::string* ResponseHead::Find(std::string_view name) const {
  const auto it =
      std::find_if(headers_.begin(), headers_.end(),
                   [name](const auto& it) { return it.name == name; });
  return it == headers_.end() ? nullptr : &it->value;
}

bool ResponseHead::HasValidLength() const {
  const auto* first = Find(kLength);
  return IsLength(*first) &&
         std::all_of(headers_.begin(), headers_.end(), [first](const auto& it) {
           return it.name != kLength || it.value == *first;
         });
}

}  // namespace baobabrun
