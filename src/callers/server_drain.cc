// Advances a drain by what is open at the server.
#include "callers/server_drain.h"

#include "callers/http_server.h"

namespace baobabrun {

void ServerDrain::Begin(Instant now) {
  if (phase_ == Phase::kNotBegun) {
    phase_ = Phase::kServing;
    begun_ = now;
  }
}

bool ServerDrain::Advance(HttpServer& server, Instant now) {
  if (phase_ == Phase::kNotBegun) {
    return false;
  }
  if (phase_ != Phase::kServing || !idle_closed_) {
    server.CloseIdle();
    idle_closed_ = true;
  }
  const auto passed = now - begun_;
  const bool may_end = passed >= options_.min_time;
  switch (phase_) {
    case Phase::kServing:
      if ((may_end && server.open_exchanges() == 0) ||
          passed >= options_.refuse_after) {
        refusing_ = true;
        phase_ = Phase::kRefusing;
      }
      break;
    case Phase::kRefusing:
      if (may_end && server.open_exchanges() == 0) {
        phase_ = Phase::kClosed;
      }
      break;
    case Phase::kNotBegun:
    case Phase::kClosed:
      break;
  }
  return phase_ == Phase::kClosed || passed >= options_.timeout;
}

}  // namespace baobabrun
