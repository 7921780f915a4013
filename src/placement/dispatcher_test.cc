// Tests of the dispatcher: placing, queueing, ends of requests.
#include <cppunit/extensions/HelperMacros.h>

#include "placement/dispatcher_fixture.h"

namespace baobabrun {
namespace {

constexpr std::int32_t kBlockTokens = 1000;

// A call with a prompt of 100,000 tokens.
std::shared_ptr<Request> LongCall(DispatcherFixture& it, std::uint64_t id) {
  auto call = it.Call(id);
  call->block_tokens = kBlockTokens;
  call->prompt_tokens = 100'000;
  call->caller.call.prompt = std::make_shared<const std::string>(
      call->prompt_tokens * kBytesPerToken, 'x');
  return call;
}

// An engine's events after it ran `call`.
CacheEvents StoreEvents(const Request& call) {
  const auto seed = BlockSeed(call.organisation, call.caller.call.model,
                              call.adapter, call.weights);
  CacheEvents out{1, {}};
  for (const auto hash : HashBlocks(*call.caller.call.prompt, seed,
                                    kBlockTokens * kBytesPerToken)) {
    out.items.push_back({CacheEvent::Op::kStore, hash});
  }
  return out;
}

}  // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(PrefersOwnZone);
  CPPUNIT_TEST(RunsOnlyOnDeclaredWeights);
  CPPUNIT_TEST(QueuesInOrderWhenFull);
  CPPUNIT_TEST(OneOrganisationDoesNotCrowdOutAnother);
  CPPUNIT_TEST(FullQueueGivesUpTheGreediest);
  CPPUNIT_TEST(RefusesWithoutEndpoint);
  CPPUNIT_TEST(WaitsForAnEndpointAfterAStart);
  CPPUNIT_TEST(RetiredAndLeavingGetNoNewWork);
  CPPUNIT_TEST(ExpiredGetsNoNewWork);
  CPPUNIT_TEST(StaleIncarnationIsIgnored);
  CPPUNIT_TEST(RefusesAtTheDeadline);
  CPPUNIT_TEST(RefusesAtOnceWhatCannotBeInTime);
  CPPUNIT_TEST(CachedPrefixDecidesAndUnloadedWeightsForgetIt);
  CPPUNIT_TEST(AbandonedWhileQueuedWasNotRun);
  CPPUNIT_TEST(AbandonedWhileRunningIsCancelled);
  CPPUNIT_TEST(RestartedEndpointLosesItsTries);
  CPPUNIT_TEST(RetryBudgetEnds);
  CPPUNIT_TEST(DrainFinishesWhatItHas);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrefersOwnZone() {
    DispatcherFixture it;
    auto other = it.Engine("e1");
    other.zone = ZoneId("yaba");
    it.Announce(other);
    it.Announce(it.Engine("e2"));
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT_EQUAL(EndpointId("e2"), it.dispatches.at(0).endpoint);
  }

