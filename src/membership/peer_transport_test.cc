// Tests the transport between VMs over loopback.
#include "membership/peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "base/ring.h"
#include "membership/curve_keys.h"

namespace baobabrun {
namespace {

const Address kAnyPort{"127.0.0.1", 0};

// The transport of one VM and the messages that it received.
struct Node {
  Ring<PeerMessage> inbox{1'000};
  std::unique_ptr<PeerTransport> transport;

  explicit Node(const char* name,
                const std::filesystem::path& secret = {},
                Duration idle_time = seconds(15)) {
    PeerOptions options{VmId(name), kAnyPort, {}, secret, idle_time};
    auto started = PeerTransport::Start(
        std::move(options),
        [this](PeerMessage message) { inbox.TryPush(std::move(message)); });
    CPPUNIT_ASSERT(started.ok());
    transport = std::move(started.value());
  }

  void AddPeer(const char* name,
               const Node& other,
               const std::string& public_key = "") {
    PeerSettings peer;
    peer.vm = VmId(name);
    peer.address = other.transport->bound();
    peer.public_key = public_key;
    transport->UpdatePeer(peer);
  }
  void Send(const char* to, std::string payload) {
    transport->Send({VmId(), VmId(to), PeerTopic::kState, std::move(payload)});
  }
  // The payload of the next message, or "" if none arrives within 20 s.
  std::string Next() {
    const auto messages = inbox.Drain(seconds(20));
    return messages.empty() ? "" : messages.front().payload;
  }
};

}  // namespace

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(DeliversPayloadAndSender);
  CPPUNIT_TEST(ReachesPeerAtNewAddress);
  CPPUNIT_TEST(IdleConnectionIsClosedAndOpenedAgain);
  CPPUNIT_TEST(DropsWithoutBlocking);
  CPPUNIT_TEST(StateIsReceivedBeforeManyNoticesAreSent);
  CPPUNIT_TEST(OnlyListedKeysAreAccepted);
  CPPUNIT_TEST(PeerListedLaterIsAccepted);
  CPPUNIT_TEST(KeyFilesAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("baobabrun_peers_" + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
  }
  void tearDown() override { std::filesystem::remove_all(folder_); }

  void DeliversPayloadAndSender() {
    Node a("a");
    Node b("b");
    a.AddPeer("b", b);
    a.Send("b", std::string("x\0y", 3));
    const auto messages = b.inbox.Drain(seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), messages[0].from.value());
    CPPUNIT_ASSERT(messages[0].topic == PeerTopic::kState);
    CPPUNIT_ASSERT_EQUAL(std::string("x\0y", 3), messages[0].payload);
  }

  void ReachesPeerAtNewAddress() {
    Node a("a");
    auto b = std::make_unique<Node>("b");
    a.AddPeer("b", *b);
    a.Send("b", "first");
    CPPUNIT_ASSERT_EQUAL(std::string("first"), b->Next());
    b.reset();
    b = std::make_unique<Node>("b");
    a.AddPeer("b", *b);
    a.Send("b", "second");
    CPPUNIT_ASSERT_EQUAL(std::string("second"), b->Next());
  }

  // Messages to a VM that has another id than the address's owner and to an
  // unknown VM are lost; messages to other VMs still arrive.
  void IdleConnectionIsClosedAndOpenedAgain() {
    Node a("a", {}, milliseconds(100));
    Node b("b");
    a.AddPeer("b", b);
    for (int round = 0; round < 3; ++round) {
      a.Send("b", "x");
      CPPUNIT_ASSERT_EQUAL(std::string("x"), b.Next());
      while (a.transport->traffic().connections > 0) {
        std::this_thread::sleep_for(milliseconds(10));
      }
    }
  }

  void DropsWithoutBlocking() {
    Node a("a");
    Node b("b");
    Node silent("silent");
    a.AddPeer("b", b);
    a.AddPeer("other", silent);
    a.Send("other", "to a wrong address");
    for (int n = 0; n < 20'000; ++n) {
      a.Send("nobody", "lost");
    }
    std::string got;
    while (got.empty()) {
      a.Send("b", "through");
      const auto messages = b.inbox.Drain(milliseconds(50));
      got = messages.empty() ? "" : messages.front().payload;
    }
    CPPUNIT_ASSERT_EQUAL(std::string("through"), got);
    CPPUNIT_ASSERT(a.transport->traffic().dropped > 0);
    CPPUNIT_ASSERT(silent.inbox.Drain(Duration::zero()).empty());
    CPPUNIT_ASSERT(!a.transport->Send(
        {VmId(), VmId("b"), PeerTopic::kState, std::string(33 << 20, 'x')}));
  }

