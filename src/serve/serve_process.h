// The process of one VM. Starts the decision loop, the fleet node and the HTTP
// servers, and stops them in order at shutdown.
#ifndef SERVE_SERVE_PROCESS_H_
#define SERVE_SERVE_PROCESS_H_

#include <atomic>
#include <memory>

#include "callers/http_server.h"
#include "callers/server_drain.h"
#include "metrics/metrics.h"
#include "serve/decision_loop.h"
#include "serve/fleet_node.h"
#include "serve/operator_port.h"
#include "settings/process_settings.h"

namespace baobabrun {

class ServeProcess {
 public:
  // Errors: ServeError::kCannotStart, with the reason as message.
  static Result<std::unique_ptr<ServeProcess>> Start(ProcessSettings settings);
  ~ServeProcess();
  ServeProcess(const ServeProcess&) = delete;
  ServeProcess& operator=(const ServeProcess&) = delete;

  // Serves until SIGTERM or SIGINT. Then finishes all open requests, at most
  // for the shutdown timeout, and returns.
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

  void BeginShutdown();
  // Runs the periodic work and, during a shutdown, its next step. Returns true
  // when the shutdown is complete.
  bool AdvanceShutdown();

  const ProcessSettings settings_;
  const SystemClock clock_;
  std::atomic<std::uint64_t> last_request_{0};
  std::atomic<bool> draining_{false};
  ServerDrain drain_;
  // Used on the thread of Run() only, as is callers_ended_.
  bool drain_sent_ = false;
  bool callers_ended_ = false;
  // fleet_ may be used by other threads
  std::atomic<bool> fleet_started_{false};
  std::atomic<bool> state_ready_{false};
  Metrics metrics_;
  std::unique_ptr<DecisionLoop> decisions_;
  std::unique_ptr<FleetNode> fleet_;
  std::unique_ptr<OperatorPort> operators_;
  std::unique_ptr<HttpServer> callers_;
};

}  // namespace baobabrun

#endif  // SERVE_SERVE_PROCESS_H_
