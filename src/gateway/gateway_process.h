// The process of one VM that serves by a manifest: starts its parts, and stops
// them in order at shutdown. The settings determine its roles: "callers" makes
// it an entry, "operators" a control VM.
#ifndef GATEWAY_GATEWAY_PROCESS_H_
#define GATEWAY_GATEWAY_PROCESS_H_

#include <atomic>
#include <memory>

#include "base/memory_budget.h"
#include "base/memory_pressure.h"
#include "callers/http_server.h"
#include "callers/server_drain.h"
#include "gateway/dialect.h"
#include "gateway/gateway_loop.h"
#include "gateway/state_files.h"
#include "metrics/metrics.h"
#include "serve/fleet_node.h"
#include "settings/process_settings.h"

namespace baobabrun {

class GatewayProcess {
 public:
  // Errors: ServeError::kCannotStart, with the reason.
  static Result<std::unique_ptr<GatewayProcess>> Start(ProcessSettings settings,
                                                       Dialect dialect);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Serves until SIGTERM or SIGINT, waits for the open calls, and returns.
  void Run();

  const Address& callers() const { return callers_->address(); }
  const Address& operators() const { return operators_->address(); }
  const Address& readiness() const { return readiness_->address(); }

 private:
  explicit GatewayProcess(ProcessSettings settings);

  Status StartAll(Dialect dialect);
  Status StartLoop(Dialect dialect);
  void ReadFiles(GatewayLoopOptions* options);
  Status StartFleet();
  Status StartServers();
  Result<std::unique_ptr<HttpServer>> Serve(const Address& listen,
                                            std::string name,
                                            bool watch_peers,
                                            HttpServer::Handler handler);
  void OnDirectory(const Directory& directory);
  void OnCaller(const HttpExchangePtr& exchange);
  // Why a new call isn't taken; null if it is.
  const char* Overloaded() const;
  void RefuseForLoad(HttpExchange& exchange, const char* reason);
  std::size_t MaxConnections() const;
  void OnControlCall(const HttpExchangePtr& exchange);
  void OnReadiness(HttpExchange& exchange) const;
  void OnMetrics(HttpExchange& exchange) const;
  // Called on the loop's thread.
  void Count(const CallObservation& call);
  void FollowLimits();
  // Reads how much memory the process occupies, and logs what it holds when the
  // pressure changes and now and then.
  void WatchResources(Instant now);
  void LogResources(const ProcessMemory& memory);
  void LogTraffic(const PeerTraffic& traffic) const;
  bool ready() const;
  void BeginShutdown();
  bool AdvanceShutdown();

  const ProcessSettings settings_;
  const SystemClock clock_;
  std::atomic<std::uint64_t> last_request_{0};
  std::atomic<bool> stopping_{false};
  ServerDrain callers_drain_;
  ServerDrain operators_drain_;
  // fleet_ may be used by other threads
  std::atomic<bool> fleet_started_{false};
  Metrics metrics_;
  const MemoryBudgetPtr budget_;
  // Whether new calls are refused, since the process is near its memory limit.
  std::atomic<bool> short_of_memory_{false};
  // The next three are used by the main thread only.
  MemoryPressure pressure_;
  Instant next_watch_;
  Instant next_resource_log_;
  std::unique_ptr<StateFiles> files_;  // null without a disk
  std::unique_ptr<GatewayLoop> loop_;
  std::unique_ptr<FleetNode> fleet_;
  // Null unless the settings have their address.
  std::unique_ptr<HttpServer> readiness_;
  std::unique_ptr<HttpServer> metrics_port_;
  std::unique_ptr<HttpServer> operators_;
  std::unique_ptr<HttpServer> callers_;
};

}  // namespace baobabrun

#endif  // GATEWAY_GATEWAY_PROCESS_H_
