// Forwards HTTP requests to endpoints unchanged and passes the responses back
// as they arrive. It doesn't interpret headers; that is left to the caller. One
// thread drives all connections.
#ifndef RELAY_RELAY_CLIENT_H_
#define RELAY_RELAY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "endpoints/response_head.h"
#include "endpoints/surplus.h"
#include "requests/request.h"

namespace baobabrun {

class ConnectionSockets;
class TransferLoop;

enum class RelayOutcome {
  kComplete,   // the whole response has arrived
  kNotSent,    // no connection was established, nothing was sent
  kBroken,     // connection or response broke off; it may have run
  kSilent,     // data, or the end, didn't arrive in time; it may have run
  kCancelled,  // cancelled by the caller; it may have run
};
std::string_view NameOf(RelayOutcome outcome);

struct RelayResult {
  RelayOutcome outcome = RelayOutcome::kBroken;
  int status = 0;      // zero if no whole head arrived
  std::string detail;  // reason as text; empty if complete
  BodyFraming framing = BodyFraming::kNone;
  std::uint64_t body_bytes = 0;  // received
  int local_port = 0;            // of the connection; zero if there was none
  bool reused = false;           // the connection had carried other requests
};

// The request to forward and the endpoint's address.
struct RelayRequest {
  AttemptId attempt;
  Address address;
  std::string method;
  std::string target;  // path and query, sent unchanged
  std::vector<Header> headers;
  std::shared_ptr<const std::string> body;  // null for no body
  Duration connect_timeout = milliseconds(200);
  // Longest time until the first byte of the response and between two of its
  // bytes.
  Duration idle_timeout = seconds(60);
  // Longest time until the end of the response, however steadily it arrives.
  // Null if something else ends the transfer in time.
  std::optional<Duration> total_timeout;
  // A connection in the pool that was idle for longer isn't reused.
  Duration longest_idle = seconds(4);
  // No connection from the pool is used.
  bool fresh_connection = false;
};

// Callbacks for the response, called on the client's thread. on_end is called
// exactly once, after all others.
struct RelayHooks {
  // Called before the request is sent; may be null. `reused` tells whether the
  // connection has carried other requests, whose answers may come late.
  std::function<void(bool reused)> on_connected;
  // Called when status and headers have arrived. Returns false to abort the
  // transfer.
  std::function<bool(int status, const std::vector<Header>& headers)> on_head;
  enum class BodyAction { kContinue, kPause, kAbort };
  std::function<BodyAction(std::string_view bytes)> on_body;
  std::function<void(const RelayResult& end)> on_end;
};

class RelayClient {
 public:
  // `on_surplus`, if set, is called on the client's thread when an endpoint has
  // sent more than its answer: bytes past the end of a body, or on a connection
  // without a request. They belong to no request, and the connection is closed.
  static Result<std::unique_ptr<RelayClient>> Start(
      OnSurplus on_surplus = nullptr);
  // Aborts all transfers without calling on_end for them.
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  // Each of the following returns false and does nothing if the queue to the
  // client's thread is full.
  bool Send(RelayRequest request, RelayHooks hooks);
  bool Cancel(AttemptId attempt);
  // Continues a transfer after on_body returned kPause.
  bool Resume(AttemptId attempt);

 private:
  RelayClient(std::unique_ptr<ConnectionSockets> sockets,
              std::unique_ptr<TransferLoop> loop);

  // Declared before the loop, whose connections use it until they are closed.
  const std::unique_ptr<ConnectionSockets> sockets_;
  std::unique_ptr<TransferLoop> loop_;
};

}  // namespace baobabrun

#endif  // RELAY_RELAY_CLIENT_H_
