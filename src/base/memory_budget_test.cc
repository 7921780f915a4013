// Tests the bounds of what a process holds, and the levels of pressure.
#include "base/memory_budget.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <thread>
#include <utility>
#include <vector>

#include "base/memory_pressure.h"

namespace baobabrun {

class MemoryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MemoryBudgetTest);
  CPPUNIT_TEST(PartsTogetherLeaveRoomForTheProcess);
  CPPUNIT_TEST(FullPartRefusesAndOthersDoNot);
  CPPUNIT_TEST(LeaseGivesBackWhatItHolds);
  CPPUNIT_TEST(BoundHoldsWhenThreadsTakeAtOnce);
  CPPUNIT_TEST(MemoryOfTheProcessIsRead);
  CPPUNIT_TEST(PressureEndsBelowWhereItBegan);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PartsTogetherLeaveRoomForTheProcess() {
    const MemoryBudget budget(kLimit);
    std::size_t sum = 0;
    for (std::size_t n = 0; n < kMemoryParts; ++n) {
      sum += budget.BoundOf(static_cast<MemoryPart>(n));
    }
    CPPUNIT_ASSERT(sum > 0 && sum <= kLimit * 4 / 5);
  }

  void FullPartRefusesAndOthersDoNot() {
    MemoryBudget budget(kLimit);
    const auto bound = budget.BoundOf(MemoryPart::kPeers);
    CPPUNIT_ASSERT(budget.TryTake(MemoryPart::kPeers, bound));
    CPPUNIT_ASSERT(!budget.TryTake(MemoryPart::kPeers, 1));
    CPPUNIT_ASSERT(!budget.TryTake(MemoryPart::kEvents, ~std::size_t{0}));
    CPPUNIT_ASSERT(budget.TryTake(MemoryPart::kEvents, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.refusals(MemoryPart::kPeers));
    budget.Return(MemoryPart::kPeers, bound);
    CPPUNIT_ASSERT(budget.TryTake(MemoryPart::kPeers, 1));
    CPPUNIT_ASSERT_EQUAL(bound, budget.TakeHighest(MemoryPart::kPeers));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         budget.TakeHighest(MemoryPart::kPeers));
  }

  void LeaseGivesBackWhatItHolds() {
    const auto budget = std::make_shared<MemoryBudget>(kLimit);
    {
      MemoryLease lease(budget, MemoryPart::kAnswers);
      CPPUNIT_ASSERT(lease.Grow(100));
      CPPUNIT_ASSERT(!lease.Grow(kLimit));
      auto moved = std::move(lease);
      moved.Shrink(30);
      CPPUNIT_ASSERT_EQUAL(std::size_t{70}, budget->Held(MemoryPart::kAnswers));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget->Held(MemoryPart::kAnswers));
  }

  void BoundHoldsWhenThreadsTakeAtOnce() {
    MemoryBudget budget(kLimit);
    const auto bound = budget.BoundOf(MemoryPart::kRequests);
    std::atomic<std::size_t> taken{0};
    std::vector<std::thread> threads;
    constexpr std::size_t kChunk = 1'000;
    constexpr int kThreads = 4;
    threads.reserve(kThreads);
    for (int n = 0; n < kThreads; ++n) {
      threads.emplace_back([&] {
        for (std::size_t it = 0; it < bound / kChunk; ++it) {
          taken += budget.TryTake(MemoryPart::kRequests, kChunk) ? kChunk : 0;
        }
      });
    }
    for (auto& it : threads) {
      it.join();
    }
    CPPUNIT_ASSERT_EQUAL(bound / kChunk * kChunk, taken.load());
    CPPUNIT_ASSERT_EQUAL(taken.load(), budget.Held(MemoryPart::kRequests));
  }

  void MemoryOfTheProcessIsRead() {
    const auto memory = ReadProcessMemory();
    CPPUNIT_ASSERT(memory.resident > 0);
    CPPUNIT_ASSERT(memory.highest >= memory.resident);
  }

  void PressureEndsBelowWhereItBegan() {
    MemoryPressure pressure(kLimit);
    CPPUNIT_ASSERT(!pressure.Update(kLimit * 69 / 100));
    CPPUNIT_ASSERT(pressure.Update(kLimit * 70 / 100));
    CPPUNIT_ASSERT(pressure.level() == PressureLevel::kHigh);
    CPPUNIT_ASSERT(!pressure.Update(kLimit * 66 / 100));
    CPPUNIT_ASSERT(pressure.Update(kLimit * 2));
    CPPUNIT_ASSERT(pressure.level() == PressureLevel::kCritical);
    CPPUNIT_ASSERT(pressure.Update(kLimit * 64 / 100));
    CPPUNIT_ASSERT(pressure.level() == PressureLevel::kNormal);
  }

 private:
  static constexpr std::size_t kLimit = 10'000'000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

}  // namespace baobabrun
