// Tests of the prefix index: entries that must never match, and events that are
// late, lost, duplicated or out of order.
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <set>
#include <string>

#include "prefix/prefix_index.h"

namespace baobabrun {
namespace {

using Op = CacheEvent::Op;

constexpr Instant kStart{seconds(1000)};

std::vector<BlockHash> Chain(const std::string& organisation,
                             const std::string& weights,
                             const std::string& text,
                             const std::string& adapter = "") {
  const auto seed = BlockSeed(OrganisationId(organisation), ModelId("tutor"),
                              adapter, weights);
  return HashBlocks(text, seed, 4);
}

CacheEvents Events(std::uint64_t first,
                   const std::vector<BlockHash>& chain,
                   Op op = Op::kStore) {
  CacheEvents out{first, {}};
  for (const auto hash : chain) {
    out.items.push_back({op, hash});
  }
  return out;
}

std::uint16_t Depth(PrefixIndex& index,
                    const std::vector<BlockHash>& chain,
                    PrefixIndex::Slot slot = 0,
                    Instant now = kStart) {
  std::vector<std::uint16_t> depths(slot + 1);
  index.Match(chain, now, &depths);
  return depths[slot];
}

}  // namespace

class PrefixIndexTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PrefixIndexTest);
  CPPUNIT_TEST(MatchesLeadingBlocksOnly);
  CPPUNIT_TEST(DuplicateAndReorderedEventsAreIgnored);
  CPPUNIT_TEST(EntriesExpireAfterLostEvents);
  CPPUNIT_TEST(UnconfirmedPredictionExpires);
  CPPUNIT_TEST(LateEvictionKeepsPrediction);
  CPPUNIT_TEST(DifferentSeedsShareNoHash);
  CPPUNIT_TEST(DroppedEntriesNeverMatch);
  CPPUNIT_TEST(AgreesWithPlainSets);
  CPPUNIT_TEST(DroppedEntriesStayDroppedAfterGenerationWraps);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MatchesLeadingBlocksOnly() {
    PrefixIndex index({});
    const auto chain = Chain("a", "v1", "aaaabbbbccccdddd");
    index.OnEvents(0, Events(1, {chain[0], chain[1], chain[3]}), kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, Depth(index, chain));
    index.OnEvents(0, Events(4, {chain[2]}), kStart);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{4}, Depth(index, chain));
  }

  void DuplicateAndReorderedEventsAreIgnored() {
    PrefixIndex index({});
    const auto chain = Chain("a", "v1", "aaaabbbb");
    const auto later = kStart + seconds(5);
    index.OnEvents(0, Events(1, chain), kStart);
    index.OnEvents(0, Events(3, {chain[1]}, Op::kEvict), later);
    index.OnEvents(0, Events(1, chain), later);  // late duplicate
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, Depth(index, chain, 0, later));
    // The events overlap: 2 and 3 were applied before, 4 is new.
    index.OnEvents(0, Events(2, {chain[1], chain[1], chain[1]}), later);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, Depth(index, chain, 0, later));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, index.lost_events());
  }

  void EntriesExpireAfterLostEvents() {
    PrefixIndexOptions options;
    options.initial_lifetime = seconds(10);
    options.trusted_lifetimes = 2;
    PrefixIndex index(options);
    const auto chain = Chain("a", "v1", "aaaabbbb");
    const auto other = Chain("a", "v1", "xxxx");
    index.OnEvents(0, Events(1, chain), kStart);
    const auto trusted = kStart + seconds(20);
    const auto after = trusted + seconds(1);
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, Depth(index, chain, 0, after));
    index.OnEvents(0, Events(4, other), kStart + seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, index.lost_events());
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, Depth(index, chain, 0, trusted));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, Depth(index, chain, 0, after));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{1}, Depth(index, other, 0, after));
  }

  void UnconfirmedPredictionExpires() {
    PrefixIndex index({});
    const auto chain = Chain("a", "v1", "aaaabbbb");
    index.Predict(0, chain, kStart);
    index.OnEvents(0, Events(1, {chain[0]}), kStart + seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{2},
                         Depth(index, chain, 0, kStart + seconds(10)));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{1},
                         Depth(index, chain, 0, kStart + seconds(11)));
  }

  void LateEvictionKeepsPrediction() {
    PrefixIndex index({});
    const auto chain = Chain("a", "v1", "aaaa");
    index.OnEvents(0, Events(1, chain), kStart);
    const auto placed = kStart + seconds(30);
    index.Predict(0, chain, placed);
    index.OnEvents(0, Events(2, chain, Op::kEvict), placed + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{1},
                         Depth(index, chain, 0, placed + seconds(2)));
    // No event confirms that the block was stored again.
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0},
                         Depth(index, chain, 0, placed + seconds(11)));
  }

  // Hash chains of the same text with different seeds have no hash in common.
  void DifferentSeedsShareNoHash() {
    const std::string names[] = {"", "a", "b", "ab", "aa", "v1"};
    std::set<BlockHash> seen;
    std::size_t total = 0;
    for (const auto& organisation : names) {
      for (const auto& weights : names) {
        for (const auto& adapter : names) {
          const auto chain =
              Chain(organisation, weights, std::string(64, 'x'), adapter);
          seen.insert(chain.begin(), chain.end());
          total += chain.size();
        }
      }
    }
    CPPUNIT_ASSERT_EQUAL(total, seen.size());
  }

  // With hashes of 4 bits nearly all blocks collide. Even so, no entry from
  // before a Restart is matched.
  void DroppedEntriesNeverMatch() {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      std::mt19937_64 random(seed);
      PrefixIndexOptions options;
      options.hash_mask = 0xF;
      PrefixIndex index(options);
      std::uint64_t next = 1;
      // The hashes that were stored or predicted since the last Restart.
      std::set<BlockHash> since;
      for (int step = 0; step < 500; ++step) {
        const auto chain = Chain("o" + std::to_string(random() % 3), "v1",
                                 std::to_string(random() % 1000 + 1000));
        const auto draw = random() % 10;
        if (draw == 0) {
          index.Restart(0);
          since.clear();
          next = 1;
        } else if (draw < 4) {
          index.Predict(0, chain, kStart);
          since.insert(chain[0] & options.hash_mask);
        } else if (draw < 6) {
          next += random() % 2;
          index.OnEvents(0, Events(next++, chain), kStart);
          since.insert(chain[0] & options.hash_mask);
        }
        const bool may = since.contains(chain[0] & options.hash_mask);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "seed " + std::to_string(seed) + " step " + std::to_string(step),
            may, Depth(index, chain) > 0);
      }
    }
  }

  // Compares an index with many slots and blocks, which grows and shrinks, with
  // plain sets of hashes per slot.
  void AgreesWithPlainSets() {
    constexpr std::uint64_t kSlots = 40;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      std::mt19937_64 random(seed);
      PrefixIndexOptions options;
      // Few different hashes make long runs of occupied cells. The negative lag
      // makes all evictions take effect.
      options.hash_mask = (std::uint64_t{1} << (6 + seed)) - 1;
      options.event_lag = -seconds(1);
      PrefixIndex index(options);
      std::map<PrefixIndex::Slot, std::set<BlockHash>> held;
      std::map<PrefixIndex::Slot, std::uint64_t> next;
      for (int step = 0; step < 20'000; ++step) {
        const auto slot = static_cast<PrefixIndex::Slot>(random() % kSlots);
        const auto hash = random() & options.hash_mask;
        const auto draw = random() % 1000;
        if (draw == 0) {
          index.Restart(slot);
          held[slot].clear();
          next[slot] = 0;
        } else if (draw < 550) {
          index.OnEvents(slot, Events(++next[slot], {hash}), kStart);
          held[slot].insert(hash);
        } else {
          index.OnEvents(slot, Events(++next[slot], {hash}, Op::kEvict),
                         kStart);
          held[slot].erase(hash);
        }
        index.Sweep(kStart);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            "seed " + std::to_string(seed) + " step " + std::to_string(step),
            held[slot].contains(hash), Depth(index, {hash}, slot) > 0);
      }
    }
  }

  void DroppedEntriesStayDroppedAfterGenerationWraps() {
    PrefixIndex index({});
    const auto chain = Chain("a", "v1", "aaaa");
    index.OnEvents(0, Events(1, chain), kStart);
    for (int n = 0; n < 65'536; ++n) {
      index.Restart(0);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, Depth(index, chain));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrefixIndexTest);

}  // namespace baobabrun
