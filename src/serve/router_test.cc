// Tests of the router's decisions: checks of keys and contracts, withdrawal of
// a key while its request runs, calls that run at most once, isolation of the
// zone, and budgets for open requests.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "serve/router.h"

namespace baobabrun {
namespace {

constexpr char kSalt[] = "salt";

KeyRecord Key(const char* id, const char* organisation, const char* secret) {
  return {KeyId(id), OrganisationId(organisation), HashKey(secret, kSalt),
          false};
}

FleetState SampleState() {
  FleetState state;
  state.version = StateVersion(1);
  Contract contract;
  contract.organisation = OrganisationId("hall");
  contract.models = {ModelId("tagger")};
  contract.routes = {RouteId("bookings")};
  contract.max_output_tokens = 100;
  contract.tokens_per_second = 1'000;
  contract.burst_tokens = 100'000;
  contract.requests_per_second = 10;
  contract.burst_requests = 100;
  state.declarations.contracts = {contract};
  state.declarations.keys = {Key("k1", "hall", "secret-1"),
                             Key("k2", "nobody", "secret-2")};
  state.declarations.models = {{ModelId("tagger"), "v1", "", 2048, 0},
                               {ModelId("other"), "v1", "", 2048, 0}};
  state.declarations.routes = {
      {RouteId("bookings"), "/bookings/", "desk", false, {"GET"}},
      {RouteId("posts"), "/posts/", "desk", false, {}},
      {RouteId("open"), "/open/", "desk", true, {"GET"}}};
  return state;
}

}  // namespace

class RouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouterTest);
  CPPUNIT_TEST(KeyAndContractDecideOutcome);
  CPPUNIT_TEST(WithdrawnKeyEndsItsOpenRequest);
  CPPUNIT_TEST(OlderStateIsIgnored);
  CPPUNIT_TEST(OnceCallIsRecordedBeforeItIsSent);
  CPPUNIT_TEST(OnceCallRunsAsSoonAsTheServiceIsKnown);
  CPPUNIT_TEST(OnceCallWithoutQuorumIsNotSent);
  CPPUNIT_TEST(ContractDecidesRefusalInIsolatedZone);
  CPPUNIT_TEST(RefusalOfKeyedCallDoesNotClaimItNeverRan);
  CPPUNIT_TEST(DrainingVmRecordsNoNewOnceCall);
  CPPUNIT_TEST(OneOrganisationCannotUseUpBodyBudget);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    StartRouter();
    router_->OnAnnouncement(Engine(), clock_.Now());
    router_->OnAnnouncement(Service(), clock_.Now());
    clock_.Advance(milliseconds(100));
    router_->Advance(clock_.Now());
  }

  // Starts a router that knows no endpoint.
  void StartRouter() {
    RouterOptions options;
    options.key_salt = kSalt;
    options.dispatcher.zone = ZoneId("z");
    options.limiter.self = VmId("v1");
    options.limiter.fleet = {{VmId("v1"), ZoneId("z")}};
    options.limiter.seed = 1;
    options.once.self = VmId("v1");
    auto router = Router::Create(options);
    CPPUNIT_ASSERT(router.ok());
    router_ = std::move(router.value());
    router_->OnState(std::make_shared<FleetState>(SampleState()), clock_.Now());
    // The limiter's buckets start empty and fill at the contract's rate.
    clock_.Advance(seconds(60));
    router_->Advance(clock_.Now());
  }

  void KeyAndContractDecideOutcome() {
    struct Row {
      const char* name;
      const char* key;
      const char* path;
      const char* model;  // null: a service call
      const char* code;   // null: it runs
    };
    const Row rows[] = {
        {"allowed model", "secret-1", "/v1/completions", "tagger", nullptr},
        {"no key", "", "/v1/completions", "tagger", "key_missing"},
        {"wrong key", "secret-3", "/v1/completions", "tagger", "key_unknown"},
        {"no contract", "secret-2", "/v1/completions", "tagger", "forbidden"},
        {"model not in contract", "secret-1", "/v1/completions", "other",
         "forbidden"},
        {"unknown model", "secret-1", "/v1/completions", "none",
         "unknown_model"},
        {"allowed route", "secret-1", "/bookings/1", nullptr, nullptr},
        {"route not in contract", "secret-1", "/posts/1", nullptr, "forbidden"},
        {"route without key", "", "/bookings/1", nullptr, "key_missing"},
        {"open route without key", "", "/open/1", nullptr, nullptr},
        {"unknown route", "secret-1", "/none/1", nullptr, "unknown_route"},
    };
    for (const auto& it : rows) {
      router_->OnRequest(Caller(it.key, it.path, it.model), clock_.Now());
      const auto actions = router_->TakeActions();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.name, std::size_t{1}, actions.size());
      if (it.code == nullptr) {
        const auto* dispatch = std::get_if<Dispatch>(&actions[0]);
        CPPUNIT_ASSERT_MESSAGE(it.name, dispatch != nullptr);
        CPPUNIT_ASSERT_MESSAGE(it.name, dispatch->request->caller.key.empty());
        CPPUNIT_ASSERT_MESSAGE(it.name, dispatch->request->max_tokens <= 100);
        continue;
      }
      const auto* refusal = std::get_if<RefuseRequest>(&actions[0]);
      CPPUNIT_ASSERT_MESSAGE(it.name, refusal != nullptr);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          it.name, std::string(it.code),
          std::string(RefusalEntryOf(refusal->refusal.reason).code));
      CPPUNIT_ASSERT_MESSAGE(it.name, refusal->refusal.not_run);
    }
  }

  void WithdrawnKeyEndsItsOpenRequest() {
    const auto caller = Caller("secret-1", "/v1/completions", "tagger");
    router_->OnRequest(caller, clock_.Now());
    router_->TakeActions();
    auto state = SampleState();
    state.version = StateVersion(2);
    state.declarations.keys[0].withdrawn = true;
    router_->OnState(std::make_shared<FleetState>(state), clock_.Now());
    const auto first = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
    AttemptReport report;
    report.attempt = std::get<CancelAttempt>(first[0]).attempt;
    report.outcome = AttemptOutcome::kCancelled;
    router_->OnReport(report, clock_.Now());
    const auto second = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
    const auto& end = std::get<RefuseRequest>(second[0]);
    CPPUNIT_ASSERT(end.request == caller.id);
    CPPUNIT_ASSERT(end.refusal.reason == RefusalReason::kKeyWithdrawn);
    CPPUNIT_ASSERT(!end.refusal.not_run);
    router_->OnRequest(Caller("secret-1", "/v1/completions", "tagger"),
                       clock_.Now());
    const auto actions = router_->TakeActions();
    CPPUNIT_ASSERT(std::get<RefuseRequest>(actions[0]).refusal.reason ==
                   RefusalReason::kKeyWithdrawn);
  }

  void OlderStateIsIgnored() {
    auto state = SampleState();
    state.version = StateVersion(3);
    state.declarations.contracts.clear();
    router_->OnState(std::make_shared<FleetState>(state), clock_.Now());
    router_->OnState(std::make_shared<FleetState>(SampleState()), clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, router_->state()->version.value());
  }

  // A booking is recorded before it is sent, and its answer is recorded
  // afterwards even if the caller has disconnected in the meantime.
  void OnceCallIsRecordedBeforeItIsSent() {
    const auto begin = BeginOnce();
    router_->OnProposed(OnceRecord::kBegin, begin.number,
                        {ProposalOutcome::kOnceStarted, {}, "", std::nullopt},
                        clock_.Now());
    auto actions = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    const auto dispatch = std::get<Dispatch>(actions[0]);
    router_->OnCallerGone(dispatch.request->caller.id, clock_.Now());
    CPPUNIT_ASSERT(router_->TakeActions().empty());
    AttemptReport report;
    report.request = dispatch.request->caller.id;
    report.attempt = dispatch.attempt;
    report.status = 200;
    report.answer_begun = true;
    report.answer = std::make_shared<const WholeAnswer>(
        WholeAnswer{200, "text/plain", "booked"});
    router_->OnReport(report, clock_.Now());
    actions = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, actions.size());
    const auto& end = std::get<ProposeRecord>(actions[0]);
    CPPUNIT_ASSERT(end.kind == OnceRecord::kEnd);
    CPPUNIT_ASSERT_EQUAL(std::string("booked"),
                         std::get<OnceEnd>(end.proposal).body);
  }

  void OnceCallRunsAsSoonAsTheServiceIsKnown() {
    StartRouter();
    router_->OnAnnouncement(Service(), clock_.Now());
    BeginOnce();
  }

  void OnceCallWithoutQuorumIsNotSent() {
    const auto begin = BeginOnce();
    router_->OnProposed(OnceRecord::kBegin, begin.number,
                        {ProposalOutcome::kNotAccepted, {}, "", std::nullopt},
                        clock_.Now());
    const auto actions = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    const auto& refusal = std::get<RefuseRequest>(actions[0]).refusal;
    CPPUNIT_ASSERT(refusal.reason == RefusalReason::kNoQuorum);
    // An earlier call with the same idempotency key may have run. Only the
    // control log has a record of that.
    CPPUNIT_ASSERT(!refusal.not_run);
  }

  void ContractDecidesRefusalInIsolatedZone() {
    auto state = SampleState();
    state.version = StateVersion(2);
    state.declarations.contracts[0].when_isolated = WhenIsolated::kRefuse;
    router_->OnMembers({}, true, clock_.Now());
    const auto send_booking = [this] {
      router_->OnRequest(Caller("secret-1", "/bookings/1", nullptr),
                         clock_.Now());
      return router_->TakeActions();
    };
    CPPUNIT_ASSERT(std::holds_alternative<Dispatch>(send_booking()[0]));
    router_->OnState(std::make_shared<FleetState>(state), clock_.Now());
    CPPUNIT_ASSERT(std::get<RefuseRequest>(send_booking()[0]).refusal.reason ==
                   RefusalReason::kIsolated);
    router_->OnMembers({}, false, clock_.Now());
    CPPUNIT_ASSERT(std::holds_alternative<Dispatch>(send_booking()[0]));
  }

  // The contract allows a burst of 100 requests, and the next one is refused.
  // If it has an idempotency key, the caller may have sent it through another
  // VM before, so the refusal must not claim that the call never ran.
  void RefusalOfKeyedCallDoesNotClaimItNeverRan() {
    for (const bool keyed : {false, true}) {
      std::optional<Refusal> refusal;
      for (int n = 0; n < 300 && !refusal; ++n) {
        auto caller = Caller("secret-1", "/bookings/1", nullptr);
        caller.idempotency_key = keyed ? "i" + std::to_string(n) : "";
        caller.deadline = clock_.Now() + milliseconds(1);
        router_->OnRequest(caller, clock_.Now());
        refusal = FindRefusal(router_->TakeActions());
      }
      CPPUNIT_ASSERT(refusal.has_value());
      CPPUNIT_ASSERT(refusal->reason == RefusalReason::kRateExceeded ||
                     refusal->reason == RefusalReason::kTooManyConcurrent);
      CPPUNIT_ASSERT_EQUAL(!keyed, refusal->not_run);
    }
  }

  void DrainingVmRecordsNoNewOnceCall() {
    router_->BeginDrain();
    auto caller = Caller("secret-1", "/bookings/1", nullptr);
    caller.idempotency_key = "i1";
    router_->OnRequest(caller, clock_.Now());
    const auto actions = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    const auto refusal = FindRefusal(actions);
    CPPUNIT_ASSERT(refusal.has_value());
    CPPUNIT_ASSERT(refusal->reason == RefusalReason::kShuttingDown);
    CPPUNIT_ASSERT(!refusal->not_run);
  }

  // One organisation sends bodies of 1 MiB until it is refused. A request on an
  // open route, which counts against no organisation, is still accepted.
  void OneOrganisationCannotUseUpBodyBudget() {
    const auto body =
        std::make_shared<const std::string>(std::size_t{1} << 20, 'b');
    auto state = SampleState();
    state.version = StateVersion(2);
    state.declarations.contracts[0].max_concurrent = 1'000;
    router_->OnState(std::make_shared<FleetState>(state), clock_.Now());
    std::optional<Refusal> refusal;
    for (int n = 0; n < 1'000 && !refusal; ++n) {
      auto caller = Caller("secret-1", "/v1/completions", "tagger");
      caller.body = body;
      router_->OnRequest(caller, clock_.Now());
      refusal = FindRefusal(router_->TakeActions());
      if (refusal && refusal->reason != RefusalReason::kQueueFull) {
        refusal.reset();
      }
      CPPUNIT_ASSERT(n <= 128);
    }
    CPPUNIT_ASSERT(refusal.has_value());
    router_->OnRequest(Caller("", "/open/1", nullptr), clock_.Now());
    CPPUNIT_ASSERT(!FindRefusal(router_->TakeActions()));
  }

 private:
  static std::optional<Refusal> FindRefusal(
      const std::vector<RouterAction>& actions) {
    for (const auto& it : actions) {
      if (const auto* refuse = std::get_if<RefuseRequest>(&it)) {
        return refuse->refusal;
      }
    }
    return std::nullopt;
  }

  // Sends a booking with an idempotency key. Checks that the only action is the
  // proposal to record it, and returns that proposal.
  ProposeRecord BeginOnce() {
    auto caller = Caller("secret-1", "/bookings/1", nullptr);
    caller.idempotency_key = "i1";
    router_->OnRequest(caller, clock_.Now());
    const auto actions = router_->TakeActions();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    auto begin = std::get<ProposeRecord>(actions[0]);
    CPPUNIT_ASSERT(begin.kind == OnceRecord::kBegin);
    return begin;
  }

  static Announcement Engine() {
    Announcement it;
    it.endpoint = EndpointId("e1");
    it.incarnation = Incarnation(1);
    it.zone = ZoneId("z");
    it.address = {"127.0.0.1", 1};
    it.models = {{ModelId("tagger"), "v1", ""}, {ModelId("other"), "v1", ""}};
    it.slots = 100;
    return it;
  }

  static Announcement Service() {
    Announcement it = Engine();
    it.endpoint = EndpointId("s1");
    it.kind = EndpointKind::kService;
    it.service = "desk";
    it.models.clear();
    return it;
  }

  CallerRequest Caller(const char* key, const char* path, const char* model) {
    CallerRequest it;
    it.id = RequestId(++last_);
    it.method = "POST";
    it.path = path;
    it.key = key;
    it.body = std::make_shared<const std::string>("{}");
    it.arrived = clock_.Now();
    it.deadline = clock_.Now() + seconds(10);
    if (model != nullptr) {
      it.kind = RequestKind::kCompletion;
      it.call.model = ModelId(model);
      it.call.prompt = std::make_shared<const std::string>("hello");
    }
    return it;
  }

  ManualClock clock_;
  std::unique_ptr<Router> router_;
  std::uint64_t last_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouterTest);

}  // namespace baobabrun
