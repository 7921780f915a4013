// Contract tests of the transport between VMs, over loopback.
#include "membership/peer_transport.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <filesystem>
#include <string>
#include <utility>

#include "base/ring.h"
#include "membership/curve_keys.h"

namespace baobabrun {
namespace {

const Address kAnyPort{"127.0.0.1", 0};

// One VM: its transport and what reached it.
struct Node {
  Ring<PeerMessage> inbox{1'000};
  std::unique_ptr<PeerTransport> transport;

  explicit Node(const char* name, const std::filesystem::path& secret = {}) {
    PeerOptions options{VmId(name), kAnyPort, {}, secret};
    auto started = PeerTransport::Start(
        std::move(options),
        [this](PeerMessage message) { inbox.TryPush(std::move(message)); });
    CPPUNIT_ASSERT(started.ok());
    transport = std::move(started.value());
  }

  void Knows(const char* name,
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
  // The payload of the next message, or "" if none comes for a long time.
  std::string Next() {
    const auto messages = inbox.Drain(seconds(20));
    return messages.empty() ? "" : messages.front().payload;
  }
};

}  // namespace

class PeerTransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerTransportTest);
  CPPUNIT_TEST(DeliversAndNamesTheSender);
  CPPUNIT_TEST(ReachesAPeerThatMoved);
  CPPUNIT_TEST(DropsWithoutBlocking);
  CPPUNIT_TEST(KnownKeyPassesUnknownKeyGetsNothing);
  CPPUNIT_TEST(PeerListedLaterGetsIn);
  CPPUNIT_TEST(KeyFilesAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    folder_ = std::filesystem::temp_directory_path() /
              ("baobabrun_peers_" + std::to_string(getpid()));
    std::filesystem::create_directories(folder_);
  }
  void tearDown() override { std::filesystem::remove_all(folder_); }

  void DeliversAndNamesTheSender() {
    Node a("a");
    Node b("b");
    a.Knows("b", b);
    a.Send("b", std::string("x\0y", 3));
    const auto messages = b.inbox.Drain(seconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, messages.size());
    CPPUNIT_ASSERT_EQUAL(std::string("a"), messages[0].from.value());
    CPPUNIT_ASSERT(messages[0].topic == PeerTopic::kState);
    CPPUNIT_ASSERT_EQUAL(std::string("x\0y", 3), messages[0].payload);
  }

  void ReachesAPeerThatMoved() {
    Node a("a");
    auto b = std::make_unique<Node>("b");
    a.Knows("b", *b);
    a.Send("b", "first");
    CPPUNIT_ASSERT_EQUAL(std::string("first"), b->Next());
    b.reset();
    b = std::make_unique<Node>("b");
    a.Knows("b", *b);
    a.Send("b", "second");
    CPPUNIT_ASSERT_EQUAL(std::string("second"), b->Next());
  }

  // The receiver never answers to its name; messages to it and to nobody go
  // nowhere, and others still pass.
  void DropsWithoutBlocking() {
    Node a("a");
    Node b("b");
    Node silent("silent");
    a.Knows("b", b);
    a.Knows("other", silent);
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

  void KnownKeyPassesUnknownKeyGetsNothing() {
    const auto a_keys = NewKeys("a");
    const auto b_keys = NewKeys("b");
    const auto thief_keys = NewKeys("thief");
    Node a("a", folder_ / "a");
    Node b("b", folder_ / "b");
    // The thief knows b's public key and calls itself a.
    Node thief("a", folder_ / "thief");
    // A VM whose key is listed as c's calls itself a too.
    const auto c_keys = NewKeys("c");
    Node liar("a", folder_ / "c");
    Node plain("a");
    b.Knows("a", a, a_keys.public_key);
    b.Knows("c", liar, c_keys.public_key);
    a.Knows("b", b, b_keys.public_key);
    thief.Knows("b", b, b_keys.public_key);
    liar.Knows("b", b, b_keys.public_key);
    plain.Knows("b", b);
    thief.Send("b", "from the thief");
    plain.Send("b", "not encrypted");
    liar.Send("b", "from the liar");
    for (int n = 0; n < 2'000 && b.transport->traffic().rejected == 0; ++n) {
      liar.Send("b", "from the liar");
      usleep(10'000);
    }
    CPPUNIT_ASSERT(b.transport->traffic().rejected > 0);
    CPPUNIT_ASSERT(b.transport->traffic().refused > 0);
    a.Send("b", "from a");
    CPPUNIT_ASSERT_EQUAL(std::string("from a"), b.Next());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, b.transport->traffic().received);
  }

  // Files of settings change on one VM after the other.
  void PeerListedLaterGetsIn() {
    const auto a_keys = NewKeys("a");
    const auto b_keys = NewKeys("b");
    Node a("a", folder_ / "a");
    Node b("b", folder_ / "b");
    a.Knows("b", b, b_keys.public_key);
    a.Send("b", "too early");
    for (int n = 0; n < 2'000 && b.transport->traffic().refused == 0; ++n) {
      usleep(10'000);
    }
    CPPUNIT_ASSERT(b.transport->traffic().refused > 0);
    b.Knows("a", a, a_keys.public_key);
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
