// Tests how a VM's process ends while operators' calls are under way. The
// sockets are on loopback with ports that the system assigns.
#include "serve/serve_process.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/hash.h"
#include "callers/raw_connection_test.h"

namespace baobabrun {
namespace {

constexpr char kKey[] = "operators";
constexpr char kSalt[] = "salt";
// No leader is found within the time of the change.
const std::string kUnknown = "HTTP/1.1 504";
constexpr std::string_view kBody =
    R"({"operation_id": "a", "endpoint": "engine"})";
// The process is asked to stop after this time, when the change is under way.
constexpr milliseconds kStopAfter{300};
constexpr milliseconds kBetweenSignals{100};

}  // namespace

class ServeProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ServeProcessTest);
  CPPUNIT_TEST(ChangeUnderWayIsAnsweredWhenTheProcessEnds);
  CPPUNIT_TEST(FurtherSignalsDuringAStopChangeNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("baobabrun-serve-" + ToHex(RandomBytes(8)));
    std::filesystem::create_directories(folder_);
  }
  void tearDown() override { std::filesystem::remove_all(folder_); }

  void ChangeUnderWayIsAnsweredWhenTheProcessEnds() {
    CPPUNIT_ASSERT_EQUAL(kUnknown, AnswerAfterSignals({SIGTERM}));
  }

  void FurtherSignalsDuringAStopChangeNothing() {
    CPPUNIT_ASSERT_EQUAL(kUnknown, AnswerAfterSignals({SIGTERM, SIGTERM, SIGHUP,
                                                       SIGINT, SIGHUP}));
  }

 private:
  // A replica whose only peer is down, so that no change is committed.
  ProcessSettings Settings() const {
    const Address any{"127.0.0.1", 0};
    ProcessSettings settings;
    settings.vm = VmId("a");
    settings.zone = ZoneId("z");
    settings.region = RegionId("r");
    settings.callers = any;
    settings.operators = any;
    settings.peers = any;
    for (const auto* it : {"a", "b"}) {
      PeerSettings peer;
      peer.vm = VmId(it);
      peer.zone = settings.zone;
      peer.region = settings.region;
      peer.address = {"127.0.0.1", 1};
      peer.control = true;
      settings.fleet.push_back(peer);
    }
    settings.control = true;
    settings.data_dir = folder_ / "log";
    settings.key_salt = kSalt;
    const auto hash = HashKey(kKey, kSalt);
    settings.operator_key_hash = ToHex(std::string(hash.begin(), hash.end()));
    return settings;
  }

  // Proposes a change and then sends the process signals, with a pause between
  // two of them. Returns the version and status of the answer to the change.
  std::string AnswerAfterSignals(const std::vector<int>& signals) {
    auto started = ServeProcess::Start(Settings());
    CPPUNIT_ASSERT(started.ok());
    auto process = std::move(started.value());
    RawConnection connection(process->operators());
    auto ended = std::async(std::launch::async, [&process] {
      process->Run();
      process.reset();
    });
    connection.Send("POST /operator/endpoints/retire HTTP/1.1\r\nHost: h\r\n" +
                    ("Authorization: Bearer " + std::string(kKey)) +
                    "\r\nContent-Length: " + std::to_string(kBody.size()) +
                    "\r\n\r\n" + std::string(kBody));
    std::this_thread::sleep_for(kStopAfter);
    for (const int it : signals) {
      kill(getpid(), it);
      std::this_thread::sleep_for(kBetweenSignals);
    }
    auto answer = connection.ReadTo("\r\n\r\n");
    ended.get();
    return answer.substr(0, kUnknown.size());
  }

  std::filesystem::path folder_;
};
CPPUNIT_TEST_SUITE_REGISTRATION(ServeProcessTest);

}  // namespace baobabrun
