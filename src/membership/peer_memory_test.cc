// Tests that messages between VMs don't fill a process, whichever side is slow.
// A program of its own, since it measures the whole process.
#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>
#include <zmq.hpp>

#include "base/memory_budget.h"
#include "membership/peer_socket.h"
#include "membership/peer_transport.h"

namespace baobabrun {
namespace {

constexpr std::size_t kMegabyte = 1'000'000;
const Address kAnyPort{"127.0.0.1", 0};

#ifdef __SANITIZE_ADDRESS__
constexpr bool kMeasuresMemory = false;
#else
constexpr bool kMeasuresMemory = true;
#endif

// A VM that accepts connections and reads nothing.
class SilentPeer {
 public:
  explicit SilentPeer(zmq::context_t& context)
      : socket_(context, zmq::socket_type::pull) {
    socket_.set(zmq::sockopt::rcvhwm, 1);
    socket_.set(zmq::sockopt::linger, 0);
    socket_.bind("tcp://127.0.0.1:*");
  }
  Address address() {
    const auto endpoint = socket_.get(zmq::sockopt::last_endpoint);
    return ParseAddress(endpoint.substr(sizeof("tcp://") - 1)).value();
  }

 private:
  zmq::socket_t socket_;
};

VmId NameOfPeer(int n) {
  return VmId("peer-" + std::to_string(n));
}

}  // namespace

class PeerMemoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerMemoryTest);
  CPPUNIT_TEST(PeersThatDoNotReadDoNotFillTheSender);
  CPPUNIT_TEST(StateLargerThanItsShareIsDelivered);
  CPPUNIT_TEST(LargeStatesForManyVmsAreHeldOneAtATime);
  CPPUNIT_TEST(StateIsNotHeldUpByEstimatesForTheSameVm);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PeersThatDoNotReadDoNotFillTheSender() {
    constexpr int kPeers = 20;
    constexpr int kRounds = 400;
    zmq::context_t context;
    std::vector<std::unique_ptr<SilentPeer>> silent;
    PeerOptions options{VmId("self"), kAnyPort, {}, {}};
    options.budget = std::make_shared<MemoryBudget>(88 * kMegabyte);
    auto started = PeerTransport::Start(std::move(options),
                                        [](const PeerMessage& /*it*/) {});
    CPPUNIT_ASSERT(started.ok());
    auto& transport = *started.value();
    for (int n = 0; n < kPeers; ++n) {
      silent.push_back(std::make_unique<SilentPeer>(context));
      PeerSettings peer;
      peer.vm = NameOfPeer(n);
      peer.address = silent.back()->address();
      transport.UpdatePeer(peer);
    }
    const auto before = ReadProcessMemory().resident;
    const std::string payload(30'000, 'x');
    for (int round = 0; round < kRounds; ++round) {
      for (int n = 0; n < kPeers; ++n) {
        PeerMessage message{VmId(), NameOfPeer(n), PeerTopic::kPlacement,
                            payload};
        message.priority = PeerPriority::kBulk;
        transport.Send(std::move(message));
      }
      std::this_thread::sleep_for(milliseconds(5));
    }
    const auto memory = ReadProcessMemory();
    if (kMeasuresMemory) {
      CPPUNIT_ASSERT_LESS(kMostGrowth, memory.highest - before);
    }
    CPPUNIT_ASSERT(transport.traffic().dropped > 0);
  }

  void StateLargerThanItsShareIsDelivered() {
    std::promise<std::size_t> received;
    PeerOptions options{VmId("b"), kAnyPort, {}, {}};
    options.budget = std::make_shared<MemoryBudget>(kMegabyte);
    auto b = PeerTransport::Start(options, [&](const PeerMessage& it) {
      received.set_value(it.payload.size());
    });
    options.self = VmId("a");
    auto a = PeerTransport::Start(options, [](const PeerMessage& /*it*/) {});
    CPPUNIT_ASSERT(a.ok() && b.ok());
    PeerSettings peer;
    peer.vm = VmId("b");
    peer.address = b.value()->bound();
    a.value()->UpdatePeer(peer);
    const std::string state(kMegabyte, 'x');
    CPPUNIT_ASSERT(
        a.value()->Send({VmId(), VmId("b"), PeerTopic::kState, state}));
    auto size = received.get_future();
    CPPUNIT_ASSERT(size.wait_for(seconds(20)) == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(state.size(), size.get());
  }

  // Guards against states that are larger than their share and aren't counted.
  // Nobody listens at the VMs' addresses, so what is taken waits here.
  void LargeStatesForManyVmsAreHeldOneAtATime() {
    constexpr int kPeers = 20;
    constexpr std::size_t kStateBytes = 8 * kMegabyte;
    PeerOptions options{VmId("self"), kAnyPort, {}, {}};
    options.budget = std::make_shared<MemoryBudget>(10 * kMegabyte);
    auto started = PeerTransport::Start(std::move(options),
                                        [](const PeerMessage& /*it*/) {});
    CPPUNIT_ASSERT(started.ok());
    auto& transport = *started.value();
    const auto before = ReadProcessMemory().resident;
    int taken = 0;
    for (int n = 0; n < kPeers; ++n) {
      PeerSettings peer;
      peer.vm = NameOfPeer(n);
      peer.address = {"127.0.0.1", 1};
      transport.UpdatePeer(peer);
      taken += transport.Send({VmId(), peer.vm, PeerTopic::kState,
                               std::string(kStateBytes, 'x')})
                   ? 1
                   : 0;
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(1, taken);
    const auto memory = ReadProcessMemory();
    if (kMeasuresMemory) {
      // A state and its envelope.
      CPPUNIT_ASSERT_LESS(4 * kStateBytes, memory.resident - before);
    }
  }

  void StateIsNotHeldUpByEstimatesForTheSameVm() {
    zmq::context_t context;
    zmq::socket_t receiver(context, zmq::socket_type::pull);
    receiver.set(zmq::sockopt::rcvhwm, 1);
    receiver.set(zmq::sockopt::linger, 0);
    receiver.bind("tcp://127.0.0.1:*");
    PeerSettings peer;
    peer.vm = VmId("b");
    const auto endpoint = receiver.get(zmq::sockopt::last_endpoint);
    peer.address = ParseAddress(endpoint.substr(sizeof("tcp://") - 1)).value();
    PeerConnection connection(context, peer, {}, milliseconds(500), Instant());
    const std::string estimate(20'000, 'e');
    // Fills the connection, and the queue beside it, without the receiver.
    for (int n = 0; n < 2'000; ++n) {
      connection.SendOrQueue(estimate, PeerPriority::kBulk, nullptr, Instant());
      std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
    const auto queued = connection.queued_messages();
    CPPUNIT_ASSERT(queued > 0);
    connection.SendOrQueue("state", PeerPriority::kUrgent, nullptr, Instant());
    // All estimates that were queued before the state come after it.
    bool found = false;
    std::size_t after = 0;
    for (auto left = milliseconds(20'000); after < queued;) {
      zmq::message_t message;
      connection.Flush(Instant());
      if (!receiver.recv(message, zmq::recv_flags::dontwait)) {
        CPPUNIT_ASSERT(left > milliseconds::zero());
        std::this_thread::sleep_for(milliseconds(1));
        left -= milliseconds(1);
        continue;
      }
      after += found ? 1 : 0;
      found |= message.size() != estimate.size();
    }
  }

 private:
  // An eighth of the limit of an entry of 88 MB, and as much again for what the
  // allocator and ZeroMQ add.
  static constexpr std::size_t kMostGrowth = 22 * kMegabyte;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerMemoryTest);

}  // namespace baobabrun
