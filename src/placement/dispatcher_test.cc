// Tests of the dispatcher: placing, queueing, ends of requests.
#include <cppunit/extensions/HelperMacros.h>

#include "placement/dispatcher_fixture.h"

namespace baobabrun {

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(PrefersOwnZone);
  CPPUNIT_TEST(RunsOnlyOnDeclaredWeights);
  CPPUNIT_TEST(QueuesInOrderWhenFull);
  CPPUNIT_TEST(RefusesWithoutEndpoint);
  CPPUNIT_TEST(WaitsForAnEndpointAfterAStart);
  CPPUNIT_TEST(RetiredAndLeavingGetNoNewWork);
  CPPUNIT_TEST(ExpiredGetsNoNewWork);
  CPPUNIT_TEST(StaleIncarnationIsIgnored);
  CPPUNIT_TEST(RefusesAtTheDeadline);
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
    it.dispatcher->SetRetired({EndpointId("e1")}, it.clock.Now());
    auto leaving = it.Engine("e2");
    leaving.leaving = true;
    it.Announce(leaving);
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
    // An endpoint that comes back after its retirement is still retired.
    it.Announce(it.Engine("e1", 2));
    CPPUNIT_ASSERT(it.dispatches.empty());
    it.dispatcher->SetRetired({}, it.clock.Now());
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
