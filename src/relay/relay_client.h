// Passes HTTP requests on to endpoints, byte for byte, and their answers back
// as they come. Knows HTTP only: what headers mean is its user's matter. One
// thread drives all connections.
#ifndef RELAY_RELAY_CLIENT_H_
#define RELAY_RELAY_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "requests/request.h"

namespace baobabrun {

class TransferLoop;

enum class RelayOutcome {
  kComplete,   // the whole answer has come
  kNotSent,    // no connection came up: no byte of the request left
  kBroken,     // it may have run: the connection broke, or the answer did
  kSilent,     // nothing came in time; it may have run
  kCancelled,  // given up by its user; it may have run
};
std::string_view NameOf(RelayOutcome outcome);

struct RelayEnd {
  RelayOutcome outcome = RelayOutcome::kBroken;
  int status = 0;      // zero: no status line came
  std::string detail;  // why, for people; empty if complete
};

// Where a request goes and what goes there.
struct RelayRequest {
  AttemptId attempt;
  Address address;
  std::string method;
  std::string target;  // path and query, sent as they are
  std::vector<Header> headers;
  std::shared_ptr<const std::string> body;  // null: none
  Duration connect_timeout = milliseconds(200);
  // Until the first byte of an answer, and between two bytes of it.
  Duration silence_limit = seconds(60);
  // A kept connection that was idle for longer isn't used again.
  Duration longest_idle = seconds(4);
};

// What becomes of the answer. Called on the client's thread; on_end exactly
// once, after all others.
struct RelayHooks {
  // Status and headers have come. Returns false to break the transfer off.
  std::function<bool(int status, const std::vector<Header>& headers)> on_head;
  enum class Body { kGoOn, kPause, kBreakOff };
  std::function<Body(std::string_view bytes)> on_body;
  std::function<void(const RelayEnd& end)> on_end;
};

class RelayClient {
 public:
  static Result<std::unique_ptr<RelayClient>> Start();
  // Breaks off all transfers; on_end isn't called for them.
  ~RelayClient();
  RelayClient(const RelayClient&) = delete;
  RelayClient& operator=(const RelayClient&) = delete;

  // Each returns false, doing nothing, if too much waits already.
  bool Send(RelayRequest request, RelayHooks hooks);
  bool Cancel(AttemptId attempt);
  // Goes on after on_body returned kPause.
  bool Resume(AttemptId attempt);

 private:
  explicit RelayClient(std::unique_ptr<TransferLoop> loop);

  std::unique_ptr<TransferLoop> loop_;
};

}  // namespace baobabrun

#endif  // RELAY_RELAY_CLIENT_H_
