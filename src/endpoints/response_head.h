// Collects the head of an HTTP response, line by line, as libcurl passes it to
// a header callback.
//
// libcurl reports a transfer as successful if the connection ends inside the
// head, and accepts much that RFC 9112 doesn't allow: a length or a status that
// is followed by other characters, a status such as 000, versions that aren't
// spoken on the connection. Clients therefore check here whether the head is
// complete and valid. They use no byte of a body before that: libcurl passes
// the body of what it takes for a final response, also if it isn't one.
#ifndef ENDPOINTS_RESPONSE_HEAD_H_
#define ENDPOINTS_RESPONSE_HEAD_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "requests/request.h"

namespace baobabrun {

// How an endpoint marks the end of a response's body.
enum class BodyFraming {
  kNone,        // no head has arrived
  kLength,      // the head states the length, or there can't be a body
  kChunked,     // the last chunk is marked
  kConnection,  // by the end of the connection only
};
std::string_view NameOf(BodyFraming framing);

class ResponseHead {
 public:
  // Bound on the bytes of all lines together, including those of interim (1xx)
  // responses.
  static constexpr std::size_t kMaxBytes = 32 * 1024;

  // `may_have_body` is false for the response to a HEAD request.
  explicit ResponseHead(bool may_have_body = true)
      : may_have_body_(may_have_body) {}

  // Adds the next line. Returns false if the response can't be used: there are
  // too many bytes, a line is malformed, or it has no single, valid framing.
  // Lines after the complete head are counted and dropped.
  bool Add(std::string_view line);

  // Whether the whole head of the final response has arrived.
  bool complete() const { return complete_; }
  // Zero until the head is complete.
  int status() const { return complete_ ? status_ : 0; }
  // Names are in lower case. Interim responses' headers aren't included.
  const std::vector<Header>& headers() const { return headers_; }
  BodyFraming framing() const { return framing_; }
  // Whether the endpoint announces that it closes the connection.
  bool closes() const { return closes_; }
  // Whether this is a 2xx response whose body ends with the connection. An
  // endpoint that gives up on a request without reading it to its end closes
  // the connection too, and the reset that follows (RFC 9112, section 9.6) may
  // be too late to be seen. So the end of the body shows nothing if the
  // response began before its request had arrived.
  bool success_without_length() const;

 private:
  bool AddStatusLine(std::string_view line);
  bool AddHeader(std::string_view line);
  bool Complete();
  std::ptrdiff_t Count(std::string_view name) const;
  // Returns the value of the first header called `name`; null if there is none.
  const std::string* Find(std::string_view name) const;
  bool HasValidLength() const;

  const bool may_have_body_;
  std::size_t bytes_ = 0;
  bool has_status_line_ = false;  // of the head that is being read
  int status_ = 0;
  bool old_version_ = false;  // HTTP/1.0
  bool closes_ = false;
  bool complete_ = false;
  BodyFraming framing_ = BodyFraming::kNone;
  std::vector<Header> headers_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_RESPONSE_HEAD_H_
