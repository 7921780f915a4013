// Tests the operators' API with fake hooks.
#include "operators/operator_api.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "control/change.h"

namespace baobabrun {
namespace {

constexpr char kAddKeyJson[] = R"({"operation_id": "op1", "key": "k1",
  "organisation": "hall-a", "hash":
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"})";

// The API with fake hooks whose results the test sets.
struct ApiFixture {
  ManualClock clock;
  FleetStatePtr state = std::make_shared<FleetState>();
  std::vector<VmId> behind;
  std::vector<Proposal> proposals;
  std::vector<ProposalDone> dones;
  std::vector<KeyId> withdrawn;
  std::vector<OperatorResponse> answers;
  OperatorApi api;

  ApiFixture()
      : api({HashHex("operators-key"), "salt"},
            {[this](Proposal proposal, Instant, ProposalDone done) {
               proposals.push_back(std::move(proposal));
               dones.push_back(std::move(done));
             },
             [this] { return state; }, [this](StateVersion) { return behind; },
             [this](const KeyId& key) { withdrawn.push_back(key); },
             [] { return std::string("[]"); },
             [] { return std::string("{}"); }}) {}

  static std::string HashHex(const char* key) {
    const auto hash = HashKey(key, "salt");
    return ToHex({reinterpret_cast<const char*>(hash.data()), hash.size()});
  }
  void Call(const char* method,
            const char* path,
            const std::string& body = "",
            const char* key = "operators-key") {
    api.Handle({method, path, key, body}, clock.Now(),
               [this](const OperatorResponse& it) { answers.push_back(it); });
  }
  void Tick(Duration step) {
    clock.Advance(step);
    api.Tick(clock.Now());
  }
  bool LastAnswerContains(const std::string& text) const {
    return !answers.empty() &&
           answers.back().json.find(text) != std::string::npos;
  }
};

ProposalResult Outcome(ProposalOutcome outcome, std::uint64_t version = 7) {
  ProposalResult result;
  result.outcome = outcome;
  result.version = StateVersion(version);
  return result;
}

// Returns the value of the string member `name` of a JSON text. The value must
// not contain escapes.
std::string Member(const std::string& json, const std::string& name) {
  const auto begin = json.find("\"" + name + "\":\"") + name.size() + 4;
  return json.substr(begin, json.find('"', begin) - begin);
}

}  // namespace

class OperatorApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(EveryRequestNeedsOperatorsKey);
  CPPUNIT_TEST(ErrorsOfInvalidBodiesNameTheField);
  CPPUNIT_TEST(EachOutcomeHasItsStatusAndResult);
  CPPUNIT_TEST(CommittedWaitsForConfirmations);
  CPPUNIT_TEST(TimeoutIsUnknownAndLateOutcomeIsDropped);
  CPPUNIT_TEST(PlanIsCommittedUnchanged);
  CPPUNIT_TEST(FirstPlanNeedsNoState);
  CPPUNIT_TEST(WithdrawalIsSentWithoutQuorum);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryRequestNeedsOperatorsKey() {
    for (const char* key : {"", "operators-keY", "x"}) {
      ApiFixture fixture;
      fixture.Call("GET", "/operator/keys", "", key);
      fixture.Call("POST", "/operator/keys", kAddKeyJson, key);
      CPPUNIT_ASSERT_EQUAL(401, fixture.answers[0].status);
      CPPUNIT_ASSERT_EQUAL(401, fixture.answers[1].status);
      CPPUNIT_ASSERT(fixture.proposals.empty());
    }
    OperatorApi closed({"", ""}, {});
    int status = 0;
    closed.Handle({"GET", "/operator/status", "x", ""}, Instant(),
                  [&status](const auto& it) { status = it.status; });
    CPPUNIT_ASSERT_EQUAL(401, status);
  }

