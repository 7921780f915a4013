// Ends an HTTP server without cutting off a request that its process has
// accepted.
//
// Requests arrive on open and new connections until the process is gone, so
// that no request is in progress at some moment doesn't mean that the process
// may end. A drain therefore goes through phases:
//
//   serving    requests are accepted, since load balancers notice late that
//              this VM isn't ready any more
//   refusing   requests are refused; those accepted before are finished
//   closed     no accepted request is left; a request that arrives now is
//              closed or refused, and isn't passed on
#ifndef CALLERS_SERVER_DRAIN_H_
#define CALLERS_SERVER_DRAIN_H_

#include <atomic>

#include "base/time.h"

namespace baobabrun {

class HttpServer;

struct ServerDrainOptions {
  // Requests are accepted for at least this long, and for `refuse_after` at
  // most.
  Duration min_time{};
  Duration refuse_after{};
  // After this time the drain is over, whatever is still open.
  Duration timeout{};
};

class ServerDrain {
 public:
  explicit ServerDrain(ServerDrainOptions options) : options_(options) {}

  void Begin(Instant now);
  // To be called every few milliseconds. Returns whether the server may be
  // destroyed now.
  bool Advance(HttpServer& server, Instant now);

  // Whether a request must be refused that the server's handler is called with
  // now. May be called from any thread.
  bool refusing() const { return refusing_; }

 private:
  enum class Phase { kNotBegun, kServing, kRefusing, kClosed };

  const ServerDrainOptions options_;
  Phase phase_ = Phase::kNotBegun;
  Instant begun_;
  // Connections that were idle when the drain began have been closed. Those
  // opened since may still bring a request while the phase is kServing.
  bool idle_closed_ = false;
  // An exchange is open before its handler reads this, and Advance() looks for
  // open exchanges only in calls after the one that has set this. So either the
  // handler refuses the request, or Advance() waits for its answer.
  std::atomic<bool> refusing_{false};
};

}  // namespace baobabrun

#endif  // CALLERS_SERVER_DRAIN_H_
