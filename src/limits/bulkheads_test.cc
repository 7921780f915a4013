// Tests of budgets. In each row one part fails or floods, and the others must
// still get at least 95% of what they get alone.
#include "limits/bulkheads.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace baobabrun {
namespace {

constexpr int kSteps = 5'000;

std::array<Budget, kResources> AllBudgets(const Budget& budget) {
  std::array<Budget, kResources> budgets;
  budgets.fill(budget);
  return budgets;
}

// Uses by the same owners: how many a step, and how many steps each is held.
struct Load {
  std::vector<BudgetOwner> budget_owners;
  int per_step = 1;
  std::int64_t amount = 1;
  int held_steps = 10;
};

// Returns how many uses of each load were admitted.
std::vector<int> Run(const Budget& budget,
                     Resource resource,
                     const std::vector<Load>& loads,
                     std::uint64_t seed) {
  Bulkheads bulkheads(AllBudgets(budget));
  std::mt19937_64 random(seed);
  std::vector<int> served(loads.size());
  std::deque<std::pair<int, BudgetReservation>> held;
  for (int step = 0; step < kSteps; ++step) {
    std::erase_if(held, [step](const auto& it) { return it.first <= step; });
    for (std::size_t i = 0; i < loads.size(); ++i) {
      const auto& load = loads[i];
      for (int n = 0; n < load.per_step; ++n) {
        auto reservation =
            bulkheads.Take(resource, load.amount, load.budget_owners);
        if (reservation.held()) {
          ++served[i];
          const int jitter = static_cast<int>(random() % 3);
          held.emplace_back(step + load.held_steps + jitter,
                            std::move(reservation));
        }
      }
    }
    CPPUNIT_ASSERT(bulkheads.Used(resource) <= budget.total);
  }
  held.clear();
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bulkheads.Used(resource));
  return served;
}

BudgetOwner Organisation(const char* name) {
  return {BudgetOwnerKind::kOrganisation, name};
}

BudgetOwner Service(const char* name) {
  return {BudgetOwnerKind::kService, name};
}

BudgetOwner Endpoint(const char* name) {
  return {BudgetOwnerKind::kEndpoint, name};
}

}  // namespace

class BulkheadsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BulkheadsTest);
  CPPUNIT_TEST(OtherPartsGetNinetyFivePercent);
  CPPUNIT_TEST(OnePartMayUseTheUnreservedBudget);
  CPPUNIT_TEST(HoldsAreReleasedOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OtherPartsGetNinetyFivePercent() {
    struct Row {
      const char* name;
      Resource resource;
      Budget budget;
      std::vector<Load> loads;  // the first fails or floods
    };
    constexpr std::int64_t kMegabyte = 1 << 20;
    const Row rows[] = {
        {"an endpoint that accepts and never answers",
         Resource::kConnections,
         {200, {200, 200, 60}, {50, 100, 20}, 80},
         {{{Organisation("a"), Endpoint("e1")}, 20, 1, kSteps},
          {{Organisation("b"), Endpoint("e2")}, 2, 1, 10},
          {{Organisation("c"), Endpoint("e3")}, 1, 1, 15}}},
        {"a service that answers 500 to all is retried",
         Resource::kRetries,
         {100, {100, 60, 100}, {40, 40, 40}, 60},
         {{{Service("s1")}, 50, 1, 100},
          {{Service("s2")}, 1, 1, 20},
          {{Service("s3")}, 1, 1, 20}}},
        {"an organisation at 10 times its rate with 1 MB bodies",
         Resource::kBufferedBytes,
         {256 * kMegabyte,
          {128 * kMegabyte, 256 * kMegabyte, 256 * kMegabyte},
          {48 * kMegabyte, 256 * kMegabyte, 256 * kMegabyte},
          96 * kMegabyte},
         {{{Organisation("a")}, 40, kMegabyte, 40},
          {{Organisation("b")}, 20, kMegabyte / 16, 20},
          {{Organisation("c")}, 1, 4 * kMegabyte, 5}}},
        {"a zone gone: all its endpoints silent",
         Resource::kQueuePlaces,
         {400, {400, 400, 50}, {60, 100, 40}, 200},
         {{{Organisation("a"), Endpoint("e1")}, 9, 1, kSteps},
          {{Organisation("a"), Endpoint("e2")}, 9, 1, kSteps},
          {{Organisation("b"), Endpoint("e3")}, 3, 1, 8}}},
        {"calls that hang in a ring",
         Resource::kRingSlots,
         {64, {32, 32, 32}, {16, 16, 16}, 32},
         {{{Organisation("operators")}, 5, 1, kSteps},
          {{Organisation("b")}, 4, 1, 2},
          {{Organisation("c")}, 3, 1, 2}}},
    };
    for (const auto& row : rows) {
      for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        const auto with_failure =
            Run(row.budget, row.resource, row.loads, seed);
        for (std::size_t i = 1; i < row.loads.size(); ++i) {
          if (row.loads[i].held_steps == kSteps) {
            continue;  // part of the failure
          }
          const auto alone =
              Run(row.budget, row.resource, {row.loads[i]}, seed);
          CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ", seed " +
                                     std::to_string(seed) + ", load " +
                                     std::to_string(i) + ": " +
                                     std::to_string(with_failure[i]) + " of " +
                                     std::to_string(alone[0]),
                                 with_failure[i] * 100 >= alone[0] * 95);
        }
      }
    }
  }

  void OnePartMayUseTheUnreservedBudget() {
    Bulkheads bulkheads(AllBudgets({100, {80, 100, 100}, {20, 20, 20}, 30}));
    std::vector<BudgetReservation> reservations;
    while (true) {
      auto reservation =
          bulkheads.Take(Resource::kConnections, 1, {Organisation("a")});
      if (!reservation.held()) {
        break;
      }
      reservations.push_back(std::move(reservation));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{70}, reservations.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         bulkheads.Refused(Resource::kConnections));
    CPPUNIT_ASSERT(
        bulkheads.Take(Resource::kConnections, 20, {Organisation("b")}).held());
    CPPUNIT_ASSERT(
        bulkheads.Take(Resource::kQueuePlaces, 1, {Organisation("a")}).held());
  }

  void HoldsAreReleasedOnce() {
    Bulkheads bulkheads(AllBudgets({10, {10, 10, 10}, {10, 10, 10}, 0}));
    const auto a = Organisation("a");
    auto first = bulkheads.Take(Resource::kRingSlots, 4, {a, Service("a")});
    BudgetReservation second = std::move(first);
    first.Release();  // NOLINT(bugprone-use-after-move): must do nothing
    CPPUNIT_ASSERT_EQUAL(std::int64_t{4},
                         bulkheads.Used(Resource::kRingSlots, a));
    CPPUNIT_ASSERT(!bulkheads.Take(Resource::kRingSlots, 7, {a}).held());
    CPPUNIT_ASSERT(!bulkheads.Take(Resource::kRingSlots, 0, {a}).held());
    CPPUNIT_ASSERT(!bulkheads.Take(Resource::kRingSlots, -1, {a}).held());
    second = bulkheads.Take(Resource::kRingSlots, 1, {a});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                         bulkheads.Used(Resource::kRingSlots, a));
    second.Release();
    second.Release();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, bulkheads.Used(Resource::kRingSlots));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BulkheadsTest);

}  // namespace baobabrun
