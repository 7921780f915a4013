// Tests order planning: a rollout under a manual clock with simulated engines,
// and the delays after a change of leader.
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

FleetState StateWithModel(const char* weights, int wanted) {
  FleetState state;
  state.declarations.models = {{ModelId("m"), weights, "", 2048, wanted}};
  return state;
}

}  // namespace

class OrderPlannerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderPlannerTest);
  CPPUNIT_TEST(RollsOutTwoAtATime);
  CPPUNIT_TEST(OneOfTwoEnginesKeepsServing);
  CPPUNIT_TEST(SpareEnginesLoadMissingModel);
  CPPUNIT_TEST(OnlyLeaderSendsOrders);
  CPPUNIT_TEST(EnginesWithoutFencingWaitForPreviousLease);
  CPPUNIT_TEST(LoadsOfPreviousLeaderCount);
  CPPUNIT_TEST(RefusedOrderIsSentAgain);
  CPPUNIT_TEST(RestartedEngineIsOrderedAgain);
  CPPUNIT_TEST(RequestsAreDividedBySlots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    planner_ = std::make_unique<OrderPlanner>(OrderPlannerOptions());
    planner_->StartLeading(7, clock_.Now());
    clock_.Advance(seconds(1));
  }

  void RollsOutTwoAtATime() {
    constexpr int kEngines = 9;
    constexpr int kLoadSteps = 5;
    std::vector<EndpointView> engines;
    engines.reserve(kEngines);
    std::vector<int> load_end_step(kEngines, -1);
    for (int n = 0; n < kEngines; ++n) {
      engines.push_back(Engine(n, "v1"));
    }
    const auto state = StateWithModel("v2", 0);
    for (int step = 0; step < 100; ++step) {
      for (int n = 0; n < kEngines; ++n) {
        if (load_end_step[n] == step) {
          engines[n].models[0].weights = "v2";
          engines[n].loading = 0;
        }
      }
      for (const auto& it : planner_->Plan(state, engines, clock_.Now())) {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, it.term);
        const int n = std::stoi(it.endpoint.value().substr(1));
        CPPUNIT_ASSERT_EQUAL(-1, load_end_step[n]);
        load_end_step[n] = step + kLoadSteps;
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

  void OneOfTwoEnginesKeepsServing() {
    const std::vector<EndpointView> two = {Engine(0, "v1"), Engine(1, "v1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Plan(StateWithModel("v2", 0), two));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Plan(StateWithModel("v2", 0), two));
  }

  void SpareEnginesLoadMissingModel() {
    const std::vector<EndpointView> engines = {Engine(0, "v1"), Engine(1, ""),
                                               Engine(2, ""), Engine(3, "")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         Plan(StateWithModel("v1", 3), engines));
  }

  void OnlyLeaderSendsOrders() {
    const std::vector<EndpointView> engines = {Engine(0, "v1")};
    planner_->StopLeading();
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Plan(StateWithModel("v2", 0), engines));
    planner_->StartLeading(8, clock_.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Plan(StateWithModel("v2", 0), engines));
    clock_.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
  }

  void EnginesWithoutFencingWaitForPreviousLease() {
    std::vector<EndpointView> engines = {Engine(0, "v1")};
    engines[0].checks_fencing = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Plan(StateWithModel("v2", 0), engines));
    clock_.Advance(OrderPlannerOptions().previous_lease - seconds(1) -
                   milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Plan(StateWithModel("v2", 0), engines));
    clock_.Advance(milliseconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
  }

  void LoadsOfPreviousLeaderCount() {
    std::vector<EndpointView> engines = {Engine(0, "v1"), Engine(1, "v1"),
                                         Engine(2, "v1"), Engine(3, "v1")};
    engines[0].loading = 1;
    engines[1].loading = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Plan(StateWithModel("v2", 0), engines));
    engines[0].loading = 0;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
  }

  void RefusedOrderIsSentAgain() {
    const std::vector<EndpointView> engines = {Engine(0, "v1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Plan(StateWithModel("v2", 0), engines));
    planner_->OnRefused(EndpointId("e0"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
  }

  void RestartedEngineIsOrderedAgain() {
    std::vector<EndpointView> engines = {Engine(0, "v1")};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
    engines[0].incarnation = Incarnation(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         Plan(StateWithModel("v2", 0), engines));
  }

  // Requests are divided by slots. None gets weights that no engine has.
  void RequestsAreDividedBySlots() {
    const Model model{ModelId("m"), "v2", "", 2048, 0};
    Rollout rollout;
    CPPUNIT_ASSERT_EQUAL(std::string("v2"), rollout.Choose(model, 1).weights);
    std::vector<EndpointView> engines = {Engine(0, "v1"), Engine(1, "v1"),
                                         Engine(2, "v1"), Engine(3, "v1")};
    for (int updated_engines = 0; updated_engines <= 4; ++updated_engines) {
      if (updated_engines > 0) {
        engines[updated_engines - 1].models[0].weights = "v2";
      }
      rollout.Update(engines);
      int newer = 0;
      for (std::uint64_t spread = 0; spread < 400; ++spread) {
        newer += rollout.Choose(model, spread).weights == "v2" ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(updated_engines * 100, newer);
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
