// Tests that proposals are forwarded to the right replica and get the right
// outcome.
#include "control/proposal_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "control/memory_disk_test.h"
#include "control/proposal_server.h"

namespace baobabrun {
namespace {

constexpr Duration kRetry = milliseconds(100);
const VmId kA("a");
const VmId kB("b");

ProposalResponse Answer(const ProposalRequest& request,
                        ProposalOutcome outcome,
                        const VmId& leader = {}) {
  ProposalResponse response;
  response.request = request.request;
  response.attempt = request.attempt;
  response.result.outcome = outcome;
  response.leader = leader;
  return response;
}

SendProposal OnlySend(ProposalClient& client) {
  auto actions = client.TakeActions();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
  return std::get<SendProposal>(actions.front());
}

ProposalOutcome OnlyFinish(ProposalClient& client) {
  auto actions = client.TakeActions();
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
  return std::get<FinishProposal>(actions.front()).result.outcome;
}

}  // namespace

class ProposalClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProposalClientTest);
  CPPUNIT_TEST(RefusedAttemptGoesToTheNamedLeader);
  CPPUNIT_TEST(OutcomeAtTheDeadlineFollowsRefusals);
  CPPUNIT_TEST(UnresponsiveLeaderIsReplacedAfterRetryInterval);
  CPPUNIT_TEST(WithoutReplicasNothingIsAccepted);
  CPPUNIT_TEST(DuplicateOfRefusedAttemptIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RefusedAttemptGoesToTheNamedLeader() {
    ProposalClient client({kA, kB}, kRetry);
    client.Start(1, OnceEnd(), now_ + seconds(1), now_);
    const auto first = OnlySend(client);
    CPPUNIT_ASSERT(first.to == kA);
    client.Receive(kA, Answer(first.request, ProposalOutcome::kNotAccepted, kB),
                   now_);
    const auto second = OnlySend(client);
    CPPUNIT_ASSERT(second.to == kB);
    CPPUNIT_ASSERT(second.request.attempt != first.request.attempt);
    client.Receive(kB, Answer(second.request, ProposalOutcome::kCommitted),
                   now_);
    CPPUNIT_ASSERT(OnlyFinish(client) == ProposalOutcome::kCommitted);
    client.Start(2, OnceEnd(), now_ + seconds(1), now_);
    CPPUNIT_ASSERT(OnlySend(client).to == kB);
  }

  void OutcomeAtTheDeadlineFollowsRefusals() {
    struct Case {
      bool first_refused;
      bool second_refused;
      ProposalOutcome expected;
    };
    const Case cases[] = {{true, true, ProposalOutcome::kNotAccepted},
                          {false, true, ProposalOutcome::kUnknown},
                          {true, false, ProposalOutcome::kUnknown},
                          {false, false, ProposalOutcome::kUnknown}};
    for (const auto& it : cases) {
      ProposalClient client({kA, kB}, kRetry);
      client.Start(1, OnceEnd(), now_ + 2 * kRetry, now_);
      for (const bool refused : {it.first_refused, it.second_refused}) {
        const auto sent = OnlySend(client);
        if (refused) {
          client.Receive(sent.to,
                         Answer(sent.request, ProposalOutcome::kNotAccepted),
                         now_ + kRetry / 2);
        }
        client.Tick(now_ + kRetry * 3 / 2);
      }
      client.TakeActions();
      if (it.second_refused) {
        // A third attempt may have been sent; it is refused too.
        client.Receive(kA, Answer({1, 3, {}}, ProposalOutcome::kNotAccepted),
                       now_ + kRetry * 2 - milliseconds(1));
      }
      client.TakeActions();
      client.Tick(now_ + 2 * kRetry);
      CPPUNIT_ASSERT_EQUAL(std::string(NameOf(it.expected)),
                           std::string(NameOf(OnlyFinish(client))));
    }
  }

  void UnresponsiveLeaderIsReplacedAfterRetryInterval() {
    ProposalClient client({kA, kB}, kRetry);
    client.SetKnownReplicas(kB, {});
    client.Start(1, OnceEnd(), now_ + seconds(1), now_);
    CPPUNIT_ASSERT(OnlySend(client).to == kB);
    client.Tick(now_ + kRetry);
    CPPUNIT_ASSERT(OnlySend(client).to == kA);
  }

  void WithoutReplicasNothingIsAccepted() {
    ProposalClient client({}, kRetry);
    client.Start(1, OnceEnd(), now_ + seconds(1), now_);
    client.Stop();
    CPPUNIT_ASSERT(OnlyFinish(client) == ProposalOutcome::kNotAccepted);
  }

  // A duplicate of a message must not be accepted after the first copy was
  // refused.
  void DuplicateOfRefusedAttemptIsRefused() {
    MemoryDisk disk;
    ReplicaHostOptions options;
    options.replica.self = kA;
    options.initial_replicas = {kA};
    ReplicaHooks hooks;
    hooks.send = [](const ReplicaMessage&) {};
    hooks.applied = [](const LogEntry&, const Applied&) {};
    hooks.state = [](const FleetStatePtr&, const ChangeSet&) {};
    hooks.leadership = [](bool, Term) {};
    hooks.disk_failed = [](const Error&) {};
    auto host =
        ReplicaHost::Open(options, disk, hooks, std::mt19937_64(1), now_);
    CPPUNIT_ASSERT(host.ok());
    std::vector<ProposalOutcome> outcomes;
    ProposalServer server(
        [&outcomes](const VmId&, const ProposalResponse& response) {
          outcomes.push_back(response.result.outcome);
        });
    ProposalRequest request;
    request.request = 1;
    request.attempt = 1;
    server.Receive(*host.value(), kB, request, 0, now_);
    host.value()->Tick(now_ + seconds(9));
    CPPUNIT_ASSERT(host.value()->replica().IsLeader());
    const LogIndex last = host.value()->replica().log().last_index();
    server.Receive(*host.value(), kB, request, 0, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, outcomes.size());
    CPPUNIT_ASSERT(outcomes[1] == ProposalOutcome::kNotAccepted);
    CPPUNIT_ASSERT_EQUAL(last, host.value()->replica().log().last_index());
    // A new attempt is accepted.
    request.attempt = 2;
    server.Receive(*host.value(), kB, request, 0, now_);
    CPPUNIT_ASSERT_EQUAL(last + 1, host.value()->replica().log().last_index());
  }

 private:
  const Instant now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProposalClientTest);

}  // namespace baobabrun