  void RunsOnlyOnDeclaredWeights() {
    DispatcherFixture it;
    auto old = it.Engine("e1");
    old.models[0].weights = "v0";
    it.Announce(old);
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
    it.Announce(it.Engine("e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void QueuesInOrderWhenFull() {
    DispatcherOptions options;
    options.overcommit = 0;
    DispatcherFixture it(options);
    it.Announce(it.Engine("e1"));
    for (std::uint64_t n = 1; n <= 6; ++n) {
      it.Submit(it.Call(n));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, it.dispatches.size());
    it.End(it.dispatches[2].attempt, AttemptOutcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(RequestId(5), it.dispatches.at(4).request->caller.id);
  }

  // Two organisations of equal weight share an engine, although one of them
  // asked for all of it before.
  void OneOrganisationDoesNotCrowdOutAnother() {
    DispatcherOptions options;
    options.overcommit = 0;
    options.queue_quantum = 100;
    DispatcherFixture it(options);
    it.Announce(it.Engine("e1"));
    for (std::uint64_t n = 1; n <= 40; ++n) {
      auto call = it.Call(n);
      call->organisation = OrganisationId(n <= 30 ? "greedy" : "hall-b");
      it.Submit(call);
    }
    int other = 0;
    for (std::size_t n = 0; n < 20; ++n) {
      it.End(it.dispatches.at(n).attempt, AttemptOutcome::kComplete);
      const auto& next = it.dispatches.back().request->organisation;
      other += next == OrganisationId("hall-b") ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(10, other);
  }

  void FullQueueGivesUpTheGreediest() {
    DispatcherOptions options;
    options.overcommit = 0;
    options.most_queued = 3;
    DispatcherFixture it(options);
    it.Announce(it.Engine("e1"));
    for (std::uint64_t n = 1; n <= 8; ++n) {
      auto call = it.Call(n);
      call->organisation = OrganisationId(n <= 7 ? "greedy" : "hall-b");
      it.Submit(call);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.overs.size());
    CPPUNIT_ASSERT_EQUAL(RequestId(7), it.overs[0].request);
    CPPUNIT_ASSERT(it.overs[0].refusal->reason == RefusalReason::kQueueFull);
    CPPUNIT_ASSERT(it.overs[0].refusal->not_run);
  }

  void RefusesWithoutEndpoint() {
    DispatcherFixture it;
    it.Submit(it.Call(1));
    it.Step(seconds(2));
    CPPUNIT_ASSERT(it.overs.at(0).refusal->reason ==
                   RefusalReason::kNoEndpoint);
    CPPUNIT_ASSERT(it.overs[0].refusal->not_run);
  }

  void WaitsForAnEndpointAfterAStart() {
    DispatcherFixture it;
    it.Submit(it.Call(1));
    it.Step(seconds(1));
    it.Announce(it.Engine("e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void RetiredAndLeavingGetNoNewWork() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    it.Announce(it.Engine("e2"));
    it.dispatcher->SetRetired({EndpointId("e1"), EndpointId("e3")},
                              it.clock.Now());
    it.Announce(it.Engine("e3"));
    auto leaving = it.Engine("e2");
    leaving.leaving = true;
    it.Announce(leaving);
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
    // An endpoint that comes back after its retirement is still retired.
    it.Announce(it.Engine("e1", 2));
    CPPUNIT_ASSERT(it.dispatches.empty());
    it.dispatcher->SetRetired({EndpointId("e3")}, it.clock.Now());
    it.Collect();
    CPPUNIT_ASSERT_EQUAL(EndpointId("e1"), it.dispatches.at(0).endpoint);
  }

  void ExpiredGetsNoNewWork() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    CPPUNIT_ASSERT(it.dispatcher->NextEvent() == it.clock.Now() + seconds(3));
    it.Step(seconds(3));
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
  }

  void StaleIncarnationIsIgnored() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1", 2));
    auto stale = it.Engine("e1", 1);
    stale.models[0].weights = "v0";
    it.Announce(stale);
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT_EQUAL(Incarnation(2), it.dispatches.at(0).incarnation);
  }

  void RefusesAtTheDeadline() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    auto call = it.Call(1);
    call->caller.deadline = it.clock.Now() + seconds(1);
    it.Submit(call);
    it.Step(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.End(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT(it.overs.at(0).refusal->reason == RefusalReason::kDeadline);
    CPPUNIT_ASSERT(!it.overs[0].refusal->not_run);
  }

  // The fastest engine needs a second for 100,000 tokens, unless it holds most
  // of them.
  void RefusesAtOnceWhatCannotBeInTime() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    auto call = LongCall(it, 1);
    call->caller.deadline = it.clock.Now() + milliseconds(900);
    it.Submit(call);
    CPPUNIT_ASSERT(it.overs.at(0).refusal->reason == RefusalReason::kDeadline);
    CPPUNIT_ASSERT(it.overs[0].refusal->not_run);
    auto engine = it.Engine("e1");
    engine.events = StoreEvents(*call);
    it.Announce(engine);
    it.Submit(call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void CachedPrefixDecidesAndUnloadedWeightsForgetIt() {
    DispatcherFixture it;
    auto call = LongCall(it, 1);
    auto holder = it.Engine("e1");
    holder.zone = ZoneId("yaba");
    holder.events = StoreEvents(*call);
    it.Announce(holder);
    it.Announce(it.Engine("e2"));
    it.Submit(call);
    CPPUNIT_ASSERT_EQUAL(EndpointId("e1"), it.dispatches.at(0).endpoint);
    it.End(it.dispatches[0].attempt, AttemptOutcome::kComplete);
    // Loaded again under the same name, the weights come without cache.
    holder.events = {};
    const auto models = std::exchange(holder.models, {});
    it.Announce(holder);
    holder.models = models;
    it.Announce(holder);
    it.Submit(call);
    CPPUNIT_ASSERT_EQUAL(EndpointId("e2"), it.dispatches.at(1).endpoint);
  }

  void AbandonedWhileQueuedWasNotRun() {
    DispatcherFixture it;
    it.Submit(it.Call(1));
    it.dispatcher->Abandon(RequestId(1), it.clock.Now(),
                           RefusalReason::kKeyWithdrawn);
    it.Announce(it.Engine("e1"));
    CPPUNIT_ASSERT(it.dispatches.empty());
    CPPUNIT_ASSERT(it.overs.at(0).refusal->not_run);
    CPPUNIT_ASSERT(it.overs[0].refusal->reason == RefusalReason::kKeyWithdrawn);
  }

  void AbandonedWhileRunningIsCancelled() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    it.Submit(it.Call(1));
    it.dispatcher->Abandon(RequestId(1), it.clock.Now());
    it.dispatcher->Abandon(RequestId(1), it.clock.Now());
    it.Collect();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.End(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT(!it.overs.at(0).refusal->not_run);
    CPPUNIT_ASSERT_EQUAL(0, it.dispatcher->Endpoints()[0].running);
  }

  void RestartedEndpointLosesItsTries() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    it.Submit(it.Call(1));
    it.Announce(it.Engine("e1", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.End(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT_EQUAL(Incarnation(2), it.dispatches.at(1).incarnation);
    CPPUNIT_ASSERT(it.dispatches[1].fresh_connection);
  }

  void RetryBudgetEnds() {
    DispatcherOptions options;
    options.retries = {100, 2000};
    DispatcherFixture it(options);
    for (const auto* name : {"e1", "e2", "e3"}) {
      it.Announce(it.Engine(name));
    }
    for (std::uint64_t n = 1; n <= 10; ++n) {
      it.Submit(it.Call(n));
      it.End(it.dispatches.back().attempt, AttemptOutcome::kFailed, "", 500);
      it.End(it.dispatches.back().attempt, AttemptOutcome::kComplete);
    }
    // Two retries were saved, and ten requests earn less than one more.
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, it.dispatches.size());
  }

  void DrainFinishesWhatItHas() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    it.Submit(it.Call(1));
    it.dispatcher->BeginDrain();
    it.Submit(it.Call(2));
    CPPUNIT_ASSERT(it.overs.at(0).refusal->reason ==
                   RefusalReason::kShuttingDown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatcher->open_requests());
    it.End(it.dispatches.at(0).attempt, AttemptOutcome::kComplete, "whole");
    CPPUNIT_ASSERT(!it.overs.at(1).refusal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace baobabrun
