// Tests of the policy: cached prefixes, busy endpoints and slow endpoints.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "placement/dispatcher_fixture.h"

namespace baobabrun {
namespace {

constexpr std::int32_t kBlockTokens = 100;
constexpr std::size_t kBlocks = 10;

// Three engines and a request of ten blocks.
struct PolicyFixture {
  explicit PolicyFixture(std::uint64_t seed = 1)
      : policy({}, ZoneId("ikeja"), seed), table({}) {
    for (const auto* name : {"e1", "e2", "e3"}) {
      table.OnAnnouncement(fleet.EngineAnnouncement(name), now);
    }
    request = fleet.MakeRequest(1);
    request->block_tokens = kBlockTokens;
    request->prompt_tokens = kBlockTokens * kBlocks;
    for (std::size_t n = 0; n < kBlocks; ++n) {
      blocks.push_back(n + 1);
    }
  }

  EndpointIndex Choose() {
    const PlacementQuery query{request.get(), blocks, depths, now};
    return policy.Choose(query, std::vector<EndpointIndex>{0, 1, 2}, table);
  }

  void Observe(EndpointIndex slot, Duration observed) {
    policy.OnFirstToken(table.at(slot), milliseconds(100), observed, now);
  }

  DispatcherFixture fleet;
  Policy policy;
  EndpointTable table;
  std::shared_ptr<Request> request;
  std::vector<BlockHash> blocks;
  std::vector<std::uint16_t> depths = {0, 0, 0};
  Instant now{seconds(1000)};
};

}  // namespace

class PolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PolicyTest);
  CPPUNIT_TEST(CachedPrefixIsPreferredUntilQueueCostsMore);
  CPPUNIT_TEST(VmsPlaceNewPrefixAtSameEndpoint);
  CPPUNIT_TEST(SlowEndpointIsAvoidedThenProbed);
  CPPUNIT_TEST(NoEndpointIsSlowIfAllAre);
  CPPUNIT_TEST(OneLateFirstTokenIsNotSlowness);
  CPPUNIT_TEST(OverdueRequestMovesFromSlowEndpoint);
  CPPUNIT_TEST(UnstreamedAnswersDoNotCountAsSlow);
  CPPUNIT_TEST(LoadReportedByPeerIsCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CachedPrefixIsPreferredUntilQueueCostsMore() {
    PolicyFixture it;
    it.depths = {0, 9, 0};
    for (int n = 0; n < 10; ++n) {
      CPPUNIT_ASSERT_EQUAL(EndpointIndex{1}, it.Choose());
    }
    it.table.AddWork(1, 20'000);  // takes two seconds of prefill
    CPPUNIT_ASSERT(it.Choose() != 1);
  }

  void VmsPlaceNewPrefixAtSameEndpoint() {
    PolicyFixture one;
    PolicyFixture other(2);
    std::map<EndpointIndex, int> chosen;
    for (BlockHash hash = 1; hash <= 60; ++hash) {
      one.blocks[0] = hash;
      other.blocks[0] = hash;
      const auto slot = one.Choose();
      CPPUNIT_ASSERT_EQUAL(slot, other.Choose());
      chosen[slot] += 1;
    }
    // Different prefixes are spread over all endpoints.
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
  }

  void SlowEndpointIsAvoidedThenProbed() {
    PolicyFixture it;
    it.depths = {9, 0, 0};
    for (int n = 0; n < 5; ++n) {
      it.Observe(0, seconds(1));
    }
    CPPUNIT_ASSERT(it.Choose() != 0);
    it.now += seconds(60);
    CPPUNIT_ASSERT_EQUAL(EndpointIndex{0}, it.Choose());
    it.table.AddWork(0, 0);
    CPPUNIT_ASSERT(it.Choose() != 0);
    it.table.RemoveWork(0);
    it.Observe(0, milliseconds(100));
    it.table.AddWork(0, 0);
    CPPUNIT_ASSERT_EQUAL(EndpointIndex{0}, it.Choose());
  }

  void NoEndpointIsSlowIfAllAre() {
    PolicyFixture it;
    it.depths = {9, 0, 0};
    for (EndpointIndex slot = 0; slot < 3; ++slot) {
      for (int n = 0; n < 20; ++n) {
        it.Observe(slot, seconds(10));
      }
    }
    // Waiting for this work takes less time than computing the prefix again.
    it.table.AddWork(0, 5000);
    CPPUNIT_ASSERT_EQUAL(EndpointIndex{0}, it.Choose());
  }

  void OneLateFirstTokenIsNotSlowness() {
    PolicyFixture it;
    it.depths = {9, 0, 0};
    it.Observe(0, seconds(60));
    CPPUNIT_ASSERT_EQUAL(EndpointIndex{0}, it.Choose());
  }

  // Two requests without a first byte show that an engine is slow. The retry
  // budget allows moving one of them. The other one continues at the engine.
  void OverdueRequestMovesFromSlowEndpoint() {
    DispatcherOptions options;
    options.retries = {0, 1000};  // one retry
    DispatcherFixture it(options);
    it.Announce(it.EngineAnnouncement("e1"));
    it.Submit(it.MakeRequest(1));
    it.Submit(it.MakeRequest(2));
    it.Announce(it.EngineAnnouncement("e2"));
    it.Announce(it.EngineAnnouncement("e3"));
    for (int n = 0; n < 25; ++n) {
      it.AdvanceClock(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.EndAttempt(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.dispatches.size());
    CPPUNIT_ASSERT(it.dispatches[2].endpoint != EndpointId("e1"));
    CPPUNIT_ASSERT(it.results.empty());
  }

  // An answer that is not streamed arrives late even from an engine of ordinary
  // speed.
  void UnstreamedAnswersDoNotCountAsSlow() {
    DispatcherFixture it;
    it.Announce(it.EngineAnnouncement("e1"));
    for (std::uint64_t n = 1; n <= 2; ++n) {
      auto call = it.MakeRequest(n);
      call->caller.call.stream = false;
      it.Submit(call);
    }
    it.Announce(it.EngineAnnouncement("e2"));
    it.Announce(it.EngineAnnouncement("e3"));
    for (int n = 0; n < 25; ++n) {
      it.AdvanceClock(milliseconds(100));
    }
    CPPUNIT_ASSERT(it.cancels.empty());
  }

  void LoadReportedByPeerIsCounted() {
    DispatcherFixture peer;
    DispatcherFixture it;
    for (const auto* name : {"e1", "e2"}) {
      peer.Announce(peer.EngineAnnouncement(name));
      it.Announce(it.EngineAnnouncement(name));
    }
    peer.Submit(peer.MakeRequest(1));
    AttemptReport begun;
    begun.kind = AttemptReport::Kind::kFirstByte;
    begun.attempt = peer.dispatches[0].attempt;
    peer.Report(begun);
    peer.AdvanceClock(milliseconds(1));
    for (const auto& message : peer.messages) {
      it.dispatcher->Receive(VmId("peer"), message, it.clock.Now());
    }
    it.dispatcher->Receive(VmId("peer"), "no report", it.clock.Now());
    it.Submit(it.MakeRequest(1));
    CPPUNIT_ASSERT(peer.dispatches.at(0).endpoint !=
                   it.dispatches.at(0).endpoint);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);

}  // namespace baobabrun
