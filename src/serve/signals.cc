// Handles signals with ACE's reactor.
#include "serve/signals.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Sig_Handler.h>
#include <ace/Signal.h>
#include <ace/Time_Value.h>

namespace baobabrun {
namespace {

constexpr int kTickUs = 50'000;

// Sets a flag for each signal that arrives. WaitForSignals reads the flags on
// the main thread after each tick.
class SignalFlags : public ACE_Event_Handler {
 public:
  int handle_signal(int signal,
                    siginfo_t* /*info*/,
                    ucontext_t* /*context*/) override {
    if (signal == SIGHUP) {
      reload_ = 1;
    } else {
      stop_ = 1;
    }
    return 0;
  }

  bool TakeStop() { return Take(&stop_); }
  bool TakeReload() { return Take(&reload_); }

 private:
  static bool Take(volatile sig_atomic_t* flag) {
    const bool set = *flag != 0;
    *flag = 0;
    return set;
  }

  volatile sig_atomic_t stop_ = 0;
  volatile sig_atomic_t reload_ = 0;
};

}  // namespace

void WaitForSignals(const SignalHooks& hooks) {
  ACE_Sig_Action ignore(reinterpret_cast<ACE_SignalHandler>(SIG_IGN), SIGPIPE);
  SignalFlags handler;
  ACE_Reactor reactor;
  for (const int it : {SIGTERM, SIGINT, SIGHUP}) {
    reactor.register_handler(it, &handler);
  }
  bool stopped = false;
  while (!hooks.finished()) {
    ACE_Time_Value tick(0, kTickUs);
    reactor.handle_events(tick);
    if (handler.TakeStop() && !stopped) {
      stopped = true;
      hooks.on_stop();
    }
    if (handler.TakeReload()) {
      hooks.on_reload();
    }
  }
}

}  // namespace baobabrun
