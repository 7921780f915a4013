// Tests that each version's age counts from its own naming, however many
// follow it and in whatever order a VM learns of them.
#include "control/weights_history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace baobabrun {
namespace {

const ModelId kModel("m");
const Instant kStart(seconds(1'000));

}  // namespace

class WeightsHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WeightsHistoryTest);
  CPPUNIT_TEST(EachVersionIsSupersededByTheNext);
  CPPUNIT_TEST(AgesLearntInAnyOrderAreTheSame);
  CPPUNIT_TEST(EarliestTimeCounts);
  CPPUNIT_TEST(HistoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachVersionIsSupersededByTheNext() {
    WeightsHistory history;
    for (std::uint64_t n = 1; n <= 4; ++n) {
      history.Add({kModel, n, At(n)}, At(n));
    }
    CPPUNIT_ASSERT(history.SupersededFor(kModel, 4, At(6)) == Duration::zero());
    CPPUNIT_ASSERT(history.SupersededFor(kModel, 3, At(6)) == seconds(2));
    CPPUNIT_ASSERT(history.SupersededFor(kModel, 2, At(6)) == seconds(3));
    CPPUNIT_ASSERT(history.SupersededFor(kModel, 1, At(6)) == seconds(4));
    CPPUNIT_ASSERT(history.SupersededFor(ModelId("other"), 1, At(6)) ==
                   Duration::zero());
  }

  void AgesLearntInAnyOrderAreTheSame() {
    std::mt19937_64 random(1);
    for (int round = 0; round < 50; ++round) {
      std::vector<std::uint64_t> order = {2, 5, 6, 9, 12};
      std::shuffle(order.begin(), order.end(), random);
      WeightsHistory history;
      for (const auto it : order) {
        history.Add({kModel, it, At(it)}, At(20));
      }
      for (std::uint64_t weights = 1; weights < 12; ++weights) {
        const auto next = *std::min_element(
            order.begin(), order.end(), [&](auto left, auto right) {
              return (left > weights ? left : 99) <
                     (right > weights ? right : 99);
            });
        CPPUNIT_ASSERT(history.SupersededFor(kModel, weights, At(20)) ==
                       At(20) - At(next));
      }
    }
  }

  // A VM that learns of two versions at once knows only that the older one was
  // named before the newer one.
  void EarliestTimeCounts() {
    WeightsHistory history;
    CPPUNIT_ASSERT(history.Add({kModel, 2, At(9)}, At(9)));
    CPPUNIT_ASSERT(!history.Add({kModel, 2, At(10)}, At(10)));
    CPPUNIT_ASSERT(history.Add({kModel, 3, At(5)}, At(10)));
    CPPUNIT_ASSERT(history.SupersededFor(kModel, 1, At(10)) == seconds(5));
    CPPUNIT_ASSERT(history.SupersededFor(kModel, 2, At(10)) == seconds(5));
  }

  void HistoryIsBounded() {
    WeightsHistory history;
    for (std::uint64_t n = 1; n <= 10'000; ++n) {
      history.Add({kModel, n, At(n)}, At(n));
      // Whatever a call may still begin on has its exact age.
      if (n > 20) {
        CPPUNIT_ASSERT(history.SupersededFor(kModel, n - 20, At(n)) ==
                       seconds(19));
        CPPUNIT_ASSERT(history.SupersededFor(kModel, 1, At(n)) >= seconds(19));
      }
    }
    CPPUNIT_ASSERT(history.All().size() < 300);
  }

 private:
  static Instant At(std::uint64_t s) {
    return kStart + seconds(static_cast<std::int64_t>(s));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsHistoryTest);

}  // namespace baobabrun