  void StateIsReceivedBeforeManyNoticesAreSent() {
    constexpr std::uint64_t kNotices = 8'000;
    constexpr int kStates = 400;
    constexpr seconds kArrivalTime{1};
    std::promise<void> opened;
    std::promise<std::uint64_t> notices_sent_before;
    PeerTransport* receiver = nullptr;
    int received = 0;
    std::promise<void> connected;
    // Holds the receiver's thread at the first message, until both sides have
    // queued all of theirs.
    const auto on_message = [&](const PeerMessage&) {
      ++received;
      if (received == 1) {
        connected.set_value();
        opened.get_future().wait();
      } else if (received == kStates) {
        notices_sent_before.set_value(receiver->traffic().sent);
      }
    };
    auto started =
        PeerTransport::Start({VmId("b"), kAnyPort, {}, {}}, on_message);
    CPPUNIT_ASSERT(started.ok());
    receiver = started.value().get();
    Node a("a");
    PeerSettings peer;
    peer.vm = VmId("b");
    peer.address = receiver->bound();
    a.transport->UpdatePeer(peer);
    peer.vm = VmId("a");
    peer.address = a.transport->bound();
    receiver->UpdatePeer(peer);
    a.Send("b", "state");
    connected.get_future().wait();
    for (int n = 1; n < kStates; ++n) {
      a.Send("b", "state");
    }
    while (a.transport->traffic().sent < kStates) {
      usleep(1'000);
    }
    // What libzmq has taken from the sender arrives a moment later, and the
    // receiver, which is held, can't tell when.
    std::this_thread::sleep_for(kArrivalTime);
    for (std::uint64_t n = 0; n < kNotices; ++n) {
      receiver->Send({VmId(), VmId("a"), PeerTopic::kPlacement, "notice",
                      PeerPriority::kBulk});
    }
    opened.set_value();
    CPPUNIT_ASSERT(notices_sent_before.get_future().get() < kNotices / 2);
  }

  void OnlyListedKeysAreAccepted() {
    const auto a_keys = NewKeys("a");
    const auto b_keys = NewKeys("b");
    const auto unlisted_keys = NewKeys("unlisted");
    Node a("a", folder_ / "a");
    Node b("b", folder_ / "b");
    // This VM has b's public key and sends as a, with a key that isn't listed.
    Node unlisted("a", folder_ / "unlisted");
    // This VM sends as a, with a key that is listed for c.
    const auto c_keys = NewKeys("c");
    Node impostor("a", folder_ / "c");
    Node unencrypted("a");
    b.AddPeer("a", a, a_keys.public_key);
    b.AddPeer("c", impostor, c_keys.public_key);
    a.AddPeer("b", b, b_keys.public_key);
    unlisted.AddPeer("b", b, b_keys.public_key);
    impostor.AddPeer("b", b, b_keys.public_key);
    unencrypted.AddPeer("b", b);
    unlisted.Send("b", "from the unlisted VM");
    unencrypted.Send("b", "not encrypted");
    impostor.Send("b", "from the impostor");
    // Connections are refused and messages rejected independently.
    const auto both_seen = [&b] {
      const auto traffic = b.transport->traffic();
      return traffic.rejected > 0 && traffic.refused > 0;
    };
    for (int n = 0; n < 2'000 && !both_seen(); ++n) {
      impostor.Send("b", "from the impostor");
      usleep(10'000);
    }
    CPPUNIT_ASSERT(b.transport->traffic().rejected > 0);
    CPPUNIT_ASSERT(b.transport->traffic().refused > 0);
    a.Send("b", "from a");
    CPPUNIT_ASSERT_EQUAL(std::string("from a"), b.Next());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, b.transport->traffic().received);
  }

  // Settings files change on one VM after the other, so a VM may connect before
  // its key is listed.
  void PeerListedLaterIsAccepted() {
    const auto a_keys = NewKeys("a");
    const auto b_keys = NewKeys("b");
    Node a("a", folder_ / "a");
    Node b("b", folder_ / "b");
    a.AddPeer("b", b, b_keys.public_key);
    a.Send("b", "too early");
    for (int n = 0; n < 2'000 && b.transport->traffic().refused == 0; ++n) {
      usleep(10'000);
    }
    CPPUNIT_ASSERT(b.transport->traffic().refused > 0);
    b.AddPeer("a", a, a_keys.public_key);
    std::string got;
    for (int n = 0; n < 400 && got != "listed"; ++n) {
      a.Send("b", "listed");
      for (const auto& it : b.inbox.Drain(milliseconds(50))) {
        got = it.payload;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string("listed"), got);
  }

  void KeyFilesAreChecked() {
    const auto keys = NewKeys("one");
    const auto read = ReadCurveKeys(folder_ / "one");
    CPPUNIT_ASSERT(read.ok());
    CPPUNIT_ASSERT_EQUAL(keys.public_key, read.value().public_key);
    CPPUNIT_ASSERT(!WriteCurveSecret(folder_ / "one", keys).ok());
    CPPUNIT_ASSERT(!ReadCurveKeys(folder_ / "absent").ok());
    std::filesystem::permissions(folder_ / "one",
                                 std::filesystem::perms::others_read,
                                 std::filesystem::perm_options::add);
    CPPUNIT_ASSERT(!ReadCurveKeys(folder_ / "one").ok());
  }

 private:
  CurveKeys NewKeys(const char* name) {
    auto keys = MakeCurveKeys();
    CPPUNIT_ASSERT(keys.ok());
    CPPUNIT_ASSERT(WriteCurveSecret(folder_ / name, keys.value()).ok());
    return keys.value();
  }

  std::filesystem::path folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTransportTest);

}  // namespace baobabrun
