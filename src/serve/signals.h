// Waits for signals on the main thread by ACE's reactor.
#ifndef SERVE_SIGNALS_H_
#define SERVE_SIGNALS_H_

#include <functional>

namespace baobabrun {

struct SignalHooks {
  // SIGTERM or SIGINT: begin a graceful shutdown. Called once.
  std::function<void()> on_stop;
  // SIGHUP: read again what can be read again.
  std::function<void()> on_reload;
  // Called a few times a second; the wait ends when it returns true.
  std::function<bool()> finished;
};

// Blocks SIGPIPE for the process and runs until `finished` says so.
void WaitForSignals(const SignalHooks& hooks);

}  // namespace baobabrun

#endif  // SERVE_SIGNALS_H_
