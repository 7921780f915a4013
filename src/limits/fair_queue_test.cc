// Tests of the fair queue: a table of senders, and random operations that check
// invariants.
#include "limits/fair_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace baobabrun {
namespace {

constexpr Instant kStart{seconds(1)};

bool Always(const QueuedRequest& /*request*/) {
  return true;
}

QueuedRequest Make(std::uint64_t id,
                   const std::string& organisation,
                   std::int64_t cost,
                   std::uint32_t weight = 1) {
  QueuedRequest request;
  request.request = RequestId(id);
  request.organisation = OrganisationId(organisation);
  request.cost = cost;
  request.weight = weight;
  request.deadline = kStart + seconds(3600);
  return request;
}

struct Sender {
  std::int64_t percent;  // of the server's capacity
  std::int64_t cost;     // of one request
  std::uint32_t weight;
};

// Returns the tokens that each sender gets served in 200 s by a server of
// 10,000 tokens/s.
std::vector<std::int64_t> Serve(const std::vector<Sender>& senders) {
  constexpr std::int64_t kCapacity = 10'000;
  constexpr int kSteps = 2'000;  // of 100 ms
  FairQueue queue({.capacity = 256, .quantum = 1024});
  std::vector<std::int64_t> due(senders.size());
  std::vector<std::int64_t> served(senders.size());
  std::uint64_t id = 0;
  std::int64_t budget = 0;
  Instant now = kStart;
  for (int step = 0; step < kSteps; ++step) {
    now += milliseconds(100);
    for (std::size_t i = 0; i < senders.size(); ++i) {
      due[i] += kCapacity / 10 * senders[i].percent / 100;
      while (due[i] >= senders[i].cost) {
        due[i] -= senders[i].cost;
        auto request =
            Make(++id, std::to_string(i), senders[i].cost, senders[i].weight);
        request.deadline = now + seconds(5);
        queue.Push(request, now);
      }
    }
    queue.Expire(now);
    budget = std::min(budget + kCapacity / 10, kCapacity);
    while (budget > 0) {
      const auto request = queue.Pop(Always, now);
      if (!request) {
        break;
      }
      budget -= request->cost;
      served[std::stoul(request->organisation.value())] += request->cost;
    }
  }
  return served;
}

}  // namespace

class FairQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FairQueueTest);
  CPPUNIT_TEST(FloodingSenderLeavesOthersTheirShare);
  CPPUNIT_TEST(SaturatedServerIsDividedByWeight);
  CPPUNIT_TEST(HigherClassGoesFirst);
  CPPUNIT_TEST(BlockedFlowDoesNotDelayOthers);
  CPPUNIT_TEST(ExpiredRequestsAreNotReturned);
  CPPUNIT_TEST(RandomOperationsKeepInvariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FloodingSenderLeavesOthersTheirShare() {
    // The first sender sends several times its share, each other sender at most
    // its share.
    const std::vector<std::vector<Sender>> rows = {
        {{100, 500, 1}, {20, 500, 1}, {20, 500, 1}, {20, 500, 1}, {20, 500, 1}},
        {{500, 100, 1}, {45, 4'000, 1}},
        {{500, 8'000, 1}, {45, 100, 1}},
        {{1'000, 500, 1}, {30, 500, 1}, {30, 3'000, 1}},
        {{500, 500, 1}, {70, 500, 3}},
        {{300, 500, 1}, {300, 500, 1}, {30, 700, 1}},
    };
    for (std::size_t i = 0; i < rows.size(); ++i) {
      const auto together = Serve(rows[i]);
      std::int64_t sum = 0;
      for (std::size_t j = 0; j < rows[i].size(); ++j) {
        const auto alone = Serve({rows[i][j]});
        const std::string label =
            "row " + std::to_string(i) + " sender " + std::to_string(j) + ": " +
            std::to_string(together[j]) + " of " + std::to_string(alone[0]);
        sum += together[j];
        if (rows[i][j].percent <= 70) {
          CPPUNIT_ASSERT_MESSAGE(label, together[j] * 100 >= alone[0] * 95);
        }
      }
      // The server can serve 2,000,000 tokens in all and must never be idle.
      CPPUNIT_ASSERT_MESSAGE("row " + std::to_string(i), sum >= 1'980'000);
    }
  }

  void SaturatedServerIsDividedByWeight() {
    const auto served = Serve({{300, 500, 1}, {300, 2'000, 3}});
    CPPUNIT_ASSERT(served[1] * 100 >= served[0] * 285);
    CPPUNIT_ASSERT(served[1] * 100 <= served[0] * 315);
  }

  void HigherClassGoesFirst() {
    FairQueue queue;
    auto batch = Make(1, "a", 10);
    batch.priority = PriorityClass::kBatch;
    queue.Push(batch, kStart);
    auto interactive = Make(2, "b", 10);
    interactive.priority = PriorityClass::kInteractive;
    queue.Push(interactive, kStart);
    CPPUNIT_ASSERT(queue.Pop(Always, kStart)->request == RequestId(2));
    CPPUNIT_ASSERT(queue.Pop(Always, kStart)->request == RequestId(1));
    CPPUNIT_ASSERT(queue.empty());
  }

  void BlockedFlowDoesNotDelayOthers() {
    FairQueue queue;
    queue.Push(Make(1, "a", 10), kStart);
    queue.Push(Make(2, "a", 10), kStart);
    queue.Push(Make(3, "b", 90'000), kStart);
    int asked = 0;
    const auto request = queue.Pop(
        [&asked](const QueuedRequest& it) {
          ++asked;
          return it.organisation == OrganisationId("b");
        },
        kStart);
    CPPUNIT_ASSERT(request->request == RequestId(3));
    CPPUNIT_ASSERT(asked <= 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, queue.size());
  }

  void ExpiredRequestsAreNotReturned() {
    FairQueue queue;
    auto soon = Make(1, "a", 10);
    soon.deadline = kStart + seconds(1);
    queue.Push(soon, kStart);
    queue.Push(Make(2, "b", 10), kStart);
    CPPUNIT_ASSERT(*queue.NextDeadline() == kStart + seconds(1));
    const auto late = kStart + seconds(1);
    CPPUNIT_ASSERT(queue.Pop(Always, late)->request == RequestId(2));
    const auto expired = queue.Expire(late);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, expired.size());
    CPPUNIT_ASSERT(expired[0] == RequestId(1));
    CPPUNIT_ASSERT(!queue.NextDeadline());
  }

  // Every request is removed exactly once, the number of queued requests stays
  // bounded, and Pop returns a request whenever one can run.
  void RandomOperationsKeepInvariants() {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      RunRandomOperations(seed);
    }
  }

 private:
  static void RunRandomOperations(std::uint64_t seed) {
    const std::string label = "seed " + std::to_string(seed);
    std::mt19937_64 random(seed);
    constexpr std::size_t kCapacity = 32;
    FairQueue queue({.capacity = kCapacity, .quantum = 100});
    std::map<RequestId, QueuedRequest> queued_requests;
    const auto expect_removed = [&](RequestId id) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, std::size_t{1},
                                   queued_requests.erase(id));
    };
    Instant now = kStart;
    for (std::uint64_t i = 1; i <= 2'000; ++i) {
      now += milliseconds(random() % 10);
      switch (random() % 5) {
        case 0:
        case 1:
        case 2: {
          auto request = Make(i, std::to_string(random() % 4),
                              static_cast<std::int64_t>(random() % 500) + 1,
                              static_cast<std::uint32_t>(random() % 3) + 1);
          request.priority = static_cast<PriorityClass>(random() % 3);
          request.deadline = now + milliseconds(random() % 200);
          queued_requests[request.request] = request;
          for (const auto id : queue.Push(request, now)) {
            expect_removed(id);
          }
          break;
        }
        case 3: {
          const auto allowed = std::to_string(random() % 4);
          const auto popped = queue.Pop(
              [&allowed](const QueuedRequest& it) {
                return it.organisation.value() <= allowed;
              },
              now);
          if (popped) {
            CPPUNIT_ASSERT_MESSAGE(label, popped->deadline > now);
            CPPUNIT_ASSERT_MESSAGE(label,
                                   popped->organisation.value() <= allowed);
            expect_removed(popped->request);
          }
          break;
        }
        default:
          for (const auto id : queue.Expire(now)) {
            CPPUNIT_ASSERT_MESSAGE(label,
                                   queued_requests.at(id).deadline <= now);
            expect_removed(id);
          }
          if (!queued_requests.empty() && random() % 4 == 0) {
            const auto id = queued_requests.begin()->first;
            CPPUNIT_ASSERT_MESSAGE(label, queue.Remove(id));
            expect_removed(id);
          }
          // After Expire no request is past its deadline, so one can run.
          if (!queued_requests.empty()) {
            const auto any = queue.Pop(Always, now);
            CPPUNIT_ASSERT_MESSAGE(label, any.has_value());
            expect_removed(any->request);
          }
          break;
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(label, queued_requests.size(), queue.size());
      CPPUNIT_ASSERT_MESSAGE(label, queue.size() <= kCapacity);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FairQueueTest);

}  // namespace baobabrun
