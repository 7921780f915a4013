// Tests of the policy: what is held, who is busy, who is slow.
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
      table.OnAnnouncement(fleet.Engine(name), now);
    }
    request = fleet.Call(1);
    request->block_tokens = kBlockTokens;
    request->prompt_tokens = kBlockTokens * kBlocks;
    for (std::size_t n = 0; n < kBlocks; ++n) {
      blocks.push_back(n + 1);
    }
  }

  EndpointSlot Choose() {
    const PlacementQuery query{request.get(), blocks, depths, now};
    return policy.Choose(query, std::vector<EndpointSlot>{0, 1, 2}, table);
  }

  void Observe(EndpointSlot slot, Duration observed) {
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
  CPPUNIT_TEST(HolderIsChosenUntilItsQueueCostsMore);
  CPPUNIT_TEST(VmsAgreeOnNewPrefixes);
  CPPUNIT_TEST(SlowEndpointIsAvoidedThenProbed);
  CPPUNIT_TEST(AllSlowIsNoneSlow);
  CPPUNIT_TEST(OneWrongGuessIsNotSlowness);
  CPPUNIT_TEST(OverdueRequestLeavesSlowEndpoint);
  CPPUNIT_TEST(AnswersInOnePieceAreNotTimed);
  CPPUNIT_TEST(PeersLoadCounts);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HolderIsChosenUntilItsQueueCostsMore() {
    PolicyFixture it;
    it.depths = {0, 9, 0};
    for (int n = 0; n < 10; ++n) {
      CPPUNIT_ASSERT_EQUAL(EndpointSlot{1}, it.Choose());
    }
    it.table.AddWork(1, 20'000);  // two seconds of prefill
    CPPUNIT_ASSERT(it.Choose() != 1);
  }

  void VmsAgreeOnNewPrefixes() {
    PolicyFixture one;
    PolicyFixture other(2);
    std::map<EndpointSlot, int> chosen;
    for (BlockHash hash = 1; hash <= 60; ++hash) {
      one.blocks[0] = hash;
      other.blocks[0] = hash;
      const auto slot = one.Choose();
      CPPUNIT_ASSERT_EQUAL(slot, other.Choose());
      chosen[slot] += 1;
    }
    // Different prefixes spread over all.
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
    CPPUNIT_ASSERT_EQUAL(EndpointSlot{0}, it.Choose());
    it.table.AddWork(0, 0);
    CPPUNIT_ASSERT(it.Choose() != 0);
    it.table.RemoveWork(0);
    it.Observe(0, milliseconds(100));
    it.table.AddWork(0, 0);
    CPPUNIT_ASSERT_EQUAL(EndpointSlot{0}, it.Choose());
  }

  void AllSlowIsNoneSlow() {
    PolicyFixture it;
    it.depths = {9, 0, 0};
    for (EndpointSlot slot = 0; slot < 3; ++slot) {
      for (int n = 0; n < 20; ++n) {
        it.Observe(slot, seconds(10));
      }
    }
    // Less work than to compute the prefix again.
    it.table.AddWork(0, 5000);
    CPPUNIT_ASSERT_EQUAL(EndpointSlot{0}, it.Choose());
  }

  void OneWrongGuessIsNotSlowness() {
    PolicyFixture it;
    it.depths = {9, 0, 0};
    it.Observe(0, seconds(60));
    CPPUNIT_ASSERT_EQUAL(EndpointSlot{0}, it.Choose());
  }

  // Two requests without first byte show that an engine is slow. The retry
  // budget lets one be moved; the other one goes on there.
  void OverdueRequestLeavesSlowEndpoint() {
    DispatcherOptions options;
    options.retries = {0, 1000};  // one retry
    DispatcherFixture it(options);
    it.Announce(it.Engine("e1"));
    it.Submit(it.Call(1));
    it.Submit(it.Call(2));
    it.Announce(it.Engine("e2"));
    it.Announce(it.Engine("e3"));
    for (int n = 0; n < 25; ++n) {
      it.Step(milliseconds(100));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.cancels.size());
    it.End(it.cancels[0], AttemptOutcome::kCancelled);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, it.dispatches.size());
    CPPUNIT_ASSERT(it.dispatches[2].endpoint != EndpointId("e1"));
    CPPUNIT_ASSERT(it.overs.empty());
  }

  // They come late from an engine of ordinary speed.
  void AnswersInOnePieceAreNotTimed() {
    DispatcherFixture it;
    it.Announce(it.Engine("e1"));
    for (std::uint64_t n = 1; n <= 2; ++n) {
      auto call = it.Call(n);
      call->caller.call.stream = false;
      it.Submit(call);
    }
    it.Announce(it.Engine("e2"));
    it.Announce(it.Engine("e3"));
    for (int n = 0; n < 25; ++n) {
      it.Step(milliseconds(100));
    }
    CPPUNIT_ASSERT(it.cancels.empty());
  }

  void PeersLoadCounts() {
    DispatcherFixture peer;
    DispatcherFixture it;
    for (const auto* name : {"e1", "e2"}) {
      peer.Announce(peer.Engine(name));
      it.Announce(it.Engine(name));
    }
    peer.Submit(peer.Call(1));
    AttemptReport begun;
    begun.kind = AttemptReport::Kind::kFirstByte;
    begun.attempt = peer.dispatches[0].attempt;
    peer.Report(begun);
    peer.Step(milliseconds(1));
    for (const auto& message : peer.messages) {
      it.dispatcher->Receive(VmId("peer"), message, it.clock.Now());
    }
    it.dispatcher->Receive(VmId("peer"), "no report", it.clock.Now());
    it.Submit(it.Call(1));
    CPPUNIT_ASSERT(peer.dispatches.at(0).endpoint !=
                   it.dispatches.at(0).endpoint);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PolicyTest);

}  // namespace baobabrun
