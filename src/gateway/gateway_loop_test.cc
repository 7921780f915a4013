// Tests the loop's queue and what is handed to the loop beside it.
#include "gateway/gateway_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "endpoints/scripted_endpoint_test.h"

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
  CPPUNIT_TEST(CacheIsQueriedAgainAfterAnAnswerWithoutEnd);
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
    CPPUNIT_ASSERT(WaitFor(in_force));
  }

  void CacheIsQueriedAgainAfterAnAnswerWithoutEnd() {
    ScriptedEndpoint store(
        {{"HTTP/1.1 200 OK\r\n\r\n", ScriptedAnswer::End::kHold, "a", true}});
    std::atomic<int> queries{0};
    Dialect dialect;
    dialect.read_manifest = [&store](std::string_view) {
      Manifest manifest;
      manifest.number = 1;
      ManifestService service;
      service.service = "store";
      service.cache_store = true;
      service.store_address = store.address();
      manifest.services.push_back(std::move(service));
      return Result<Manifest>(std::move(manifest));
    };
    dialect.write_cache_call = [&queries](std::uint64_t, Duration) {
      ++queries;
      return EndpointCall{"GET", "/", {}, ""};
    };
    GatewayLoopOptions options;
    options.entry = true;
    GatewayLoopHooks hooks;
    hooks.send = [](const PeerMessage&) { return true; };
    auto started = GatewayLoop::Start(std::move(options), std::move(dialect),
                                      std::move(hooks));
    CPPUNIT_ASSERT(started.ok());
    started.value()->SetState(StateWith(1));
    CPPUNIT_ASSERT(WaitFor([&queries] { return queries == 2; }));
  }

 private:
  // Waits until `done` returns true or it takes far too long.
  template <class Done>
  static bool WaitFor(Done done) {
    for (int n = 0; n < 2'000 && !done(); ++n) {
      usleep(10'000);
    }
    return done();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLoopTest);

}  // namespace baobabrun
