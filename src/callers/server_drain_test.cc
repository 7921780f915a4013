// Tests a drain under callers who use open connections and open new ones until
// the server is gone. The sockets are on loopback with ports that the system
// assigns; the times of the drain come from the test.
#include "callers/server_drain.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "callers/http_server.h"
#include "callers/raw_connection_test.h"

namespace baobabrun {
namespace {

constexpr int kRounds = 60;
constexpr int kCallers = 4;
constexpr milliseconds kEndTime{10};
// Longest pause of a caller between two requests.
constexpr int kMaxPauseMs = 30;
constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

ServerDrainOptions DrainOptions() {
  ServerDrainOptions options;
  options.min_time = milliseconds(20);
  options.refuse_after = milliseconds(40);
  options.timeout = seconds(60);
  return options;
}

}  // namespace

class ServerDrainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServerDrainTest);
  CPPUNIT_TEST(AcceptedRequestIsNotCutWhenTheServerEnds);
  CPPUNIT_TEST(RefusesAfterItsTimeAndEndsAfterItsTimeout);
  CPPUNIT_TEST(RequestLateInTheGraceIsRefusedAndNotPassedOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AcceptedRequestIsNotCutWhenTheServerEnds() {
    std::mt19937 random(1);
    for (int n = 0; n < kRounds; ++n) {
      PlayRound(random());
    }
    CPPUNIT_ASSERT(answered_ > kRounds);
    CPPUNIT_ASSERT_EQUAL(0, cut_.load());
  }

  void RefusesAfterItsTimeAndEndsAfterItsTimeout() {
    HttpExchangePtr held;
    std::atomic<bool> holds{false};
    const auto server = StartServer([&](HttpExchangePtr it) {
      held = std::move(it);
      holds = true;
    });
    RawConnection caller(server->address());
    caller.Send(kRequest);
    while (!holds) {
      std::this_thread::yield();
    }
    ServerDrain drain(DrainOptions());
    const Instant start(seconds(100));
    CPPUNIT_ASSERT(!drain.Advance(*server, start));
    drain.Begin(start);
    CPPUNIT_ASSERT(!drain.Advance(*server, start + milliseconds(39)));
    CPPUNIT_ASSERT(!drain.refusing());
    CPPUNIT_ASSERT(!drain.Advance(*server, start + milliseconds(40)));
    CPPUNIT_ASSERT(drain.refusing());
    CPPUNIT_ASSERT(!drain.Advance(*server, start + seconds(59)));
    CPPUNIT_ASSERT(drain.Advance(*server, start + seconds(60)));
  }

  // A request that was accepted in time keeps the server running meanwhile.
  void RequestLateInTheGraceIsRefusedAndNotPassedOn() {
    ServerDrain drain(DrainOptions());
    std::vector<HttpExchangePtr> passed_on;
    std::atomic<std::size_t> accepted{0};
    const auto server = StartServer([&](const HttpExchangePtr& it) {
      if (it->request().path == "/first") {
        it->Respond(200, {}, "first");
      } else if (drain.refusing() || it->reading_was_closed()) {
        it->Respond(503, {}, "refused");
      } else {
        passed_on.push_back(it);
        ++accepted;
      }
    });
    RawConnection kept(server->address());
    kept.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    kept.ReadTo("first");
    RawConnection early(server->address());
    early.Send(kRequest);
    while (accepted == 0) {
      std::this_thread::yield();
    }
    const Instant start(seconds(100));
    drain.Begin(start);
    for (const int ms : {0, 39, 40, 1'000, 30'000, 59'000}) {
      CPPUNIT_ASSERT(!drain.Advance(*server, start + milliseconds(ms)));
      if (ms < 40) {
        continue;
      }
      for (int n = 0; n < 3; ++n) {
        RawConnection late(server->address());
        late.Send(kRequest);
        const auto answer = late.ReadTo("refused");
        CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), answer.substr(0, 12));
      }
    }
    // What crosses the close of an idle connection isn't passed on either.
    kept.Send(kRequest);
    const auto crossed = kept.ReadTo("refused");
    CPPUNIT_ASSERT(crossed.empty() || crossed.starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, accepted.load());
    passed_on.front()->Respond(200, {}, "whole");
    CPPUNIT_ASSERT(early.ReadTo("whole").ends_with("whole"));
  }

 private:
  static std::unique_ptr<HttpServer> StartServer(HttpServer::Handler handler) {
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.name = "test";
    auto server =
        HttpServer::Start(options, std::move(handler), [](HttpExchange&) {});
    CPPUNIT_ASSERT(server.ok());
    return std::move(server.value());
  }

  // Drains a server that passes requests on to a worker, while callers send
  // request after request.
  void PlayRound(std::uint32_t seed) {
    ServerDrain drain(DrainOptions());
    std::atomic<bool> over{false};
    std::vector<std::thread> callers;
    {
      Worker worker(seed);
      const auto server = StartServer([&](const HttpExchangePtr& it) {
        if (drain.refusing() || it->reading_was_closed()) {
          it->Respond(503, {}, "refused");
        } else {
          worker.PassOn(it);
        }
      });
      const auto address = server->address();
      for (int n = 0; n < kCallers; ++n) {
        callers.emplace_back(
            [&, address, n] { SendRequests(address, seed + n, over); });
      }
      const SystemClock clock;
      drain.Begin(clock.Now());
      while (!drain.Advance(*server, clock.Now())) {
        std::this_thread::sleep_for(milliseconds(1));
      }
      // The end of a process takes time, too.
      std::this_thread::sleep_for(kEndTime);
    }
    over = true;
    for (auto& it : callers) {
      it.join();
    }
  }

  // Begins each answer with "passed on" and ends it after a random time.
  class Worker {
   public:
    explicit Worker(std::uint32_t seed)
        : random_(seed), thread_([this] { Run(); }) {}
    ~Worker() {
      stopping_ = true;
      thread_.join();
    }
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    void PassOn(const HttpExchangePtr& exchange) {
      exchange->Begin(200, {});
      exchange->Write("passed on");
      const std::lock_guard lock(mutex_);
      due_.emplace(clock_.Now() + milliseconds(random_() % 8), exchange);
    }

   private:
    void Run() {
      while (!stopping_) {
        std::this_thread::sleep_for(std::chrono::microseconds(200));
        const std::lock_guard lock(mutex_);
        const auto end = due_.upper_bound(clock_.Now());
        for (auto it = due_.begin(); it != end; it = due_.erase(it)) {
          it->second->End(true);
        }
      }
    }

    const SystemClock clock_;
    std::mutex mutex_;  // guards the next two
    std::mt19937 random_;
    std::multimap<Instant, HttpExchangePtr> due_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
  };

  void SendRequests(const Address& address,
                    std::uint32_t seed,
                    const std::atomic<bool>& over) {
    std::mt19937 random(seed);
    const bool reuse = seed % 2 == 0;
    std::unique_ptr<RawConnection> connection;
    while (!over) {
      std::this_thread::sleep_for(milliseconds(random() % kMaxPauseMs));
      if (connection == nullptr || !reuse) {
        connection = RawConnection::TryOpen(address);
        if (connection == nullptr) {
          continue;
        }
      }
      connection->Send(kRequest);
      const auto answer = connection->ReadTo("0\r\n\r\n");
      if (answer.find("passed on") == std::string::npos) {
        connection = nullptr;
      } else if (answer.ends_with("\r\n0\r\n\r\n")) {
        ++answered_;
      } else {
        ++cut_;
      }
    }
  }

  std::atomic<int> answered_{0};
  std::atomic<int> cut_{0};
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServerDrainTest);

}  // namespace baobabrun
