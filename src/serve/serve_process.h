// One VM's process: puts the duties together, and takes them apart in order at
// shutdown.
#ifndef SERVE_SERVE_PROCESS_H_
#define SERVE_SERVE_PROCESS_H_

#include <atomic>
#include <memory>

#include "callers/http_server.h"
#include "metrics/metrics.h"
#include "serve/decision_loop.h"
#include "serve/fleet_link.h"
#include "serve/operator_port.h"
#include "settings/process_settings.h"

namespace baobabrun {

class ServeProcess {
 public:
  // Errors: ServeError::kCannotStart, with the reason.
  static Result<std::unique_ptr<ServeProcess>> Start(ProcessSettings settings);
  ~ServeProcess();
  ServeProcess(const ServeProcess&) = delete;
  ServeProcess& operator=(const ServeProcess&) = delete;

  // Serves until SIGTERM or SIGINT, then finishes all requests and returns.
  void Run();

  const Address& callers() const { return callers_->address(); }
  const Address& operators() const { return operators_->address(); }

 private:
  explicit ServeProcess(ProcessSettings settings);

  Status StartAll();
  Status StartDecisions();
  Status StartFleet();
  std::vector<LimitsMember> AllVms() const;
  void OnView(const FleetView& view);
  Status StartServers();
  Status LoadState();

  void OnCaller(const HttpExchangePtr& exchange);
  bool AnswerHealth(HttpExchange& exchange) const;
  bool ready() const;

  void BeginStop();
  bool Stopped();

  const ProcessSettings settings_;
  const SystemClock clock_;
  std::atomic<std::uint64_t> last_request_{0};
  std::atomic<bool> draining_{false};
  Instant stop_began_;  // touched by Run() only, as the flag below
  bool drain_sent_ = false;
  std::atomic<bool> linked_{false};  // fleet_ may be used by other threads
  std::atomic<bool> state_fit_{false};
  Metrics metrics_;
  std::unique_ptr<DecisionLoop> decisions_;
  std::unique_ptr<FleetLink> fleet_;
  std::unique_ptr<OperatorPort> operators_;
  std::unique_ptr<HttpServer> callers_;
};

}  // namespace baobabrun

#endif  // SERVE_SERVE_PROCESS_H_
