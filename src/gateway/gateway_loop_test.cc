// Tests the loop's queue and what is handed to the loop beside it.
#include "gateway/gateway_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

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
  CPPUNIT_TEST(AnswerToACallersCallIsNotTakenForThatOfAQuery);
  CPPUNIT_TEST(CacheIsNotQueriedAgainAfterTheAnswerOfAnEndpointThatLeaves);
  CPPUNIT_TEST(StoredReportOfAServiceThatNoManifestNamesTakesNothing);
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
    const auto loop = QueryCache(
        {{"HTTP/1.1 200 OK\r\n\r\n", ScriptedAnswer::End::kHold, "a", true}});
    CPPUNIT_ASSERT(WaitFor([this] { return queries_ == 2; }));
  }

  void AnswerToACallersCallIsNotTakenForThatOfAQuery() {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
    const auto loop =
        QueryCache({{answer + "Of-Call: 1\r\n\r\na"}, {answer + "\r\nb"}});
    CPPUNIT_ASSERT(WaitFor([this] { return updates_read_ == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), update_read_.get_future().get());
  }

  void CacheIsNotQueriedAgainAfterTheAnswerOfAnEndpointThatLeaves() {
    engine_ = std::make_unique<ScriptedEndpoint>(std::vector<ScriptedAnswer>{
        {"HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 1\r\n\r\na"}});
    const auto loop =
        QueryCache({{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"}});
    CPPUNIT_ASSERT(WaitFor([this] { return store_->ended() >= 5; }));
    CPPUNIT_ASSERT_EQUAL(1, engine_->ended());
  }

  // Guards against reports of another writer that a VM finds on its disk.
  void StoredReportOfAServiceThatNoManifestNamesTakesNothing() {
    const ScriptedAnswer answer{
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb"};
    engine_ =
        std::make_unique<ScriptedEndpoint>(std::vector<ScriptedAnswer>{answer});
    EndpointRecord claim;
    claim.endpoint = EndpointId("x");
    claim.service = "billing";
    claim.address = engine_->address();
    claim.incarnation = Incarnation(2);
    more_endpoints_ = {claim};
    const auto loop = QueryCache({answer});
    CPPUNIT_ASSERT(WaitFor([this] { return engine_->ended() >= 1; }));
  }

 private:
  // Returns a loop that queries a store, which gives these answers, and
  // engine_, if it is set.
  std::unique_ptr<GatewayLoop> QueryCache(std::vector<ScriptedAnswer> answers) {
    store_ = std::make_unique<ScriptedEndpoint>(std::move(answers));
    Dialect dialect;
    dialect.read_manifest = [this](std::string_view) {
      Manifest manifest;
      manifest.number = 1;
      ManifestService service;
      service.service = "store";
      service.cache_store = true;
      service.store_address = store_->address();
      manifest.services.push_back(std::move(service));
      ManifestService engines;
      engines.service = "engines";
      engines.model_engines = true;
      manifest.services.push_back(std::move(engines));
      return Result<Manifest>(std::move(manifest));
    };
    dialect.write_cache_call = [this](std::uint64_t, Duration) {
      ++queries_;
      return EndpointCall{"GET", "/", {}, ""};
    };
    dialect.answers_callers_call = [](const std::vector<Header>& headers) {
      return std::any_of(headers.begin(), headers.end(),
                         [](const auto& it) { return it.name == "of-call"; });
    };
    dialect.read_notice = [](int, const std::vector<Header>& headers) {
      AnswerNotice notice;
      notice.leaving =
          std::any_of(headers.begin(), headers.end(),
                      [](const auto& it) { return it.name == "leaving"; });
      return notice;
    };
    dialect.read_cache_update = [this](std::string_view body) {
      if (++updates_read_ == 1) {
        update_read_.set_value(std::string(body));
      }
      return Result<CacheUpdate>(CacheUpdate());
    };
    GatewayLoopOptions options;
    options.entry = true;
    if (engine_ != nullptr) {
      EndpointRecord record;
      record.endpoint = EndpointId("e");
      record.service = "engines";
      record.address = engine_->address();
      record.incarnation = Incarnation(1);
      options.stored_endpoints = more_endpoints_;
      options.stored_endpoints.push_back(record);
    }
    GatewayLoopHooks hooks;
    hooks.send = [](const PeerMessage&) { return true; };
    auto started = GatewayLoop::Start(std::move(options), std::move(dialect),
                                      std::move(hooks));
    CPPUNIT_ASSERT(started.ok());
    started.value()->SetState(StateWith(1));
    return std::move(started.value());
  }

  // Waits until `done` returns true or it takes far too long.
  template <class Done>
  static bool WaitFor(Done done) {
    for (int n = 0; n < 2'000 && !done(); ++n) {
      usleep(10'000);
    }
    return done();
  }

  std::unique_ptr<ScriptedEndpoint> store_;
  std::unique_ptr<ScriptedEndpoint> engine_;    // null unless a test sets it
  std::vector<EndpointRecord> more_endpoints_;  // known beside engine_
  std::atomic<int> queries_{0};
  std::atomic<int> updates_read_{0};
  std::promise<std::string> update_read_;  // body of the first one
};
CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLoopTest);

}  // namespace baobabrun
