// Reads a request line by line, and its body by length or by chunks.
#include "callers/request_reader.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <system_error>
#include <utility>

#include "callers/request_framing.h"
#include "requests/header_syntax.h"

namespace baobabrun {
namespace {

constexpr int kBadRequest = 400;
constexpr int kHeadTooLarge = 431;
constexpr int kVersionNotSupported = 505;
constexpr std::uint64_t kNoBound = std::numeric_limits<std::uint64_t>::max();

// Returns the number that `digits` states; the largest number if it is above
// that. The text has only digits of `base`.
std::uint64_t Saturated(std::string_view digits, int base) {
  std::uint64_t n = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), n, base);
  return parsed.ec == std::errc() ? n : kNoBound;
}

std::string_view Trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto begin = text.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

// Control bytes and blanks would end the target for some readers.
bool IsTarget(std::string_view text) {
  constexpr unsigned char kBlank = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return c > kBlank && c != kDelete;
         });
}

// "HTTP/", a digit, a point and a digit.
bool IsVersion(std::string_view text) {
  constexpr std::string_view kName = "HTTP/";
  const auto is_digit = [](unsigned char c) { return std::isdigit(c) != 0; };
  return text.size() == kName.size() + 3 && text.starts_with(kName) &&
         is_digit(text[kName.size()]) && text[kName.size() + 1] == '.' &&
         is_digit(text[kName.size() + 2]);
}

}  // namespace

bool RequestReader::in_request() const {
  return state_ != State::kDone &&
         (state_ != State::kRequestLine || !line_.empty());
}

ReadResult RequestReader::Read(std::string_view input) {
  if (state_ == State::kDone) {
    *this = RequestReader();
  }
  switch (state_) {
    case State::kFixedBody:
    case State::kChunkData:
      return ReadBody(input);
    case State::kFaulty:
      return {ReadStep::kFault, 0, {}};
    default:
      return ReadLine(input);
  }
}

ReadResult RequestReader::ReadBody(std::string_view input) {
  const auto n = static_cast<std::size_t>(
      std::min<std::uint64_t>(remaining_, input.size()));
  if (n > 0) {
    remaining_ -= n;
    return {ReadStep::kBody, n, input.substr(0, n)};
  }
  if (remaining_ > 0) {
    return {};
  }
  if (state_ == State::kFixedBody) {
    state_ = State::kDone;
    return {ReadStep::kEnd, 0, {}};
  }
  state_ = State::kChunkEnd;
  return ReadLine(input);
}

ReadResult RequestReader::ReadLine(std::string_view input) {
  std::size_t consumed = 0;
  while (consumed < input.size()) {
    const auto rest = input.substr(consumed);
    const auto feed = rest.find('\n');
    const auto n = feed == std::string_view::npos ? rest.size() : feed + 1;
    const bool of_chunk =
        state_ == State::kChunkSize || state_ == State::kChunkEnd;
    const auto room = of_chunk ? kMaxChunkLineBytes - line_.size()
                               : kMaxHeadBytes - head_bytes_;
    if (n > room) {
      return {of_chunk
                  ? Fail(kBadRequest, "the line of a chunk's size is too long")
                  : Fail(kHeadTooLarge, "the head is too long"),
              consumed,
              {}};
    }
    line_.append(rest.substr(0, n));
    head_bytes_ += of_chunk ? 0 : n;
    consumed += n;
    if (feed == std::string_view::npos) {
      break;
    }
    const auto step = OnLine();
    line_.clear();
    if (step != ReadStep::kMore || state_ == State::kChunkData) {
      return {step, consumed, {}};
    }
  }
  return {ReadStep::kMore, consumed, {}};
}

ReadStep RequestReader::OnLine() {
  constexpr std::string_view kEnd = "\r\n";
  if (!line_.ends_with(kEnd)) {
    return Fail(kBadRequest, "a line ends with LF alone");
  }
  line_.resize(line_.size() - kEnd.size());
  switch (state_) {
    case State::kRequestLine:
      return OnRequestLine();
    case State::kHeaderLine:
      return line_.empty() ? OnHeadEnd() : OnHeaderLine();
    case State::kChunkSize:
      return OnChunkSize();
    case State::kChunkEnd:
      if (!line_.empty()) {
        return Fail(kBadRequest, "a chunk is longer than its size");
      }
      state_ = State::kChunkSize;
      return ReadStep::kMore;
    case State::kTrailerLine:
      return OnTrailerLine();
    case State::kFixedBody:
    case State::kChunkData:
    case State::kDone:
    case State::kFaulty:
      break;
  }
  return Fail(kBadRequest, "a line stands in the place of a body");
}

