// The second HTTP port of a VM. It serves operators' calls, announcements from
// endpoints, metrics and status. Tick does the periodic work of operators'
// calls and of the orders sent to endpoints.
#ifndef SERVE_OPERATOR_PORT_H_
#define SERVE_OPERATOR_PORT_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/error.h"
#include "callers/http_server.h"
#include "callers/server_drain.h"
#include "metrics/metrics.h"
#include "operators/operator_api.h"
#include "orders/order_client.h"
#include "orders/order_planner.h"
#include "serve/decision_loop.h"
#include "serve/fleet_node.h"
#include "settings/process_settings.h"

namespace baobabrun {

class OperatorPort {
 public:
  // Answers a health check. Returns false if the path isn't one of a health
  // check.
  using AnswerHealth = std::function<bool(HttpExchange& exchange)>;

  // `decisions`, `fleet` and `metrics` must outlive the port.
  static Result<std::unique_ptr<OperatorPort>> Start(
      const ProcessSettings& settings,
      DecisionLoop* decisions,
      FleetNode* fleet,
      const Metrics* metrics,
      AnswerHealth answer_health);
  ~OperatorPort();
  OperatorPort(const OperatorPort&) = delete;
  OperatorPort& operator=(const OperatorPort&) = delete;

  // Advances operators' calls that wait for an outcome and, if this VM is the
  // control leader, sends orders to endpoints. Must be called a few times per
  // second.
  void Tick(Instant now);

  // Begins to end the port. AdvanceDrain finishes the calls that are open,
  // refuses new ones, and returns whether the port may be destroyed. Until it
  // is called first, the port serves as before.
  void BeginDrain(Instant now) { drain_.Begin(now); }
  bool AdvanceDrain(Instant now) { return drain_.Advance(*server_, now); }

  const Address& address() const { return server_->address(); }

 private:
  OperatorPort(const ProcessSettings& settings,
               DecisionLoop* decisions,
               FleetNode* fleet,
               const Metrics* metrics,
               AnswerHealth answer_health);
  OperatorHooks Hooks();
  void Handle(const HttpExchangePtr& exchange);
  void HandleOperator(const HttpExchangePtr& exchange);
  void HandleAnnounce(HttpExchange& exchange);
  void SendOrders(Instant now);
  std::string EndpointsJson() const;
  std::string StatusJson() const;

  const ProcessSettings& settings_;
  DecisionLoop* const decisions_;
  FleetNode* const fleet_;
  const Metrics* const metrics_;
  const AnswerHealth answer_health_;
  const SystemClock clock_;
  OperatorApi api_;
  std::mutex planner_mutex_;  // guards planner_
  OrderPlanner planner_;
  std::unique_ptr<OrderClient> orders_;
  ServerDrain drain_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace baobabrun

#endif  // SERVE_OPERATOR_PORT_H_
