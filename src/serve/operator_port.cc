// Routes of the operators' port, and the JSON of its answers.
#include "serve/operator_port.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "callers/caller_front.h"
#include "endpoints/announcement.h"
#include "membership/peer_message.h"

namespace baobabrun {
namespace {

constexpr std::size_t kOperatorBodyBytes = kMaxPeerMessageBytes / 2;
constexpr std::string_view kBearer = "Bearer ";

void TooLarge(HttpExchange& exchange) {
  exchange.Respond(413, {{"Content-Type", "text/plain"}},
                   "the body is too large\n");
}

void RespondText(HttpExchange& exchange, int status, std::string text) {
  exchange.Respond(status, {{"Content-Type", "text/plain"}}, std::move(text));
}

void RespondJson(HttpExchange& exchange, int status, std::string json) {
  exchange.Respond(status, {{"Content-Type", "application/json"}},
                   std::move(json));
}

std::string BearerKey(const HttpRequest& request) {
  const auto value = request.HeaderValue("authorization");
  if (!value.starts_with(kBearer)) {
    return {};
  }
  return std::string(value.substr(kBearer.size()));
}

nlohmann::json ModelsJson(const EndpointView& endpoint) {
  nlohmann::json models = nlohmann::json::array();
  for (const auto& it : endpoint.models) {
    models.push_back(it.model.value() + "=" + it.weights);
  }
  return models;
}

nlohmann::json MembersJson(const FleetView& view) {
  nlohmann::json members = nlohmann::json::object();
  for (const auto& it : view.members) {
    members[it.vm.value()] = NameOf(it.state);
  }
  return members;
}

nlohmann::json ControlJson(const ControlStatus& control) {
  nlohmann::json replicas = nlohmann::json::object();
  for (const auto& [vm, index] : control.replicas) {
    replicas[vm.value()] = index;
  }
  return {{"leader", control.leader.value()},
          {"term", control.term},
          {"leads_here", control.has_lease},
          {"disk_failed", control.disk_failed},
          {"commit_index", control.commit_index},
          {"replicas", std::move(replicas)}};
}

}  // namespace

OperatorPort::OperatorPort(const ProcessSettings& settings,
                           DecisionLoop* decisions,
                           FleetNode* fleet,
                           const Metrics* metrics,
                           AnswerHealth answer_health)
    : settings_(settings),
      decisions_(decisions),
      fleet_(fleet),
      metrics_(metrics),
      answer_health_(std::move(answer_health)),
      api_({settings.operator_key_hash, settings.key_salt}, Hooks()),
      planner_(OrderPlannerOptions()),
      drain_({Duration::zero(), Duration::zero(), settings.shutdown_timeout}) {}

Result<std::unique_ptr<OperatorPort>> OperatorPort::Start(
    const ProcessSettings& settings,
    DecisionLoop* decisions,
    FleetNode* fleet,
    const Metrics* metrics,
    AnswerHealth answer_health) {
  std::unique_ptr<OperatorPort> port(new OperatorPort(
      settings, decisions, fleet, metrics, std::move(answer_health)));
  auto* self = port.get();
  auto orders = OrderClient::Start([self](const EndpointOrder& order) {
    std::lock_guard lock(self->planner_mutex_);
    self->planner_.OnRefused(order.endpoint);
  });
  if (!orders.ok()) {
    return orders.error();
  }
  port->orders_ = std::move(orders.value());
  HttpServerOptions options;
  options.listen = settings.operators;
  options.name = "operators";
  options.threads = 1;
  options.max_body_bytes = kOperatorBodyBytes;
  auto server = HttpServer::Start(
      options, [self](const HttpExchangePtr& it) { self->Handle(it); },
      &TooLarge);
  if (!server.ok()) {
    return server.error();
  }
  port->server_ = std::move(server.value());
  return port;
}

OperatorPort::~OperatorPort() = default;

OperatorHooks OperatorPort::Hooks() {
  OperatorHooks hooks;
  hooks.propose = [this](Proposal proposal, Instant deadline,
                         const ProposalDone& done) {
    fleet_->Propose(std::move(proposal), deadline, done);
  };
  // A new fleet has no state yet, so operators' calls start from an empty one.
  // If a newer state does exist, the expected version of the change doesn't
  // match it and the change fails with a conflict.
  hooks.state = [this] {
    auto state = decisions_->state();
    return state != nullptr ? state : std::make_shared<const FleetState>();
  };
  hooks.unconfirmed = [this](StateVersion version) {
    return fleet_->Unconfirmed(version);
  };
  hooks.withdraw = [this](const KeyId& key) { fleet_->Withdraw({key}); };
  hooks.endpoints_json = [this] { return EndpointsJson(); };
  hooks.status_json = [this] { return StatusJson(); };
  return hooks;
}

void OperatorPort::Handle(const HttpExchangePtr& exchange) {
  const auto& request = exchange->request();
  if (answer_health_(*exchange)) {
    return;
  }
  if (drain_.refusing() || exchange->reading_was_closed()) {
    RespondText(*exchange, 503, "this VM stops\n");
    return;
  }
  if (request.path == "/endpoints/announce" && request.method == "POST") {
    HandleAnnounce(*exchange);
  } else if (request.path == "/metrics" && request.method == "GET") {
    RespondText(*exchange, 200, metrics_->Render());
  } else if (OperatorApi::Serves(request.path)) {
    HandleOperator(exchange);
  } else {
    RespondText(*exchange, 404, "no such page\n");
  }
}

void OperatorPort::HandleOperator(const HttpExchangePtr& exchange) {
  const auto& http = exchange->request();
  OperatorRequest request{http.method, http.path, BearerKey(http), http.body};
  api_.Handle(request, clock_.Now(), [exchange](OperatorResponse response) {
    RespondJson(*exchange, response.status, std::move(response.json));
  });
}

void OperatorPort::HandleAnnounce(HttpExchange& exchange) {
  auto announcement = ParseAnnouncement(exchange.request().body);
  if (!announcement.ok()) {
    RespondText(exchange, 400, announcement.error().message + "\n");
    return;
  }
  const bool queued = decisions_->Push(std::move(announcement.value()));
  exchange.Respond(queued ? 204 : 503, {}, "");
}

void OperatorPort::Tick(Instant now) {
  api_.Tick(now);
  SendOrders(now);
}

void OperatorPort::SendOrders(Instant now) {
  const auto control = fleet_->control_status();
  const auto state = decisions_->state();
  std::lock_guard lock(planner_mutex_);
  if (!control.has_lease || state == nullptr) {
    planner_.StopLeading();
    return;
  }
  planner_.StartLeading(control.term, now);
  for (auto& it : planner_.Plan(*state, *decisions_->endpoints(), now)) {
    const auto endpoint = it.endpoint;
    if (!orders_->Send(std::move(it))) {
      planner_.OnRefused(endpoint);
    }
  }
}

std::string OperatorPort::EndpointsJson() const {
  nlohmann::json out = nlohmann::json::array();
  for (const auto& it : *decisions_->endpoints()) {
    out.push_back({{"endpoint", it.endpoint.value()},
                   {"incarnation", it.incarnation.value()},
                   {"zone", it.zone.value()},
                   {"address", ToString(it.address)},
                   {"state", NameOf(it.health)},
                   {"running", it.running},
                   {"slots", it.slots},
                   {"loading", it.loading},
                   {"models", ModelsJson(it)},
                   {"service", it.service}});
  }
  return out.dump();
}

std::string OperatorPort::StatusJson() const {
  const auto view = fleet_->view();
  const auto traffic = fleet_->traffic();
  const nlohmann::json out = {
      {"vm", settings_.vm.value()},
      {"zone", settings_.zone.value()},
      {"region", settings_.region.value()},
      {"version", decisions_->version().value()},
      {"state_ready", view.ready},
      {"zone_isolated", view.zone_isolated},
      {"open_requests", decisions_->open_requests()},
      {"members", MembersJson(view)},
      {"control", ControlJson(fleet_->control_status())},
      {"peers",
       {{"sent", traffic.sent},
        {"sent_bytes", traffic.sent_bytes},
        {"received", traffic.received},
        {"received_bytes", traffic.received_bytes},
        {"dropped", traffic.dropped},
        {"rejected", traffic.rejected},
        {"connections", traffic.connections}}}};
  return out.dump();
}

}  // namespace baobabrun