ReadStep RequestReader::OnRequestLine() {
  // An empty line before a request is ignored (RFC 9112, section 2.2).
  if (line_.empty()) {
    return ReadStep::kMore;
  }
  const std::string_view line = line_;
  const auto first = line.find(' ');
  const auto last = line.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return Fail(kBadRequest, "the request line has no three parts");
  }
  const auto version = line.substr(last + 1);
  const auto target = line.substr(first + 1, last - first - 1);
  if (!IsHeaderName(line.substr(0, first)) || !IsTarget(target) ||
      !IsVersion(version)) {
    return Fail(kBadRequest, "the request line is malformed");
  }
  if (!version.starts_with("HTTP/1.")) {
    return Fail(kVersionNotSupported, "the version isn't known");
  }
  head_.method = line.substr(0, first);
  head_.target = target;
  head_.knows_chunks = !version.ends_with('0');
  state_ = State::kHeaderLine;
  return ReadStep::kMore;
}

bool RequestReader::AddField(std::vector<Header>* fields) {
  if (line_.front() == ' ' || line_.front() == '\t') {
    Fail(kBadRequest, "a line is folded");
    return false;
  }
  const auto colon = line_.find(':');
  if (colon == std::string::npos) {
    Fail(kBadRequest, "a header has no colon");
    return false;
  }
  const std::string_view line = line_;
  Header field{std::string(line.substr(0, colon)),
               std::string(Trimmed(line.substr(colon + 1)))};
  std::transform(field.name.begin(), field.name.end(), field.name.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  fields->push_back(std::move(field));
  return true;
}

ReadStep RequestReader::OnHeaderLine() {
  return AddField(&head_.headers) ? ReadStep::kMore : ReadStep::kFault;
}

ReadStep RequestReader::OnHeadEnd() {
  const auto fault = FramingFault(head_.headers, head_.knows_chunks);
  if (!fault.empty()) {
    return Fail(kBadRequest, fault);
  }
  const auto find = [this](std::string_view name) {
    return std::find_if(head_.headers.begin(), head_.headers.end(),
                        [name](const auto& it) { return it.name == name; });
  };
  if (find("transfer-encoding") != head_.headers.end()) {
    state_ = State::kChunkSize;
    return ReadStep::kHead;
  }
  const auto length = find("content-length");
  remaining_ = length == head_.headers.end() ? 0 : Saturated(length->value, 10);
  Announce(remaining_);
  state_ = State::kFixedBody;
  return ReadStep::kHead;
}

ReadStep RequestReader::OnChunkSize() {
  constexpr int kHexadecimal = 16;
  const std::string_view line = line_;
  const auto end =
      std::find_if_not(line.begin(), line.end(),
                       [](unsigned char c) { return std::isxdigit(c) != 0; });
  const auto digits = line.substr(0, end - line.begin());
  const auto extension = line.substr(digits.size());
  if (digits.empty() || (!extension.empty() && extension.front() != ';') ||
      !IsHeaderValue(extension)) {
    return Fail(kBadRequest, "the size of a chunk is malformed");
  }
  remaining_ = Saturated(digits, kHexadecimal);
  Announce(remaining_);
  state_ = remaining_ == 0 ? State::kTrailerLine : State::kChunkData;
  return ReadStep::kMore;
}

ReadStep RequestReader::OnTrailerLine() {
  if (line_.empty()) {
    state_ = State::kDone;
    return ReadStep::kEnd;
  }
  std::vector<Header> trailers;
  if (!AddField(&trailers)) {
    return ReadStep::kFault;
  }
  const auto& trailer = trailers.front();
  if (!IsHeaderName(trailer.name) || !IsHeaderValue(trailer.value)) {
    return Fail(kBadRequest, "a trailer has a byte that none may have");
  }
  // A reader that merges trailers into the head would frame the request anew.
  if (trailer.name == "content-length" || trailer.name == "transfer-encoding" ||
      trailer.name == "host") {
    return Fail(kBadRequest, "a trailer frames the request");
  }
  return ReadStep::kMore;
}

ReadStep RequestReader::Fail(int status, std::string_view reason) {
  state_ = State::kFaulty;
  fault_status_ = status;
  fault_ = reason;
  return ReadStep::kFault;
}

void RequestReader::Announce(std::uint64_t bytes) {
  announced_ = bytes > kNoBound - announced_ ? kNoBound : announced_ + bytes;
}

}  // namespace baobabrun
