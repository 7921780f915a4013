// Tests of the dispatcher: placement, queueing and results of requests.
#include <cppunit/extensions/HelperMacros.h>

#include "placement/dispatcher_fixture.h"

namespace baobabrun {
namespace {

constexpr std::int32_t kBlockTokens = 1000;

// Returns a request with a prompt of 100,000 tokens.
std::shared_ptr<Request> LongRequest(DispatcherFixture& it, std::uint64_t id) {
  auto call = it.MakeRequest(id);
  call->block_tokens = kBlockTokens;
  call->prompt_tokens = 100'000;
  call->caller.call.prompt = std::make_shared<const std::string>(
      call->prompt_tokens * kBytesPerToken, 'x');
  return call;
}

// Returns the cache events that an engine publishes after it ran `call`.
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

Announcement ServiceAnnouncement(DispatcherFixture& it,
                                 const char* id,
                                 std::uint64_t incarnation) {
  auto out = it.EngineAnnouncement(id, incarnation);
  out.kind = EndpointKind::kService;
  out.service = "billing";
  out.models.clear();
  return out;
}

}  // namespace

class DispatcherTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatcherTest);
  CPPUNIT_TEST(PrefersEndpointInOwnZone);
  CPPUNIT_TEST(RunsOnlyOnRequestedWeights);
  CPPUNIT_TEST(FullEndpointQueuesRequestsInOrder);
  CPPUNIT_TEST(OrganisationsShareEndpointFairly);
  CPPUNIT_TEST(FullQueueRefusesOrganisationAboveItsShare);
  CPPUNIT_TEST(RequestWithoutEndpointIsRefused);
  CPPUNIT_TEST(RequestWaitsForFirstEndpoint);
  CPPUNIT_TEST(RetiredAndLeavingEndpointsGetNoNewRequests);
  CPPUNIT_TEST(ExpiredEndpointGetsNoNewRequests);
  CPPUNIT_TEST(AnnouncementOfOldIncarnationIsIgnored);
  CPPUNIT_TEST(AnnouncementOfAnotherServiceTakesNoEndpoint);
  CPPUNIT_TEST(EndpointTakesItsIdBackFromAnotherWriter);
  CPPUNIT_TEST(RunningRequestIsRefusedAtDeadline);
  CPPUNIT_TEST(UnreachableDeadlineIsRefusedAtOnce);
  CPPUNIT_TEST(CachedPrefixIsPreferredUntilWeightsAreUnloaded);
  CPPUNIT_TEST(RequestAbandonedInQueueIsNotRun);
  CPPUNIT_TEST(RequestAbandonedWhileRunningIsCancelled);
  CPPUNIT_TEST(RestartOfEndpointCancelsItsAttempts);
  CPPUNIT_TEST(RetryBudgetLimitsRetries);
  CPPUNIT_TEST(DrainCompletesSubmittedRequests);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PrefersEndpointInOwnZone() {
    DispatcherFixture it;
    auto other = it.EngineAnnouncement("e1");
    other.zone = ZoneId("yaba");
    it.Announce(other);
    it.Announce(it.EngineAnnouncement("e2"));
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT_EQUAL(EndpointId("e2"), it.dispatches.at(0).endpoint);
  }

  void RunsOnlyOnRequestedWeights() {
    DispatcherFixture it;
    auto old = it.EngineAnnouncement("e1");
    old.models[0].weights = "v0";
    it.Announce(old);
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
    it.Announce(it.EngineAnnouncement("e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void FullEndpointQueuesRequestsInOrder() {
    DispatcherOptions options;
    options.overcommit = 0;
    DispatcherFixture it(options);
    it.Announce(it.EngineAnnouncement("e1"));
    for (std::uint64_t n = 1; n <= 6; ++n) {
      it.Submit(it.MakeRequest(n));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, it.dispatches.size());
    it.EndAttempt(it.dispatches[2].attempt, AttemptOutcome::kComplete);
    CPPUNIT_ASSERT_EQUAL(RequestId(5), it.dispatches.at(4).request->caller.id);
  }

  // Two organisations of equal weight share an engine, although one of them
  // sent enough requests for the whole engine first.
  void OrganisationsShareEndpointFairly() {
    DispatcherOptions options;
    options.overcommit = 0;
    options.queue_quantum = 100;
    DispatcherFixture it(options);
    it.Announce(it.EngineAnnouncement("e1"));
    for (std::uint64_t n = 1; n <= 40; ++n) {
      auto call = it.MakeRequest(n);
      call->organisation = OrganisationId(n <= 30 ? "greedy" : "hall-b");
      it.Submit(call);
    }
    int other = 0;
    for (std::size_t n = 0; n < 20; ++n) {
      it.EndAttempt(it.dispatches.at(n).attempt, AttemptOutcome::kComplete);
      const auto& next = it.dispatches.back().request->organisation;
      other += next == OrganisationId("hall-b") ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(10, other);
  }

  void FullQueueRefusesOrganisationAboveItsShare() {
    DispatcherOptions options;
    options.overcommit = 0;
    options.max_queued = 3;
    DispatcherFixture it(options);
    it.Announce(it.EngineAnnouncement("e1"));
    for (std::uint64_t n = 1; n <= 8; ++n) {
      auto call = it.MakeRequest(n);
      call->organisation = OrganisationId(n <= 7 ? "greedy" : "hall-b");
      it.Submit(call);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.results.size());
    CPPUNIT_ASSERT_EQUAL(RequestId(7), it.results[0].request);
    CPPUNIT_ASSERT(it.results[0].refusal->reason == RefusalReason::kQueueFull);
    CPPUNIT_ASSERT(it.results[0].refusal->not_run);
  }

  void RequestWithoutEndpointIsRefused() {
    DispatcherFixture it;
    it.Submit(it.MakeRequest(1));
    it.AdvanceClock(seconds(2));
    CPPUNIT_ASSERT(it.results.at(0).refusal->reason ==
                   RefusalReason::kNoEndpoint);
    CPPUNIT_ASSERT(it.results[0].refusal->not_run);
  }

  void RequestWaitsForFirstEndpoint() {
    DispatcherFixture it;
    it.Submit(it.MakeRequest(1));
    it.AdvanceClock(seconds(1));
    it.Announce(it.EngineAnnouncement("e1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void RetiredAndLeavingEndpointsGetNoNewRequests() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    it.Announce(it.EngineAnnouncement("e2"));
    it.dispatcher->SetRetired({EndpointId("e1"), EndpointId("e3")},
                              it.clock.Now());
    it.Announce(it.EngineAnnouncement("e3"));
    auto leaving = it.EngineAnnouncement("e2");
    leaving.leaving = true;
    it.Announce(leaving);
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
    // An endpoint that restarts after its retirement is still retired.
    it.Announce(it.EngineAnnouncement("e1", 2));
    CPPUNIT_ASSERT(it.dispatches.empty());
    it.dispatcher->SetRetired({EndpointId("e3")}, it.clock.Now());
    it.Collect();
    CPPUNIT_ASSERT_EQUAL(EndpointId("e1"), it.dispatches.at(0).endpoint);
  }

  void ExpiredEndpointGetsNoNewRequests() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    CPPUNIT_ASSERT(it.dispatcher->NextEvent() == it.clock.Now() + seconds(3));
    it.AdvanceClock(seconds(3));
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT(it.dispatches.empty());
  }

  void AnnouncementOfOldIncarnationIsIgnored() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1", 2));
    auto stale = it.EngineAnnouncement("e1", 1);
    stale.models[0].weights = "v0";
    it.Announce(stale);
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT_EQUAL(Incarnation(2), it.dispatches.at(0).incarnation);
  }

  // Guards against announcements of another writer under a sound endpoint's id.
  void AnnouncementOfAnotherServiceTakesNoEndpoint() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    for (const std::uint64_t incarnation : {1, 2, 9'999}) {
      it.Announce(ServiceAnnouncement(it, "e1", incarnation));
      it.dispatches.clear();
      it.Submit(it.MakeRequest(incarnation));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
    }
    CPPUNIT_ASSERT(it.cancels.empty());
  }

  // The other writer's announcement came first.
  void EndpointTakesItsIdBackFromAnotherWriter() {
    DispatcherFixture it;
    it.Announce(ServiceAnnouncement(it, "e1", 9'999));
    for (int n = 0; n < 4; ++n) {
      it.Announce(it.EngineAnnouncement("e1"));
      it.AdvanceClock(seconds(1));
    }
    it.Announce(it.EngineAnnouncement("e1"));
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void RunningRequestIsRefusedAtDeadline() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    auto call = it.MakeRequest(1);
    call->caller.deadline = it.clock.Now() + seconds(1);
    it.Submit(call);
    it.AdvanceClock(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.EndAttempt(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT(it.results.at(0).refusal->reason ==
                   RefusalReason::kDeadline);
    CPPUNIT_ASSERT(!it.results[0].refusal->not_run);
  }

  // The fastest engine needs one second for 100,000 tokens, unless most of them
  // are in its cache.
  void UnreachableDeadlineIsRefusedAtOnce() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    auto call = LongRequest(it, 1);
    call->caller.deadline = it.clock.Now() + milliseconds(900);
    it.Submit(call);
    CPPUNIT_ASSERT(it.results.at(0).refusal->reason ==
                   RefusalReason::kDeadline);
    CPPUNIT_ASSERT(it.results[0].refusal->not_run);
    auto engine = it.EngineAnnouncement("e1");
    engine.events = StoreEvents(*call);
    it.Announce(engine);
    it.Submit(call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatches.size());
  }

  void CachedPrefixIsPreferredUntilWeightsAreUnloaded() {
    DispatcherFixture it;
    auto call = LongRequest(it, 1);
    auto holder = it.EngineAnnouncement("e1");
    holder.zone = ZoneId("yaba");
    holder.events = StoreEvents(*call);
    it.Announce(holder);
    it.Announce(it.EngineAnnouncement("e2"));
    it.Submit(call);
    CPPUNIT_ASSERT_EQUAL(EndpointId("e1"), it.dispatches.at(0).endpoint);
    it.EndAttempt(it.dispatches[0].attempt, AttemptOutcome::kComplete);
    // Weights that are loaded again under the same name have an empty cache.
    holder.events = {};
    const auto models = std::exchange(holder.models, {});
    it.Announce(holder);
    holder.models = models;
    it.Announce(holder);
    it.Submit(call);
    CPPUNIT_ASSERT_EQUAL(EndpointId("e2"), it.dispatches.at(1).endpoint);
  }

  void RequestAbandonedInQueueIsNotRun() {
    DispatcherFixture it;
    it.Submit(it.MakeRequest(1));
    it.dispatcher->Abandon(RequestId(1), it.clock.Now(),
                           RefusalReason::kKeyWithdrawn);
    it.Announce(it.EngineAnnouncement("e1"));
    CPPUNIT_ASSERT(it.dispatches.empty());
    CPPUNIT_ASSERT(it.results.at(0).refusal->not_run);
    CPPUNIT_ASSERT(it.results[0].refusal->reason ==
                   RefusalReason::kKeyWithdrawn);
  }

  void RequestAbandonedWhileRunningIsCancelled() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    it.Submit(it.MakeRequest(1));
    it.dispatcher->Abandon(RequestId(1), it.clock.Now());
    it.dispatcher->Abandon(RequestId(1), it.clock.Now());
    it.Collect();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.EndAttempt(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT(!it.results.at(0).refusal->not_run);
    CPPUNIT_ASSERT_EQUAL(0, it.dispatcher->Endpoints()[0].running);
  }

  void RestartOfEndpointCancelsItsAttempts() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    it.Submit(it.MakeRequest(1));
    it.Announce(it.EngineAnnouncement("e1", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.EndAttempt(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT_EQUAL(Incarnation(2), it.dispatches.at(1).incarnation);
    CPPUNIT_ASSERT(it.dispatches[1].fresh_connection);
  }

  void RetryBudgetLimitsRetries() {
    DispatcherOptions options;
    options.retries = {100, 2000};
    DispatcherFixture it(options);
    for (const auto* name : {"e1", "e2", "e3"}) {
      it.Announce(it.EngineAnnouncement(name));
    }
    for (std::uint64_t n = 1; n <= 10; ++n) {
      it.Submit(it.MakeRequest(n));
      it.EndAttempt(it.dispatches.back().attempt, AttemptOutcome::kFailed, "",
                    500);
      it.EndAttempt(it.dispatches.back().attempt, AttemptOutcome::kComplete);
    }
    // The initial budget allows two retries, and ten requests earn less than
    // one more.
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, it.dispatches.size());
  }

  void DrainCompletesSubmittedRequests() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    it.Submit(it.MakeRequest(1));
    it.dispatcher->BeginDrain();
    it.Submit(it.MakeRequest(2));
    CPPUNIT_ASSERT(it.results.at(0).refusal->reason ==
                   RefusalReason::kShuttingDown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.dispatcher->open_requests());
    it.EndAttempt(it.dispatches.at(0).attempt, AttemptOutcome::kComplete,
                  "whole");
    CPPUNIT_ASSERT(!it.results.at(1).refusal);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);

}  // namespace baobabrun
