// Randomised simulations of the replicated log with fixed seeds.
// BAOBABRUN_SIM_SEEDS sets the number of seeds for each group size, and
// BAOBABRUN_SIM_FIRST_SEED the first seed.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <stdexcept>
#include <string>

#include "control/sim_world_test.h"

namespace baobabrun {
namespace {

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

struct Totals {
  std::size_t answers = 0;
  std::size_t elections = 0;
  std::size_t replacements = 0;
  std::size_t lost_disks = 0;
};

Totals RunSeeds(const SimOptions& shape) {
  const auto first = FromEnvironment("BAOBABRUN_SIM_FIRST_SEED", 1);
  const auto count = FromEnvironment("BAOBABRUN_SIM_SEEDS", 40);
  Totals totals;
  for (auto seed = first; seed < first + count; ++seed) {
    SimOptions options = shape;
    options.seed = seed;
    SimWorld world(options);
    try {
      world.Run(seconds(20));
      world.HealAndCheck();
    } catch (const std::runtime_error& error) {
      CPPUNIT_FAIL(fmt::format("seed {}, {} replicas, {} spares: {}\n{}", seed,
                               options.replicas, options.spares, error.what(),
                               world.Trace()));
    }
    totals.answers += world.answers();
    totals.elections += world.elections();
    totals.replacements += world.replacements();
    totals.lost_disks += world.lost_disks();
  }
  fmt::print(
      "[{} seeds: {} answers, {} elections, {} replacements, {} lost disks] ",
      count, totals.answers, totals.elections, totals.replacements,
      totals.lost_disks);
  return totals;
}

}  // namespace

class ReplicaSimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaSimTest);
  CPPUNIT_TEST(ThreeReplicas);
  CPPUNIT_TEST(FiveReplicas);
  CPPUNIT_TEST(ThreeReplicasWithReplacements);
  CPPUNIT_TEST(ChangesAreAnsweredAfterDisksWereFullInTurn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // The totals show that the simulations contain elections, commits and
  // replacements.
  void ThreeReplicas() {
    const auto totals = RunSeeds({.replicas = 3});
    CPPUNIT_ASSERT(totals.answers > 0);
    CPPUNIT_ASSERT(totals.lost_disks > 0);
  }
  void FiveReplicas() {
    const auto totals = RunSeeds({.replicas = 5});
    CPPUNIT_ASSERT(totals.elections > 0);
  }
  void ThreeReplicasWithReplacements() {
    const auto totals = RunSeeds({.replicas = 3, .spares = 2});
    CPPUNIT_ASSERT(totals.replacements > 0);
  }

  // The disks of a minority are full at any time.
  void ChangesAreAnsweredAfterDisksWereFullInTurn() {
    for (const int replicas : {3, 5}) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SimWorld world({.seed = seed, .replicas = replicas, .faults = false});
        const auto name = fmt::format("seed {}, {} replicas", seed, replicas);
        try {
          world.Run(seconds(2));
          for (int n = 0; n < 2 * replicas; ++n) {
            const auto replica = static_cast<std::size_t>(n % replicas);
            world.SetDiskFull(replica, true);
            CheckAnswers(world, name + ", while a disk is full");
            world.SetDiskFull(replica, false);
            world.Run(milliseconds(20 * n));
          }
          for (int n = 0; n < 5; ++n) {
            CheckAnswers(world, name + ", after that");
          }
          world.HealAndCheck();
        } catch (const std::runtime_error& error) {
          CPPUNIT_FAIL(name + ": " + error.what() + "\n" + world.Trace());
        }
      }
    }
  }

 private:
  // Some changes are answered within a few seconds, an election included.
  static void CheckAnswers(SimWorld& world, const std::string& name) {
    const auto before = world.answers();
    world.Run(seconds(4));
    CPPUNIT_ASSERT_MESSAGE(name + "\n" + world.Trace(),
                           world.answers() > before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaSimTest);

}  // namespace baobabrun
