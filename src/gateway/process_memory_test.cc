// Tests that a VM's process stays within its memory limit, whatever callers
// fill. A program of its own, since it measures the whole process.
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/memory_budget.h"
#include "gateway/gateway_process.h"

namespace baobabrun {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;

// Sanitizers keep freed memory and surround each block with more. Under them
// only the answers are checked, with a limit that the bodies still exceed.
#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false;
constexpr std::size_t kLimitMb = 1'000;
#else
constexpr bool kMeasuresMemory = true;
constexpr std::size_t kLimitMb = 88;
#endif

class Connection {
 public:
  explicit Connection(const Address& to)
      : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const timeval timeout{2, 0};
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    connected_ = connect(fd_, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address)) == 0;
  }
  ~Connection() { close(fd_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns false if the other side doesn't take all bytes.
  bool Send(std::string_view bytes) const {
    while (connected_ && !bytes.empty()) {
      const auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return connected_;
  }
  // The begin of the answer; empty if none comes.
  std::string Receive() const {
    char buf[4'096];
    const auto n = recv(fd_, buf, sizeof(buf), 0);
    return n <= 0 ? std::string() : std::string(buf, static_cast<size_t>(n));
  }

 private:
  const int fd_;
  bool connected_ = false;
};

std::string HeadWithLength(std::size_t n) {
  return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(n) +
         "\r\n\r\n";
}

}  // namespace

class ProcessMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProcessMemoryTest);
  CPPUNIT_TEST(UnfinishedRequestsDoNotFillTheProcess);
  CPPUNIT_TEST(ManyConnectionsDoNotFillTheProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    // Resets the highest memory of the process.
    std::ofstream("/proc/self/clear_refs") << 5;
    ProcessSettings settings;
    settings.vm = VmId("127.0.0.1:1");
    settings.zone = ZoneId("z");
    settings.region = RegionId("r");
    settings.callers = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", 0};
    settings.peers = {"127.0.0.1", 0};
    settings.seeds = {{"127.0.0.1", 1}};
    settings.max_connections = 3'000;
    settings.memory_limit_mb = kLimitMb;
    settings.gateway.enabled = true;
    Dialect dialect;
    dialect.read_call = [](const HttpRequest& /*request*/) {
      return ParsedCall{nullptr,
                        {RefusalReason::kUnknownRoute, "no route", true, {}}};
    };
    dialect.write_refusal = [](HttpExchange& exchange, const Refusal& refusal) {
      exchange.Respond(
          refusal.reason == RefusalReason::kUnknownRoute ? 404 : 503, {}, "");
    };
    auto started = GatewayProcess::Start(std::move(settings), dialect);
    CPPUNIT_ASSERT(started.ok());
    process_ = std::move(started.value());
    loop_ = std::thread([this] { process_->Run(); });
  }

  void tearDown() override {
    kill(getpid(), SIGTERM);
    loop_.join();
    process_.reset();
  }

  void UnfinishedRequestsDoNotFillTheProcess() {
    constexpr std::size_t kBody = 4'000'000;
    const std::string most(kBody - 1, 'x');
    std::vector<std::unique_ptr<Connection>> connections;
    for (int n = 0; n < 60; ++n) {
      auto& it = connections.emplace_back(
          std::make_unique<Connection>(process_->callers()));
      if (it->Send(HeadWithLength(kBody))) {
        it->Send(most);
      }
    }
    CheckMemory();
    CheckServes(1'000);
    connections.clear();
    CheckServes(0);
  }

  void ManyConnectionsDoNotFillTheProcess() {
    const std::string head =
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(14'000, 'x');
    std::vector<std::unique_ptr<Connection>> connections;
    for (int n = 0; n < 2'500; ++n) {
      connections
          .emplace_back(std::make_unique<Connection>(process_->callers()))
          ->Send(head);
    }
    CheckMemory();
    connections.clear();
    CheckServes(0);
  }

 private:
  static void CheckMemory() {
    const auto memory = ReadProcessMemory();
    if (kMeasuresMemory) {
      CPPUNIT_ASSERT_LESS(kLimitMb * kMegabyte, memory.highest);
    }
  }

  // A request with a short body is answered.
  void CheckServes(std::size_t body) const {
    std::string answer;
    for (int n = 0; n < 100 && !answer.starts_with("HTTP/1.1 404"); ++n) {
      const Connection connection(process_->callers());
      connection.Send(HeadWithLength(body) + std::string(body, 'x'));
      answer = connection.Receive();
    }
    CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 404"));
  }

  std::unique_ptr<GatewayProcess> process_;
  std::thread loop_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProcessMemoryTest);

}  // namespace baobabrun