  void ErrorsOfInvalidBodiesNameTheField() {
    struct Row {
      const char* path;
      const char* body;
      int status;
      const char* text;
    };
    const Row rows[] = {
        {"/operator/keys", "{", 400, "parse error"},
        {"/operator/keys", "{}", 400, "operation_id"},
        {"/operator/keys", R"({"operation_id": "", "key": "k"})", 400,
         "must not be empty"},
        {"/operator/keys/withdraw", R"({"operation_id": "1"})", 400, "/key"},
        {"/operator/keys/withdraw",
         R"({"operation_id": "1", "key": "k", "more": 1})", 400, "/more"},
        {"/operator/apply", R"({"operation_id": "1"})", 400, "plan is needed"},
        {"/operator/apply", R"({"operation_id": "1", "plan": "zz"})", 400,
         "isn't a plan"},
        {"/operator/apply", R"({"operation_id": "1", "declarations": {}})", 400,
         "dry_run"},
        {"/operator/apply",
         R"({"operation_id": "1", "dry_run": true,
             "declarations": {"contracts": [{}]}})",
         400, "contracts/0/organisation"},
        {"/operator/nothing", "{}", 404, "no such call"},
    };
    for (const auto& it : rows) {
      ApiFixture fixture;
      fixture.Call("POST", it.path, it.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, std::size_t{1},
                                   fixture.answers.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, it.status,
                                   fixture.answers[0].status);
      CPPUNIT_ASSERT_MESSAGE(fixture.answers[0].json,
                             fixture.LastAnswerContains(it.text));
      CPPUNIT_ASSERT(fixture.proposals.empty());
    }
  }

  void EachOutcomeHasItsStatusAndResult() {
    struct Row {
      ProposalOutcome outcome;
      int status;
      const char* result;
    };
    const Row rows[] = {
        {ProposalOutcome::kConflict, 409, "\"conflict\""},
        {ProposalOutcome::kInvalid, 422, "\"invalid\""},
        {ProposalOutcome::kNotAccepted, 503, "\"not_accepted\""},
        {ProposalOutcome::kUnknown, 504, "\"unknown\""},
        {ProposalOutcome::kOnceStarted, 504, "\"unknown\""},
    };
    for (const auto& it : rows) {
      ApiFixture fixture;
      fixture.Call("POST", "/operator/keys", kAddKeyJson);
      fixture.dones[0](Outcome(it.outcome));
      CPPUNIT_ASSERT_EQUAL(it.status, fixture.answers.at(0).status);
      CPPUNIT_ASSERT_MESSAGE(fixture.answers[0].json,
                             fixture.LastAnswerContains(it.result));
      fixture.Tick(seconds(60));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
    }
  }

  void CommittedWaitsForConfirmations() {
    ApiFixture fixture;
    fixture.behind = {VmId("vm-1"), VmId("vm-2")};
    fixture.Call("POST", "/operator/keys", kAddKeyJson);
    fixture.dones[0](Outcome(ProposalOutcome::kCommitted));
    fixture.Tick(milliseconds(50));
    CPPUNIT_ASSERT(fixture.answers.empty());
    fixture.behind = {VmId("vm-2")};
    fixture.Tick(milliseconds(1'900));
    CPPUNIT_ASSERT(fixture.answers.empty());
    fixture.Tick(milliseconds(200));
    CPPUNIT_ASSERT(fixture.LastAnswerContains(R"("unconfirmed":["vm-2"])"));
    CPPUNIT_ASSERT(fixture.LastAnswerContains(R"("version":7)"));

    fixture.behind.clear();
    fixture.Call("POST", "/operator/keys", kAddKeyJson);
    fixture.dones[1](Outcome(ProposalOutcome::kCommitted));
    fixture.Tick(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.answers.size());
    CPPUNIT_ASSERT(fixture.LastAnswerContains(R"("unconfirmed":[])"));
  }

  void TimeoutIsUnknownAndLateOutcomeIsDropped() {
    ApiFixture fixture;
    fixture.Call("POST", "/operator/keys", kAddKeyJson);
    fixture.Tick(milliseconds(4'900));
    CPPUNIT_ASSERT(fixture.answers.empty());
    fixture.Tick(milliseconds(200));
    CPPUNIT_ASSERT(fixture.LastAnswerContains("\"unknown\""));
    CPPUNIT_ASSERT(fixture.LastAnswerContains("\"op1\""));
    fixture.dones[0](Outcome(ProposalOutcome::kNotAccepted));
    fixture.Tick(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.answers.size());
  }

  void FirstPlanNeedsNoState() {
    ApiFixture fixture;
    fixture.state = nullptr;
    fixture.Call("POST", "/operator/apply",
                 R"({"operation_id": "op", "dry_run": true, "declarations":
                   {"contracts": [{"organisation": "hall-a"}]}})");
    CPPUNIT_ASSERT_MESSAGE(fixture.answers.at(0).json,
                           fixture.LastAnswerContains("+ contract hall-a"));
    CPPUNIT_ASSERT(fixture.LastAnswerContains(R"("version":0)"));
  }

  void PlanIsCommittedUnchanged() {
    ApiFixture fixture;
    fixture.Call("POST", "/operator/apply",
                 R"({"operation_id": "op", "dry_run": true, "declarations":
                   {"contracts": [{"organisation": "hall-a"}]}})");
    CPPUNIT_ASSERT(fixture.LastAnswerContains("+ contract hall-a"));
    CPPUNIT_ASSERT(fixture.proposals.empty());
    const auto plan = Member(fixture.answers[0].json, "plan");
    const auto commit = R"({"operation_id": "op", "expected_version": 3,
                           "plan": ")" +
                        plan + "\"}";
    fixture.Call("POST", "/operator/apply", commit);
    const auto& proposal = std::get<ChangeProposal>(fixture.proposals.at(0));
    CPPUNIT_ASSERT(proposal.expected == StateVersion(3));
    CPPUNIT_ASSERT_EQUAL(std::string("+ contract hall-a"),
                         Describe(proposal.changes.at(0)));
    fixture.dones[0](Outcome(ProposalOutcome::kConflict, 4));
    CPPUNIT_ASSERT(fixture.LastAnswerContains(R"("expected_version":3)"));
    CPPUNIT_ASSERT(fixture.LastAnswerContains(R"("version":4)"));
  }

  void WithdrawalIsSentWithoutQuorum() {
    ApiFixture fixture;
    auto state = std::make_shared<FleetState>();
    state->declarations.keys = {{KeyId("k1"), OrganisationId("a"), {}, false}};
    fixture.state = state;
    fixture.Call("POST", "/operator/keys/withdraw",
                 R"({"operation_id": "1", "key": "k1"})");
    fixture.Call("POST", "/operator/keys/withdraw",
                 R"({"operation_id": "2", "key": "unknown"})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.withdrawn.size());
    auto refused = Outcome(ProposalOutcome::kNotAccepted);
    refused.message = "no leader";
    fixture.dones[0](refused);
    CPPUNIT_ASSERT(fixture.LastAnswerContains("not_accepted"));
    CPPUNIT_ASSERT(fixture.LastAnswerContains("no leader; this VM"));
    CPPUNIT_ASSERT(
        fixture.LastAnswerContains("it reaches refuse the key already"));
    fixture.dones[1](Outcome(ProposalOutcome::kNotAccepted));
    CPPUNIT_ASSERT(!fixture.LastAnswerContains("refuse the key already"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

}  // namespace baobabrun
