// A gateway with a manual clock, a manifest, endpoints and the helper functions
// that its tests share. Only tests include this file.
#ifndef GATEWAY_GATEWAY_FIXTURE_H_
#define GATEWAY_GATEWAY_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "gateway/gateway.h"

namespace baobabrun {

inline const VmId kSelf("self");
inline const VmId kLeader("leader");
inline const VmId kOther("other");
inline const ModelId kModel("m");
inline constexpr std::int64_t kStoredTokens = 20'000;

inline ManifestRoute RouteTo(const char* service,
                             const char* prefix,
                             RouteKind kind) {
  ManifestRoute route;
  route.route = RouteId(prefix);
  route.host = "a.example";
  route.path_prefix = prefix;
  route.kind = kind;
  route.timeout = seconds(2);
  route.target_latency = milliseconds(300);
  route.target_event_gap = milliseconds(300);
  route.max_attempts = 1;
  route.shares = {{service, 1}};
  return route;
}

inline ManifestViewPtr SampleManifest(std::uint64_t number = 1) {
  Manifest manifest;
  manifest.number = number;
  manifest.services.push_back({"desk", 10, false, {}, false, {}, {}, 0});
  manifest.services.push_back(
      {"engines", 10, true, {64, 100'000, {kModel}}, false, {}, {}, 0});
  manifest.routes = {RouteTo("desk", "/book/", RouteKind::kUnsafe),
                     RouteTo("desk", "/read/", RouteKind::kSafe),
                     RouteTo("desk", "/open/", RouteKind::kSafe),
                     RouteTo("engines", "/tag/", RouteKind::kStream),
                     RouteTo("engines", "/draft/", RouteKind::kStream)};
  manifest.routes[1].max_attempts = 2;
  manifest.routes[2].open = true;
  manifest.routes[3].uses_prompt_prefix = true;
  manifest.routes[4].uses_prompt_prefix = true;
  manifest.routes[4].resumable = true;
  manifest.routes[4].max_attempts = 2;
  ManifestOrganisation hall;
  hall.organisation = OrganisationId("hall");
  hall.keys = {"key"};
  manifest.organisations = {hall};
  ManifestOrganisation limited;
  limited.organisation = OrganisationId("club");
  limited.keys = {"limited"};
  limited.rate = 100;
  limited.burst = 100;
  limited.counts_tokens = true;
  limited.default_request_cost = 50;
  manifest.organisations.push_back(limited);
  return std::make_shared<const ManifestView>(std::move(manifest));
}

inline EndpointRecord Endpoint(const char* id, const char* service) {
  EndpointRecord record;
  record.endpoint = EndpointId(id);
  record.service = service;
  static std::uint16_t port = 1;
  record.address = {"10.0.0.1", port++};
  record.incarnation = Incarnation(1);
  record.sequence = 1;
  if (std::string(service) == "engines") {
    record.models = {{kModel, 1}};
  }
  return record;
}

template <class T>
const T* Find(const std::vector<GatewayAction>& actions) {
  for (const auto& it : actions) {
    if (const auto* found = std::get_if<T>(&it)) {
      return found;
    }
  }
  return nullptr;
}

class GatewayFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    GatewayOptions options;
    options.self = kSelf;
    options.attempt_prefix = 7;
    options.retries = {0.2, seconds(10), 100};
    options.quota = {seconds(10), 0.1, 1'000};
    options.observe = [this](const CallObservation& call) {
      observed_.push_back(call);
    };
    endpoints_ = std::make_unique<RegistryReplicator>(true);
    gateway_ = std::make_unique<Gateway>(options, *endpoints_);
    gateway_->SetPeers(2, {{kOther, ZoneId()}}, {kLeader}, now_);
    for (const auto* it : {"d1", "d2", "d3"}) {
      endpoints_->Report(Endpoint(it, "desk"), now_);
    }
    for (const auto* it : {"e1", "e2", "e3"}) {
      endpoints_->Report(Endpoint(it, "engines"), now_);
    }
    PutState(1, 1);
  }

 protected:
  void PutState(std::uint64_t version, std::uint64_t weights) {
    auto state = std::make_shared<FleetState>();
    state->version = StateVersion(version);
    state->manifest.number = 1;
    state->named_weights = {{kModel, weights}};
    gateway_->OnState(state, SampleManifest(), now_);
  }

  void LoadWeights(const char* endpoint, std::uint64_t weights) {
    auto record = *endpoints_->registry().Find(EndpointId(endpoint));
    ++record.sequence;
    record.models = {{kModel, weights}};
    endpoints_->Report(record, now_);
    gateway_->OnEndpointsChanged(now_);
  }
  void AssertNotSent(const GatewayCallPtr& call) {
    gateway_->OnCall(call, now_);
    Advance(milliseconds(50));
    CPPUNIT_ASSERT(Find<SendCall>(TakeActions()) == nullptr);
  }

  // Puts a manifest in force in which "hall" is isolated, or isn't, and "desk"
  // is not.
  void PutIsolated(std::uint64_t version, bool isolated) {
    auto manifest = SampleManifest(version)->manifest();
    manifest.organisations[0].isolated = isolated;
    ManifestOrganisation desk;
    desk.organisation = OrganisationId("desk");
    desk.keys = {"desk"};
    manifest.organisations.push_back(desk);
    auto state = std::make_shared<FleetState>();
    state->version = StateVersion(version);
    state->manifest.number = version;
    state->named_weights = {{kModel, 1}};
    gateway_->OnState(
        state, std::make_shared<const ManifestView>(std::move(manifest)), now_);
  }
  std::string ScopeOf(const std::string& key) {
    return Sent("/tag/1", key).cache_scope;
  }

  // Adds a store that holds a long part, and leaves one engine in service.
  // Returns the store's address.
  Address AddStore() {
    auto manifest = SampleManifest(2)->manifest();
    ManifestService store;
    store.service = "store";
    store.cache_store = true;
    store.store_address = {"10.0.0.2", 1};
    store.store_tokens = 1'000'000;
    manifest.services.push_back(store);
    auto state = std::make_shared<FleetState>();
    state->version = StateVersion(2);
    state->manifest.number = 2;
    state->named_weights = {{kModel, 1}};
    for (const auto* it : {"e2", "e3"}) {
      endpoints_->MarkGone(EndpointId(it), Incarnation(), now_);
    }
    gateway_->OnState(
        state, std::make_shared<const ManifestView>(std::move(manifest)), now_);
    CacheNotice notice;
    notice.endpoint = EndpointId("store");
    notice.parts = {{PartKey("", 1, "stored"), kStoredTokens}};
    gateway_->Receive(kOther, notice, now_);
    return store.store_address;
  }
  // The engine's cache is taken for empty, so that the part is fetched.
  EndpointAttempt SentWithStoredPrompt() {
    gateway_->Receive(kOther, CacheNotice{EndpointId("e1"), true, {}}, now_);
    auto call = MakeCall("/tag/1", "key");
    call->parts = {{"stored", kStoredTokens}, {"own", 10}};
    gateway_->OnCall(call, now_);
    return TakeSent();
  }

  std::shared_ptr<GatewayCall> MakeCall(const std::string& path,
                                        const std::string& key) {
    auto call = std::make_shared<GatewayCall>();
    call->id = RequestId(++last_id_);
    call->caller_id = std::to_string(last_id_);
    call->method = "POST";
    call->host = "a.example";
    call->path = path;
    call->target = path;
    call->key = key;
    call->arrived = now_;
    if (path.starts_with("/tag/") || path.starts_with("/draft/")) {
      call->model = kModel;
      call->parts = {{"p", 100}, {"own", 10}};
    }
    return call;
  }
  GatewayCallPtr Call(const std::string& path, const std::string& key) {
    return MakeCall(path, key);
  }

  // Returns the actions that concern calls; cache queries are stored
  // separately.
  std::vector<GatewayAction> TakeActions() {
    auto actions = gateway_->TakeActions();
    std::erase_if(actions, [this](const auto& it) {
      const auto* ask = std::get_if<QueryCache>(&it);
      if (ask != nullptr) {
        queried_caches_.push_back(ask->query.source.endpoint);
      }
      return ask != nullptr;
    });
    return actions;
  }

  void Leave(const char* endpoint, std::uint64_t incarnation = 1) {
    gateway_->OnNotice(
        {EndpointId(endpoint), Incarnation(incarnation), {true, {}}}, now_);
  }
  void HoldBack(const char* endpoint, Duration delay) {
    gateway_->OnNotice({EndpointId(endpoint), Incarnation(1), {false, delay}},
                       now_);
  }
  EndpointAttempt TakeSent() {
    const auto actions = TakeActions();
    const auto* sent = Find<SendCall>(actions);
    CPPUNIT_ASSERT(sent != nullptr);
    return sent->send;
  }
  EndpointAttempt Sent(const std::string& path, const std::string& key) {
    gateway_->OnCall(Call(path, key), now_);
    return TakeSent();
  }

  static AttemptResult EndOf(const EndpointAttempt& sent, SendOutcome outcome) {
    AttemptResult end;
    end.request = sent.call->id;
    end.attempt = sent.attempt;
    end.outcome = outcome;
    return end;
  }
  void End(const EndpointAttempt& sent, SendOutcome outcome, int status = 0) {
    auto end = EndOf(sent, outcome);
    end.status = status;
    gateway_->OnAttemptResult(end, now_);
  }

  // Whether the newest actions cancel the attempt.
  bool Cancelled(AttemptId attempt) {
    const auto actions = TakeActions();
    return std::any_of(actions.begin(), actions.end(),
                       [attempt](const auto& it) {
                         const auto* cancel = std::get_if<CancelSend>(&it);
                         return cancel != nullptr && cancel->attempt == attempt;
                       });
  }

  void Advance(Duration step) {
    now_ += step;
    gateway_->Advance(now_);
  }

  // Returns the newest QuotaAsk among messages_, or null.
  const QuotaAsk* NewestQuotaAsk() {
    for (const auto& it : messages_) {
      auto message = DecodeGatewayMessage(it.payload);
      if (message.ok() && std::holds_alternative<QuotaAsk>(message.value())) {
        asked_ = std::get<QuotaAsk>(message.value());
        CPPUNIT_ASSERT(it.to == kLeader);
        return &asked_;
      }
    }
    return nullptr;
  }

  // Returns this VM's notice of a crash, changed to name another endpoint.
  static CallNotices NoticesIn(const PeerMessage& message) {
    const auto decoded = DecodeGatewayMessage(message.payload);
    CPPUNIT_ASSERT(decoded.ok());
    const auto* notices = std::get_if<CallNotices>(&decoded.value());
    return notices != nullptr ? *notices : CallNotices();
  }
  CrashNotice FirstCrashNotice() {
    for (const auto& it : gateway_->TakeMessages(now_)) {
      const auto notices = NoticesIn(it);
      if (!notices.crashes.empty()) {
        auto crash = notices.crashes.front();
        crash.endpoint = EndpointId("elsewhere");
        return crash;
      }
    }
    CPPUNIT_FAIL("no crash notice was sent");
    return {};
  }

  Instant now_{seconds(100)};
  std::uint64_t last_id_ = 0;
  std::unique_ptr<RegistryReplicator> endpoints_;
  std::unique_ptr<Gateway> gateway_;
  std::vector<PeerMessage> messages_;
  QuotaAsk asked_;
  std::vector<EndpointId> queried_caches_;
  std::vector<CallObservation> observed_;
};

}  // namespace baobabrun

#endif  // GATEWAY_GATEWAY_FIXTURE_H_
