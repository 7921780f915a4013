// Checks the lines of a response's head.
#include "endpoints/response_head.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <utility>

#include "base/error.h"
#include "endpoints/http_header.h"
#include "requests/header_syntax.h"

namespace baobabrun {
namespace {

constexpr NameEntry<BodyFraming> kFramings[] = {
    {BodyFraming::kNone, "none"},
    {BodyFraming::kLength, "length"},
    {BodyFraming::kChunked, "chunked"},
    {BodyFraming::kConnection, "connection"},
};

constexpr std::string_view kConnection = "connection";
constexpr std::string_view kClose = "close";
constexpr std::string_view kLength = "content-length";
constexpr std::string_view kEncoding = "transfer-encoding";
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kNoContentStatus = 204;
constexpr int kFirstRedirection = 300;
constexpr int kNotModifiedStatus = 304;

struct StatusLine {
  int status = 0;
  bool old_version = false;  // HTTP/1.0
};

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// Reads `HTTP/1.x SP 3DIGIT [SP reason]` with a status from 100 to 599 (RFC
// 9112, section 4; RFC 9110, section 15). Servers without a reason often leave
// out the blank before it too.
std::optional<StatusLine> ReadStatusLine(std::string_view line) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kMinorAt = kVersion.size();
  constexpr std::size_t kStatusAt = kMinorAt + 2;
  constexpr std::size_t kReasonAt = kStatusAt + 3;
  if (line.size() < kReasonAt || !line.starts_with(kVersion) ||
      !IsDigit(line[kMinorAt]) || line[kMinorAt + 1] != ' ') {
    return std::nullopt;
  }
  const auto digits = line.substr(kStatusAt, kReasonAt - kStatusAt);
  const auto reason = line.substr(kReasonAt);
  if (!std::all_of(digits.begin(), digits.end(), IsDigit) ||
      digits.front() < '1' || digits.front() > '5' ||
      (!reason.empty() && reason.front() != ' ') || !IsHeaderValue(reason)) {
    return std::nullopt;
  }
  StatusLine out;
  std::from_chars(digits.data(), digits.data() + digits.size(), out.status);
  out.old_version = line[kMinorAt] == '0';
  return out;
}

std::string_view WithoutLineEnd(std::string_view line) {
  if (line.ends_with('\n')) {
    line.remove_suffix(1);
  }
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
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
  if (complete_) {
    return true;
  }
  line = WithoutLineEnd(line);
  if (line.empty()) {
    return Complete();
  }
  return has_status_line_ ? AddHeader(line) : AddStatusLine(line);
}

bool ResponseHead::AddStatusLine(std::string_view line) {
  const auto read = ReadStatusLine(line);
  // No request asks for another protocol.
  if (!read || read->status == kSwitchingProtocols) {
    return false;
  }
  has_status_line_ = true;
  status_ = read->status;
  old_version_ = read->old_version;
  closes_ = read->old_version;
  return true;
}

bool ResponseHead::AddHeader(std::string_view line) {
  auto header = ReadHeaderLine(line);
  if (!header) {
    return false;
  }
  closes_ |= header->name == kConnection &&
             LowerCase(header->value).find(kClose) != std::string::npos;
  headers_.push_back(std::move(*header));
  return true;
}

bool ResponseHead::Complete() {
  if (status_ < kFirstFinalStatus) {
    headers_.clear();
    has_status_line_ = false;
    return true;
  }
  const std::string* encoding = Find(kEncoding);
  const bool has_length = Find(kLength) != nullptr;
  // HTTP/1.0 has no transfer codings (RFC 9112, section 6.1).
  if (encoding != nullptr &&
      (has_length || old_version_ || !IsChunkedCoding(*encoding) ||
       Count(kEncoding) != 1)) {
    return false;
  }
  if (!may_have_body_ || status_ == kNoContentStatus ||
      status_ == kNotModifiedStatus) {
    framing_ = BodyFraming::kLength;
  } else if (encoding != nullptr) {
    framing_ = BodyFraming::kChunked;
  } else if (has_length) {
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

bool ResponseHead::success_without_length() const {
  return complete_ && status_ < kFirstRedirection &&
         framing_ == BodyFraming::kConnection;
}

const std::string* ResponseHead::Find(std::string_view name) const {
  const auto it =
      std::find_if(headers_.begin(), headers_.end(),
                   [name](const auto& it) { return it.name == name; });
  return it == headers_.end() ? nullptr : &it->value;
}

std::ptrdiff_t ResponseHead::Count(std::string_view name) const {
  return std::count_if(headers_.begin(), headers_.end(),
                       [name](const auto& it) { return it.name == name; });
}

bool ResponseHead::HasValidLength() const {
  const auto* first = Find(kLength);
  return IsBodyLength(*first) &&
         std::all_of(headers_.begin(), headers_.end(), [first](const auto& it) {
           return it.name != kLength || it.value == *first;
         });
}

}  // namespace baobabrun
