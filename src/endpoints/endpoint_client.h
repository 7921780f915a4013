// Sends attempts to endpoints over HTTP and returns their answers. One thread
// drives all connections with libcurl's multi interface.
//
// Every answer must carry the id of its attempt. Otherwise it is dropped and
// its connection is closed. A stream must be complete and in order
// (StreamGuard). An answer that is not streamed is forwarded only once it has
// arrived completely.
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

class ConnectionSockets;
class TransferLoop;

// Receives the answer of a request from all of its attempts. The functions are
// called on the client's thread.
struct AnswerSink {
  std::function<void(int status, std::vector<Header> headers)> begin;
  // Returns false if the reader is slow. The attempt then pauses until
  // Resume().
  std::function<bool(std::string_view bytes)> write;
  std::function<void()> end;
};

struct EndpointClientOptions {
  std::size_t ring_capacity = 16'384;
  long max_connections_per_endpoint = 256;
  Duration connect_timeout = seconds(2);
  // Timeout between two bytes of an answer that has begun.
  Duration idle_timeout = seconds(10);
  // Timeout until the first byte of an answer.
  Duration first_byte_timeout = seconds(30);
  // Maximum size of an answer that is not streamed and is collected until it is
  // complete. A longer answer of a service is forwarded as it arrives. A longer
  // answer of an engine is an error, and so is a stream in which as many bytes
  // arrive without an event to forward.
  std::size_t max_whole_bytes = 8 << 20;
};

class EndpointClient {
 public:
  using OnReport = std::function<void(AttemptReport report)>;

  static Result<std::unique_ptr<EndpointClient>> Start(
      EndpointClientOptions options,
      OnReport on_report);
  // Aborts all attempts without reporting them.
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  // Each returns false and does nothing if the ring is full.
  bool Send(Dispatch dispatch, AnswerSink sink);
  bool Cancel(AttemptId attempt);
  // Resumes an attempt that is paused because `write` returned false.
  bool Resume(AttemptId attempt);

 private:
  EndpointClient(EndpointClientOptions options,
                 OnReport on_report,
                 std::unique_ptr<TransferLoop> loop);

  // Declared before the loop so that they outlive it, as its transfers use
  // them.
  const EndpointClientOptions options_;
  const OnReport on_report_;
  const std::unique_ptr<ConnectionSockets> sockets_;
  std::unique_ptr<TransferLoop> loop_;
};

}  // namespace baobabrun

#endif  // ENDPOINTS_ENDPOINT_CLIENT_H_
