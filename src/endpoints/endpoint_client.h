// Sends tries to endpoints over HTTP and brings their answers back. One thread
// drives all connections through libcurl's multi interface.
//
// Every answer must carry the id of its try, or it is dropped and its
// connection closed. A stream must be complete and in order (StreamGuard); a
// whole answer is passed on only once all of it has come.
#ifndef ENDPOINTS_ENDPOINT_CLIENT_H_
#define ENDPOINTS_ENDPOINT_CLIENT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "requests/request.h"

namespace baobabrun {

class TransferLoop;

// Where the answer of a request goes, over all of its tries. Called on the
// client's thread.
struct AnswerSink {
  std::function<void(int status, std::vector<Header> headers)> begin;
  // Returns false if the reader is slow: the try pauses until Resume().
  std::function<bool(std::string_view bytes)> write;
  std::function<void()> end;
};

struct EndpointClientOptions {
  std::size_t ring_capacity = 16'384;
  long max_connections_per_endpoint = 256;
  Duration connect_timeout = seconds(2);
  // Between two bytes of an answer that has begun.
  Duration idle_timeout = seconds(10);
  // Until the first byte of an answer.
  Duration first_byte_timeout = seconds(30);
  // A whole answer is kept until complete; a longer one of a service is passed
  // on as it comes.
  std::size_t max_whole_bytes = 8 << 20;
};

class EndpointClient {
 public:
  using OnReport = std::function<void(AttemptReport report)>;

  static Result<std::unique_ptr<EndpointClient>> Start(
      EndpointClientOptions options,
      OnReport on_report);
  // Breaks off all tries; they are not reported.
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Each returns false, doing nothing, if the ring is full.
  bool Send(Dispatch dispatch, AnswerSink sink);
  bool Cancel(AttemptId attempt);
  // The reader that made `write` return false has caught up.
  bool Resume(AttemptId attempt);

 private:
  EndpointClient(EndpointClientOptions options,
                 OnReport on_report,
                 std::unique_ptr<TransferLoop> loop);

  // Both outlive the loop, whose transfers use them.
  const EndpointClientOptions options_;
  const OnReport on_report_;
  std::unique_ptr<TransferLoop> loop_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_ENDPOINT_CLIENT_H_
