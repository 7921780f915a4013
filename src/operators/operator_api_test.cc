// Contract tests of the operators' API against fake hooks.
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

// The API with hooks whose answers the test decides.
struct Bench {
  ManualClock clock;
  FleetStatePtr state = std::make_shared<FleetState>();
  std::vector<VmId> behind;
  std::vector<Proposal> proposals;
  std::vector<ProposalDone> dones;
  std::vector<KeyId> withdrawn;
  std::vector<OperatorResponse> answers;
  OperatorApi api;

  Bench()
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
  bool Says(const std::string& text) const {
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

// The value of a JSON text's member `name`, a string without escapes.
std::string Member(const std::string& json, const std::string& name) {
  const auto begin = json.find("\"" + name + "\":\"") + name.size() + 4;
  return json.substr(begin, json.find('"', begin) - begin);
}

}  // namespace

class OperatorApiTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(EveryCallNeedsTheKey);
  CPPUNIT_TEST(BadBodiesNameTheField);
  CPPUNIT_TEST(OutcomesAreAnsweredHonestly);
  CPPUNIT_TEST(CommittedWaitsForConfirmations);
  CPPUNIT_TEST(SilenceIsUnknownAndLateAnswersAreDropped);
  CPPUNIT_TEST(PlanIsCommittedAsShown);
  CPPUNIT_TEST(FirstPlanNeedsNoState);
  CPPUNIT_TEST(WithdrawalSpreadsWithoutQuorum);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EveryCallNeedsTheKey() {
    for (const char* key : {"", "operators-keY", "x"}) {
      Bench bench;
      bench.Call("GET", "/operator/keys", "", key);
      bench.Call("POST", "/operator/keys", kAddKeyJson, key);
      CPPUNIT_ASSERT_EQUAL(401, bench.answers[0].status);
      CPPUNIT_ASSERT_EQUAL(401, bench.answers[1].status);
      CPPUNIT_ASSERT(bench.proposals.empty());
    }
    OperatorApi closed({"", ""}, {});
    int status = 0;
    closed.Handle({"GET", "/operator/status", "x", ""}, Instant(),
                  [&status](const auto& it) { status = it.status; });
    CPPUNIT_ASSERT_EQUAL(401, status);
  }

  void BadBodiesNameTheField() {
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
      Bench bench;
      bench.Call("POST", it.path, it.body);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, std::size_t{1},
                                   bench.answers.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.body, it.status, bench.answers[0].status);
      CPPUNIT_ASSERT_MESSAGE(bench.answers[0].json, bench.Says(it.text));
      CPPUNIT_ASSERT(bench.proposals.empty());
    }
  }

  void OutcomesAreAnsweredHonestly() {
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
      Bench bench;
      bench.Call("POST", "/operator/keys", kAddKeyJson);
      bench.dones[0](Outcome(it.outcome));
      CPPUNIT_ASSERT_EQUAL(it.status, bench.answers.at(0).status);
      CPPUNIT_ASSERT_MESSAGE(bench.answers[0].json, bench.Says(it.result));
      bench.Tick(seconds(60));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.answers.size());
    }
  }

  void CommittedWaitsForConfirmations() {
    Bench bench;
    bench.behind = {VmId("vm-1"), VmId("vm-2")};
    bench.Call("POST", "/operator/keys", kAddKeyJson);
    bench.dones[0](Outcome(ProposalOutcome::kCommitted));
    bench.Tick(milliseconds(50));
    CPPUNIT_ASSERT(bench.answers.empty());
    bench.behind = {VmId("vm-2")};
    bench.Tick(milliseconds(1'900));
    CPPUNIT_ASSERT(bench.answers.empty());
    bench.Tick(milliseconds(200));
    CPPUNIT_ASSERT(bench.Says(R"("unconfirmed":["vm-2"])"));
    CPPUNIT_ASSERT(bench.Says(R"("version":7)"));

    bench.behind.clear();
    bench.Call("POST", "/operator/keys", kAddKeyJson);
    bench.dones[1](Outcome(ProposalOutcome::kCommitted));
    bench.Tick(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, bench.answers.size());
    CPPUNIT_ASSERT(bench.Says(R"("unconfirmed":[])"));
  }

  void SilenceIsUnknownAndLateAnswersAreDropped() {
    Bench bench;
    bench.Call("POST", "/operator/keys", kAddKeyJson);
    bench.Tick(milliseconds(4'900));
    CPPUNIT_ASSERT(bench.answers.empty());
    bench.Tick(milliseconds(200));
    CPPUNIT_ASSERT(bench.Says("\"unknown\""));
    CPPUNIT_ASSERT(bench.Says("\"op1\""));
    bench.dones[0](Outcome(ProposalOutcome::kNotAccepted));
    bench.Tick(seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.answers.size());
  }

  void FirstPlanNeedsNoState() {
    Bench bench;
    bench.state = nullptr;
    bench.Call("POST", "/operator/apply",
               R"({"operation_id": "op", "dry_run": true, "declarations":
                   {"contracts": [{"organisation": "hall-a"}]}})");
    CPPUNIT_ASSERT_MESSAGE(bench.answers.at(0).json,
                           bench.Says("+ contract hall-a"));
    CPPUNIT_ASSERT(bench.Says(R"("version":0)"));
  }

  void PlanIsCommittedAsShown() {
    Bench bench;
    bench.Call("POST", "/operator/apply",
               R"({"operation_id": "op", "dry_run": true, "declarations":
                   {"contracts": [{"organisation": "hall-a"}]}})");
    CPPUNIT_ASSERT(bench.Says("+ contract hall-a"));
    CPPUNIT_ASSERT(bench.proposals.empty());
    const auto plan = Member(bench.answers[0].json, "plan");
    const auto commit = R"({"operation_id": "op", "expected_version": 3,
                           "plan": ")" +
                        plan + "\"}";
    bench.Call("POST", "/operator/apply", commit);
    const auto& proposal = std::get<ChangeProposal>(bench.proposals.at(0));
    CPPUNIT_ASSERT(proposal.expected == StateVersion(3));
    CPPUNIT_ASSERT_EQUAL(std::string("+ contract hall-a"),
                         Describe(proposal.changes.at(0)));
    bench.dones[0](Outcome(ProposalOutcome::kConflict, 4));
    CPPUNIT_ASSERT(bench.Says(R"("expected_version":3)"));
    CPPUNIT_ASSERT(bench.Says(R"("version":4)"));
  }

  void WithdrawalSpreadsWithoutQuorum() {
    Bench bench;
    auto state = std::make_shared<FleetState>();
    state->declarations.keys = {{KeyId("k1"), OrganisationId("a"), {}, false}};
    bench.state = state;
    bench.Call("POST", "/operator/keys/withdraw",
               R"({"operation_id": "1", "key": "k1"})");
    bench.Call("POST", "/operator/keys/withdraw",
               R"({"operation_id": "2", "key": "unknown"})");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bench.withdrawn.size());
    bench.dones[0](Outcome(ProposalOutcome::kNotAccepted));
    CPPUNIT_ASSERT(bench.Says("not_accepted"));
    CPPUNIT_ASSERT(bench.Says("it reaches refuse the key already"));
    bench.dones[1](Outcome(ProposalOutcome::kNotAccepted));
    CPPUNIT_ASSERT(!bench.Says("refuse the key already"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

}  // namespace baobabrun
