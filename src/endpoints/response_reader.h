// Reads the response of one transfer and decides whether it can be used:
// whether RFC 9112 allows what was sent, and whether all of it has arrived.
// Every client reads responses with it, since libcurl accepts more than that.
//
// The client passes on what libcurl's callbacks get, and ends the transfer as
// soon as a function returns false. It sets CURLOPT_HTTP_TRANSFER_DECODING to
// zero, so that chunks arrive as they were sent.
#ifndef ENDPOINTS_RESPONSE_READER_H_
#define ENDPOINTS_RESPONSE_READER_H_

#include <functional>
#include <string_view>

#include "endpoints/chunked_body.h"
#include "endpoints/response_head.h"

namespace baobabrun {

class ResponseReader {
 public:
  // `may_have_body` is false for the response to a HEAD request.
  // `request_arrived` tells whether the other end has received the whole
  // request; it is called when the head of a response has arrived to which that
  // matters.
  ResponseReader(bool may_have_body, std::function<bool()> request_arrived);

  // Adds the next line of the head.
  bool AddLine(std::string_view line);
  // Adds the next bytes after the head. Passes those of the body to `on_data`,
  // whose result is returned if it is false.
  bool AddBytes(std::string_view bytes,
                const std::function<bool(std::string_view data)>& on_data);
  // libcurl takes the response for complete. Returns whether it is.
  bool AddEnd();

  const ResponseHead& head() const { return head_; }
  // Why the response can't be used; empty if it can, so far.
  std::string_view fault() const { return fault_; }

 private:
  bool Fail(std::string_view fault);

  const std::function<bool()> request_arrived_;
  ResponseHead head_;
  ChunkedBody chunks_;
  std::string_view fault_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_RESPONSE_READER_H_
