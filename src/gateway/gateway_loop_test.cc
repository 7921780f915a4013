// Tests the loop's queue and what is handed to the loop beside it.
#include "gateway/gateway_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <future>
#include <memory>
#include <string>

namespace baobabrun {
namespace {

// Returns a state whose manifest has `number`, which is also its text.
FleetStatePtr StateWith(std::uint64_t number) {
  auto state = std::make_shared<FleetState>();
  state->version = StateVersion(number);
  state->manifest.number = number;
  state->manifest.text =
      std::make_shared<const std::string>(std::to_string(number));
  return state;
}

}  // namespace

class GatewayLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayLoopTest);
  CPPUNIT_TEST(StateIsNotLostWhenTheQueueIsFull);
  CPPUNIT_TEST_SUITE_END();

  void StateIsNotLostWhenTheQueueIsFull() {
    std::promise<void> reading;
    std::promise<void> opened;
    Dialect dialect;
    // Holds the loop's thread at the first manifest until the queue is full.
    dialect.read_manifest = [&](std::string_view text) {
      Manifest manifest;
      manifest.number = std::stoull(std::string(text));
      if (manifest.number == 1) {
        reading.set_value();
        opened.get_future().wait();
      }
      return Result<Manifest>(std::move(manifest));
    };
    auto started = GatewayLoop::Start({}, std::move(dialect), {});
    CPPUNIT_ASSERT(started.ok());
    auto& loop = *started.value();
    loop.SetState(StateWith(1));
    reading.get_future().wait();
    while (loop.Push(PeerMessage{VmId("a"), VmId("b"), PeerTopic::kRegistry,
                                 "not a message"})) {
    }
    loop.SetState(StateWith(2));
    opened.set_value();
    const auto in_force = [&loop] {
      const auto manifest = loop.manifest();
      return manifest != nullptr && manifest->manifest().number == 2;
    };
    for (int n = 0; n < 2'000 && !in_force(); ++n) {
      usleep(10'000);
    }
    CPPUNIT_ASSERT(in_force());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLoopTest);

}  // namespace baobabrun
