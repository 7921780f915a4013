// Tests of order planning: a roll-out under a manual clock with a simple model
// of engines, and the waits of a new leader.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

#include "orders/order_planner.h"
#include "orders/rollout.h"

namespace baobabrun {
namespace {

EndpointView Engine(int n, const char* weights) {
  EndpointView it;
  it.endpoint = EndpointId("e" + std::to_string(n));
  it.incarnation = Incarnation(1);
  it.checks_fencing = true;
  if (*weights != '\0') {
    it.models = {{ModelId("m"), weights, ""}};
  }
  return it;
}

FleetState Wants(const char* weights, int wanted) {
  FleetState state;
  state.declarations.models = {{ModelId("m"), weights, "", 2048, wanted}};
  return state;
}

}  // namespace

class OrderPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderPlannerTest);
  CPPUNIT_TEST(RollsOutTwoAtATime);
  CPPUNIT_TEST(OneOfTwoEnginesStays);
  CPPUNIT_TEST(SpareEnginesFillUp);
  CPPUNIT_TEST(OnlyTheLeaderOrders);
  CPPUNIT_TEST(UncheckedEnginesWaitForTheOldLease);
  CPPUNIT_TEST(LoadsOfAnEarlierLeaderCount);
  CPPUNIT_TEST(RefusedOrderIsGivenAgain);
  CPPUNIT_TEST(RestartedEngineIsOrderedAgain);
  CPPUNIT_TEST(RequestsFollowTheRollOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    planner_ = std::make_unique<OrderPlanner>(OrderPlannerOptions());
    planner_->Lead(7, clock_.Now());
    clock_.Advance(seconds(1));
  }

  void RollsOutTwoAtATime() {
    constexpr int kEngines = 9;
    constexpr int kLoadSteps = 5;
    std::vector<EndpointView> engines;
    engines.reserve(kEngines);
    std::vector<int> due(kEngines, -1);
    for (int n = 0; n < kEngines; ++n) {
      engines.push_back(Engine(n, "v1"));
    }
    const auto state = Wants("v2", 0);
    for (int step = 0; step < 100; ++step) {
      for (int n = 0; n < kEngines; ++n) {
        if (due[n] == step) {
          engines[n].models[0].weights = "v2";
          engines[n].loading = 0;
        }
      }
      for (const auto& it : planner_->Plan(state, engines, clock_.Now())) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, it.term);
        const int n = std::stoi(it.endpoint.value().substr(1));
        CPPUNIT_ASSERT_EQUAL(-1, due[n]);
        due[n] = step + kLoadSteps;
        engines[n].loading = 1;
      }
      const auto loading =
          std::count_if(engines.begin(), engines.end(),
                        [](const auto& it) { return it.loading > 0; });
      CPPUNIT_ASSERT(loading <= 2);
      clock_.Advance(seconds(1));
    }
    for (const auto& it : engines) {
      CPPUNIT_ASSERT_EQUAL(std::string("v2"), it.models[0].weights);
    }
  }

  void OneOfTwoEnginesStays() {
    const std::vector<EndpointView> two = {Engine(0, "v1"), Engine(1, "v1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), two));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), two));
  }

  void SpareEnginesFillUp() {
    const std::vector<EndpointView> engines = {Engine(0, "v1"), Engine(1, ""),
                                               Engine(2, ""), Engine(3, "")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Plan(Wants("v1", 3), engines));
  }

  void OnlyTheLeaderOrders() {
    const std::vector<EndpointView> engines = {Engine(0, "v1")};
    planner_->StopLeading();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), engines));
    planner_->Lead(8, clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), engines));
    clock_.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
  }

  void UncheckedEnginesWaitForTheOldLease() {
    std::vector<EndpointView> engines = {Engine(0, "v1")};
    engines[0].checks_fencing = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), engines));
    clock_.Advance(OrderPlannerOptions().old_lease - seconds(1) -
                   milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), engines));
    clock_.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
  }

  void LoadsOfAnEarlierLeaderCount() {
    std::vector<EndpointView> engines = {Engine(0, "v1"), Engine(1, "v1"),
                                         Engine(2, "v1"), Engine(3, "v1")};
    engines[0].loading = 1;
    engines[1].loading = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), engines));
    engines[0].loading = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
  }

  void RefusedOrderIsGivenAgain() {
    const std::vector<EndpointView> engines = {Engine(0, "v1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(Wants("v2", 0), engines));
    planner_->OnRefused(EndpointId("e0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
  }

  void RestartedEngineIsOrderedAgain() {
    std::vector<EndpointView> engines = {Engine(0, "v1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
    engines[0].incarnation = Incarnation(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(Wants("v2", 0), engines));
  }

  // Requests divide by slots, and none names weights that no engine has.
  void RequestsFollowTheRollOut() {
    const Model model{ModelId("m"), "v2", "", 2048, 0};
    Rollout rollout;
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), rollout.Choose(model, 1).weights);
    std::vector<EndpointView> engines = {Engine(0, "v1"), Engine(1, "v1"),
                                         Engine(2, "v1"), Engine(3, "v1")};
    for (int rolled = 0; rolled <= 4; ++rolled) {
      if (rolled > 0) {
        engines[rolled - 1].models[0].weights = "v2";
      }
      rollout.Update(engines);
      int newer = 0;
      for (std::uint64_t spread = 0; spread < 400; ++spread) {
        newer += rollout.Choose(model, spread).weights == "v2" ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(rolled * 100, newer);
    }
  }

 private:
  std::size_t Plan(const FleetState& state,
                   const std::vector<EndpointView>& engines) {
    return planner_->Plan(state, engines, clock_.Now()).size();
  }

  ManualClock clock_;
  std::unique_ptr<OrderPlanner> planner_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderPlannerTest);

}  // namespace baobabrun
