// Tests of the simulated engine with times that the tests choose.
#include "standin/engine.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>
#include <random>
#include <set>
#include <string>

#include "standin/standin_error.h"

namespace baobabrun::standin {
namespace {

using Kind = EngineOutput::Kind;

constexpr Instant kStart{seconds(1)};

// Prefill takes 1 ms for each token. A decoding step takes 10 ms, and 1 ms more
// for each request after the first. A block has 10 tokens.
EngineOptions TestOptions() {
  EngineOptions options;
  options.slots = 2;
  options.block_tokens = 10;
  options.prefill_per_token = milliseconds(1);
  options.decode_step = milliseconds(10);
  options.decode_per_request = milliseconds(1);
  options.cache.capacity_blocks = 4;
  return options;
}

std::unique_ptr<Engine> Make(const EngineOptions& options,
                             std::uint64_t seed = 1) {
  auto engine = Engine::Create(options, seed);
  CPPUNIT_ASSERT(engine.ok());
  return std::move(engine.value());
}

EngineRequest MakeRequest(std::uint64_t id,
                          std::vector<BlockHash> blocks,
                          std::int64_t output_tokens = 3) {
  EngineRequest request;
  request.id = AttemptId(id);
  request.prompt_tokens = static_cast<std::int64_t>(blocks.size()) * 10;
  request.blocks = std::move(blocks);
  request.output_tokens = output_tokens;
  return request;
}

// Returns the outputs as "KIND ID@MS;", with the time in ms since kStart, for
// comparison in tests.
std::string Trace(const std::vector<EngineOutput>& outputs) {
  std::string text;
  for (const auto& it : outputs) {
    constexpr const char* kNames[] = {"start", "token", "finish", "crash"};
    const auto at = std::chrono::duration_cast<milliseconds>(it.at - kStart);
    text += kNames[static_cast<int>(it.kind)];
    text += " " + std::to_string(it.id.value()) + "@" +
            std::to_string(at.count()) + ";";
  }
  return text;
}

std::int64_t CachedTokens(const std::vector<EngineOutput>& outputs,
                          std::uint64_t id) {
  for (const auto& it : outputs) {
    if (it.kind == Kind::kStarted && it.id == AttemptId(id)) {
      return it.cached_tokens;
    }
  }
  return -1;
}

std::vector<CacheEvent> TakeAll(Engine& engine,
                                Instant now,
                                std::vector<std::uint64_t>* numbers) {
  std::vector<CacheEvent> out;
  for (auto events = engine.TakeEvents(now); !events.items.empty();
       events = engine.TakeEvents(now)) {
    for (std::size_t n = 0; n < events.items.size(); ++n) {
      out.push_back(events.items[n]);
      numbers->push_back(events.first + n);
    }
  }
  return out;
}

}  // namespace

class EngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineTest);
  CPPUNIT_TEST(InvalidOptionsAreRefused);
  CPPUNIT_TEST(PrefillIsFollowedByDecodingStepsOfTheBatch);
  CPPUNIT_TEST(CachedBlocksAreNotPrefilled);
  CPPUNIT_TEST(LeastRecentlyUsedBlockIsEvictedFirst);
  CPPUNIT_TEST(HigherPriorityLeavesTheQueueFirst);
  CPPUNIT_TEST(CancelFreesTheSlot);
  CPPUNIT_TEST(FullQueueAndDuplicatesAreRefused);
  CPPUNIT_TEST(EventsAreDelayedAndNumbered);
  CPPUNIT_TEST(LostEventsLeaveGaps);
  CPPUNIT_TEST(LoadReportsAreDelayed);
  CPPUNIT_TEST(CrashDropsRequestsAndBlocks);
  CPPUNIT_TEST(PoisonRequestCrashesTheEngine);
  CPPUNIT_TEST(RandomRequestsFinishOnceAndInOrder);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidOptionsAreRefused() {
    auto options = TestOptions();
    options.slots = 0;
    const auto engine = Engine::Create(options, 1);
    CPPUNIT_ASSERT(!engine.ok());
    CPPUNIT_ASSERT(engine.error().code == StandinError::kInvalidOption);
  }

  void PrefillIsFollowedByDecodingStepsOfTheBatch() {
    const auto engine = Make(TestOptions());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}), kStart).ok());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(2, {2}, 1), kStart).ok());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(3, {3}, 2), kStart).ok());
    // Request 2 is prefilled while 1 decodes; 3 waits for a slot.
    CPPUNIT_ASSERT_EQUAL(
        std::string("start 1@0;token 1@10;start 2@10;token 2@20;finish 2@20;"
                    "start 3@20;token 1@20;token 3@30;token 1@30;finish 1@30;"
                    "token 3@40;finish 3@40;"),
        Trace(engine->Advance(kStart + seconds(1))));
    CPPUNIT_ASSERT(!engine->NextEvent());
  }

  void CachedBlocksAreNotPrefilled() {
    const auto engine = Make(TestOptions());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1, 2}, 1), kStart).ok());
    engine->Advance(kStart + seconds(1));
    const auto later = kStart + seconds(1);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(2, {1, 2, 3}, 1), later).ok());
    const auto outputs = engine->Advance(later + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{20}, CachedTokens(outputs, 2));
    CPPUNIT_ASSERT_EQUAL(
        std::string("start 2@1000;token 2@1010;finish 2@1010;"),
        Trace(outputs));
  }

  void LeastRecentlyUsedBlockIsEvictedFirst() {
    const auto engine = Make(TestOptions());
    auto now = kStart;
    const std::vector<std::vector<BlockHash>> chains = {
        {1, 2}, {3, 4}, {1, 5}, {3}};
    // Storing {1, 5} evicts block 2, which is the least recently used because
    // it is the last of the oldest chain. Block 4 would be evicted next.
    for (std::size_t n = 0; n < chains.size(); ++n) {
      CPPUNIT_ASSERT(
          engine->Submit(MakeRequest(n + 1, chains[n], 1), now).ok());
      now += seconds(1);
      engine->Advance(now);
    }
    CPPUNIT_ASSERT(engine->cache().Contains(1));
    CPPUNIT_ASSERT(!engine->cache().Contains(2));
    CPPUNIT_ASSERT(engine->cache().Contains(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, engine->cache().size());
  }

  void HigherPriorityLeavesTheQueueFirst() {
    auto options = TestOptions();
    options.slots = 1;
    const auto engine = Make(options);
    for (std::uint64_t id = 1; id <= 3; ++id) {
      auto request = MakeRequest(id, {}, 1);
      request.prompt_tokens = 10;
      request.priority = id == 3 ? 0 : 2;
      CPPUNIT_ASSERT(engine->Submit(request, kStart).ok());
    }
    CPPUNIT_ASSERT_EQUAL(
        std::string("start 1@0;token 1@10;finish 1@10;start 3@10;token 3@20;"
                    "finish 3@20;start 2@20;token 2@30;finish 2@30;"),
        Trace(engine->Advance(kStart + seconds(1))));
  }

  void CancelFreesTheSlot() {
    auto options = TestOptions();
    options.slots = 1;
    const auto engine = Make(options);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}), kStart).ok());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(2, {2}, 1), kStart).ok());
    CPPUNIT_ASSERT(engine->Cancel(AttemptId(1), kStart + milliseconds(5)));
    CPPUNIT_ASSERT(!engine->Cancel(AttemptId(1), kStart + milliseconds(5)));
    CPPUNIT_ASSERT_EQUAL(
        std::string("start 1@0;start 2@5;token 2@15;finish 2@15;"),
        Trace(engine->Advance(kStart + seconds(1))));
  }

  void FullQueueAndDuplicatesAreRefused() {
    auto options = TestOptions();
    options.slots = 1;
    options.queue_limit = 1;
    const auto engine = Make(options);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}), kStart).ok());
    const auto doubled = engine->Submit(MakeRequest(1, {1}), kStart);
    CPPUNIT_ASSERT(doubled.error().code == StandinError::kDuplicate);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(2, {1}), kStart).ok());
    const auto full = engine->Submit(MakeRequest(3, {1}), kStart);
    CPPUNIT_ASSERT(full.error().code == StandinError::kQueueFull);
  }

  void EventsAreDelayedAndNumbered() {
    auto options = TestOptions();
    options.cache.event_delay = seconds(2);
    const auto engine = Make(options);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1, 2}, 1), kStart).ok());
    engine->Advance(kStart + seconds(1));
    CPPUNIT_ASSERT(engine->TakeEvents(kStart + seconds(1)).items.empty());
    const auto events = engine->TakeEvents(kStart + seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, events.first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.items.size());
    CPPUNIT_ASSERT(events.items[0].op == CacheEvent::Op::kStore);
  }

  void LostEventsLeaveGaps() {
    auto options = TestOptions();
    options.cache.event_loss_ppm = 300'000;
    const auto engine = Make(options, 7);
    std::vector<BlockHash> blocks(1000);
    std::iota(blocks.begin(), blocks.end(), 1);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, blocks, 1), kStart).ok());
    engine->Advance(kStart + seconds(60));
    std::vector<std::uint64_t> numbers;
    const auto events = TakeAll(*engine, kStart + seconds(60), &numbers);
    // The cache of 4 blocks numbered 1,000 stores and 996 evictions.
    CPPUNIT_ASSERT(events.size() > 1200 && events.size() < 1600);
    CPPUNIT_ASSERT(numbers.back() <= 1996);
    CPPUNIT_ASSERT(std::is_sorted(numbers.begin(), numbers.end()));
  }

  void LoadReportsAreDelayed() {
    auto options = TestOptions();
    options.slots = 1;
    options.load_lag = seconds(1);
    const auto engine = Make(options);
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}, 1000), kStart).ok());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(2, {1}), kStart).ok());
    CPPUNIT_ASSERT_EQUAL(0, engine->ReportedLoad(kStart).running);
    const auto later = kStart + seconds(1);
    CPPUNIT_ASSERT_EQUAL(1, engine->ReportedLoad(later).running);
    CPPUNIT_ASSERT_EQUAL(1, engine->ReportedLoad(later).queued);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10},
                         engine->ReportedLoad(later).queued_tokens);
  }

  void CrashDropsRequestsAndBlocks() {
    const auto engine = Make(TestOptions());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}), kStart).ok());
    engine->Advance(kStart + milliseconds(10));
    const auto lost = engine->Crash(kStart + milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, engine->incarnation());
    CPPUNIT_ASSERT(!engine->NextEvent());
    const auto later = kStart + seconds(1);
    CPPUNIT_ASSERT(engine->TakeEvents(later).items.empty());
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}, 1), later).ok());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         CachedTokens(engine->Advance(later), 1));
    engine->Advance(later + seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         engine->TakeEvents(later + seconds(1)).first);
  }

  void PoisonRequestCrashesTheEngine() {
    const auto engine = Make(TestOptions());
    auto poison = MakeRequest(2, {2});
    poison.poison = true;
    CPPUNIT_ASSERT(engine->Submit(MakeRequest(1, {1}, 100), kStart).ok());
    CPPUNIT_ASSERT(engine->Submit(poison, kStart).ok());
    CPPUNIT_ASSERT_EQUAL(
        std::string("start 1@0;token 1@10;start 2@10;crash 2@20;"),
        Trace(engine->Advance(kStart + seconds(1))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, engine->incarnation());
  }

  // Submits and cancels requests at random. Each request that isn't cancelled
  // must produce each of its tokens once, in order, and finish once.
  void RandomRequestsFinishOnceAndInOrder() {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      CheckRandomRequests(seed);
    }
  }

 private:
  void CheckRandomRequests(std::uint64_t seed) {
    const std::string label = "seed " + std::to_string(seed);
    constexpr std::uint64_t kRequests = 200;
    std::mt19937_64 random(seed);
    const auto engine = Make(TestOptions(), seed);
    std::vector<std::int64_t> tokens(kRequests + 1);
    std::set<std::uint64_t> open;
    auto now = kStart;
    const auto collect = [&] {
      for (const auto& it : engine->Advance(now)) {
        const auto id = it.id.value();
        CPPUNIT_ASSERT_MESSAGE(label, open.contains(id));
        CPPUNIT_ASSERT_MESSAGE(label, it.at <= now);
        if (it.kind == Kind::kToken) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(label, ++tokens[id], it.token);
        } else if (it.kind == Kind::kFinished) {
          CPPUNIT_ASSERT_EQUAL_MESSAGE(label, LengthOf(id), tokens[id]);
          open.erase(id);
        }
      }
    };
    for (std::uint64_t id = 1; id <= kRequests; ++id) {
      open.insert(id);
      const std::vector<BlockHash> blocks(random() % 3, random() % 5);
      auto request = MakeRequest(id, blocks, LengthOf(id));
      request.priority = static_cast<std::int32_t>(random() % 3);
      CPPUNIT_ASSERT(engine->Submit(request, now).ok());
      now += milliseconds(random() % 60);
      collect();
      const auto victim = 1 + random() % id;
      if (random() % 5 == 0 && engine->Cancel(AttemptId(victim), now)) {
        collect();
        open.erase(victim);
      }
    }
    while (const auto next = engine->NextEvent()) {
      now = *next;
      collect();
    }
    CPPUNIT_ASSERT_MESSAGE(label, open.empty());
  }

  static std::int64_t LengthOf(std::uint64_t id) {
    return static_cast<std::int64_t>(1 + id % 7);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);

}  // namespace baobabrun::standin
