// Handles process signals on the main thread, with ACE's reactor.
#ifndef SERVE_SIGNALS_H_
#define SERVE_SIGNALS_H_

#include <functional>

namespace baobabrun {

struct SignalHooks {
  // Called at the first SIGTERM or SIGINT, to begin a graceful shutdown.
  std::function<void()> on_stop;
  // Called at SIGHUP, to read again what can be read again at run time.
  std::function<void()> on_reload;
  // Called several times per second. The wait ends when it returns true.
  std::function<bool()> finished;
};

// Ignores SIGPIPE in the whole process, and calls the hooks until `finished`
// returns true.
void WaitForSignals(const SignalHooks& hooks);

}  // namespace baobabrun

#endif  // SERVE_SIGNALS_H_
