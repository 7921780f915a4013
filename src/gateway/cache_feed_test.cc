// Tests which entry polls which cache, and when.
#include "gateway/cache_feed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include <memory>
#include <string>

namespace baobabrun {
namespace {

const EndpointId kSource("e0");
const std::vector<EntryPeer> kVms = {{VmId("a"), ZoneId()},
                                     {VmId("b"), ZoneId()},
                                     {VmId("c"), ZoneId()}};

std::vector<CacheSource> Sources(int count) {
  std::vector<CacheSource> sources;
  sources.reserve(static_cast<std::size_t>(count));
  for (int n = 0; n < count; ++n) {
    sources.push_back({EndpointId("e" + std::to_string(n)),
                       {"10.0.0.1", static_cast<std::uint16_t>(n + 1)},
                       ZoneId()});
  }
  return sources;
}

}  // namespace

class CacheFeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CacheFeedTest);
  CPPUNIT_TEST(EachCacheIsPolledByOneVm);
  CPPUNIT_TEST(CacheIsPolledInItsZone);
  CPPUNIT_TEST(CachesOfLostVmsAreTakenOver);
  CPPUNIT_TEST(OnlyOneQueryPerCacheIsInProgress);
  CPPUNIT_TEST(QueryContinuesAfterTheLastAnswer);
  CPPUNIT_TEST(CacheRestartIsDetected);
  CPPUNIT_TEST(NewAddressRestartsTheQueries);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachCacheIsPolledByOneVm() {
    constexpr int kCount = 60;
    std::size_t polled = 0;
    for (const auto& self : kVms) {
      auto others = kVms;
      std::erase_if(others, [&](const auto& it) { return it.vm == self.vm; });
      CacheFeed feed({self.vm, self.zone});
      feed.SetEntries(others, now_);
      feed.SetSources(Sources(kCount), now_);
      CPPUNIT_ASSERT(feed.polled() > kCount / 6);
      polled += feed.polled();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kCount}, polled);
  }

  // Zone y has no entry, so any entry may poll its caches.
  void CacheIsPolledInItsZone() {
    constexpr int kEntries = 12;
    std::vector<EntryPeer> all;
    all.reserve(kEntries);
    for (int n = 0; n < kEntries; ++n) {
      all.push_back(
          {VmId("v" + std::to_string(n)), ZoneId(n % 3 == 0 ? "w" : "x")});
    }
    auto sources = Sources(60);
    std::map<EndpointId, ZoneId> zones;
    for (std::size_t n = 0; n < sources.size(); ++n) {
      sources[n].zone = ZoneId(n % 3 == 0 ? "w" : n % 3 == 1 ? "x" : "y");
      zones[sources[n].endpoint] = sources[n].zone;
    }
    std::map<EndpointId, int> polls;
    for (const auto& self : all) {
      auto others = all;
      std::erase_if(others, [&](const auto& it) { return it.vm == self.vm; });
      CacheFeed feed({self.vm, self.zone});
      feed.SetEntries(others, now_);
      feed.SetSources(sources, now_);
      for (const auto& it : feed.TakeDue(now_)) {
        ++polls[it.source.endpoint];
        const auto zone = zones.at(it.source.endpoint);
        CPPUNIT_ASSERT(zone == self.zone || zone == ZoneId("y"));
      }
    }
    CPPUNIT_ASSERT_EQUAL(sources.size(), polls.size());
    CPPUNIT_ASSERT(std::all_of(polls.begin(), polls.end(),
                               [](const auto& it) { return it.second == 1; }));
  }

  void CachesOfLostVmsAreTakenOver() {
    CacheFeed feed({kVms[0].vm, ZoneId()});
    feed.SetSources(Sources(20), now_);
    feed.SetEntries({kVms[1], kVms[2]}, now_);
    CPPUNIT_ASSERT(feed.polled() < 20);
    feed.SetEntries({}, now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, feed.polled());
  }

  void OnlyOneQueryPerCacheIsInProgress() {
    auto feed = Alone();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, feed->TakeDue(now_).size());
    CPPUNIT_ASSERT(feed->TakeDue(now_ + seconds(9)).empty());
    CPPUNIT_ASSERT(!feed->NextDue());
    feed->OnUpdate(kSource, nullptr, now_);
    CPPUNIT_ASSERT(feed->TakeDue(now_).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         feed->TakeDue(*feed->NextDue()).size());
  }

  void QueryContinuesAfterTheLastAnswer() {
    auto feed = Alone();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, feed->TakeDue(now_)[0].since);
    const CacheUpdate update{7, 120, false, {}};
    CPPUNIT_ASSERT(!feed->OnUpdate(kSource, &update, now_));
    now_ += seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{120}, feed->TakeDue(now_)[0].since);
  }

  void CacheRestartIsDetected() {
    auto feed = Alone();
    const CacheUpdate before{7, 120, false, {}};
    const CacheUpdate after{8, 2, false, {}};
    CPPUNIT_ASSERT(!feed->OnUpdate(kSource, &before, now_));
    CPPUNIT_ASSERT(feed->OnUpdate(kSource, &after, now_));
    CPPUNIT_ASSERT(!feed->OnUpdate(kSource, &after, now_));
    // An answer of a cache that isn't polled here has no effect.
    CPPUNIT_ASSERT(!feed->OnUpdate(EndpointId("other"), &before, now_));
  }

  void NewAddressRestartsTheQueries() {
    auto feed = Alone();
    feed->TakeDue(now_);
    const CacheUpdate update{7, 120, false, {}};
    feed->OnUpdate(kSource, &update, now_);
    feed->SetSources({{kSource, {"10.0.0.9", 9}, ZoneId()}}, now_);
    const auto due = feed->TakeDue(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, due[0].since);
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9"), due[0].source.address.host);
  }

 private:
  std::unique_ptr<CacheFeed> Alone() const {
    auto feed =
        std::make_unique<CacheFeed>(CacheFeedOptions{VmId("a"), ZoneId()});
    feed->SetSources(Sources(1), now_);
    return feed;
  }

  Instant now_{seconds(10)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(CacheFeedTest);

}  // namespace baobabrun
