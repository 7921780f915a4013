// Tests that what VMs send each other to catch up stays within the size of the
// state, however many changes they missed and however many of them ask at once.
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/codec.h"
#include "spread/state_replicator.h"

namespace baobabrun {
namespace {

const VmId kSender("sender");
constexpr std::size_t kManifestBytes = 182'000;
// The kind, versions and digest of a message.
constexpr std::size_t kMessageOverhead = 100;

VmId Asker(int n) {
  return VmId("asker-" + std::to_string(n));
}

ChangeSet NewManifest(std::uint64_t number) {
  PutManifest put;
  put.manifest = {number,
                  std::make_shared<const std::string>(kManifestBytes, 'm')};
  return {put};
}

ChangeSet ContractWithLimit(std::int64_t limit) {
  PutContract put;
  put.contract.organisation = OrganisationId("hall-a");
  put.contract.tokens_per_second = limit;
  return {put};
}

std::vector<OutgoingStateMessage> PushesOf(
    std::vector<OutgoingStateMessage> messages) {
  std::erase_if(messages, [](const auto& it) {
    return it.message.kind != StateMessageKind::kPush;
  });
  return messages;
}

// The VM that others ask, with the state that it commits.
class Sender {
 public:
  explicit Sender(int askers,
                  std::function<bool(std::size_t bytes)> has_room = nullptr) {
    StateReplicatorOptions options;
    options.self = kSender;
    options.zone = ZoneId("z");
    options.region = RegionId("r");
    options.has_room = std::move(has_room);
    for (int n = 0; n < askers; ++n) {
      auto& peer = options.fleet.emplace_back();
      peer.vm = Asker(n);
      // In other zones, so that changes are forwarded to few of them.
      peer.zone = ZoneId("z" + std::to_string(n));
      peer.region = options.region;
    }
    auto first = std::make_shared<FleetState>();
    first->version = StateVersion(1);
    state_ = first;
    replicator_ = std::make_unique<StateReplicator>(options, state_,
                                                    std::vector<KeyId>(), now_);
  }

  std::vector<OutgoingStateMessage> Commit(const ChangeSet& changes) {
    state_ = std::make_shared<FleetState>(Apply(*state_, changes).value());
    return replicator_->Committed(changes, state_, now_).send;
  }

  std::vector<OutgoingStateMessage> Ask(int asker, std::uint64_t version) {
    StateMessage ask;
    ask.kind = StateMessageKind::kAsk;
    ask.version = StateVersion(version);
    return PushesOf(replicator_->Receive(Asker(asker), ask, now_).send);
  }

  // `asker` confirms that it has the newest version.
  void Confirm(int asker) {
    StateMessage message;
    message.kind = StateMessageKind::kVersion;
    message.version = state_->version;
    replicator_->Receive(Asker(asker), message, now_);
  }

  std::vector<OutgoingStateMessage> Advance(Duration time) {
    now_ += time;
    return PushesOf(replicator_->Tick(now_).send);
  }

  std::size_t state_bytes() const { return EncodedSize(*state_); }
  const StateReplicator& replicator() const { return *replicator_; }
  const FleetStatePtr& state() const { return state_; }

 private:
  Instant now_{seconds(1)};
  FleetStatePtr state_;
  std::unique_ptr<StateReplicator> replicator_;
};

StateMessage Reread(const StateMessage& message) {
  return DecodeStateMessage(EncodeStateMessage(message)).value();
}

std::size_t BytesOf(const std::vector<OutgoingStateMessage>& messages) {
  std::size_t bytes = 0;
  for (const auto& it : messages) {
    bytes += EncodeStateMessage(it.message).size();
  }
  return bytes;
}

}  // namespace

class CatchUpTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CatchUpTest);
  CPPUNIT_TEST(VmThatMissedManyManifestsGetsOneState);
  CPPUNIT_TEST(VmThatMissedManyContractsGetsOneState);
  CPPUNIT_TEST(VmThatMissedASmallChangeGetsTheChange);
  CPPUNIT_TEST(HistoryIsNeverLargerThanTheState);
  CPPUNIT_TEST(VmsThatWakeAtOnceAreServedAsMemoryAllows);
  CPPUNIT_TEST(StateLargerThanTheMemoryForItIsSentAlone);
  CPPUNIT_TEST(RepeatedAskGetsOneAnswer);
  CPPUNIT_TEST(LostAnswerIsSentAgain);
  CPPUNIT_TEST(FrozenVmIsSentOneChangeUntilItIsHeard);
  CPPUNIT_TEST(VmThatConfirmsGetsEachChange);
  CPPUNIT_TEST(VmWhoseAskIsAcceptedAsksNoOther);
  CPPUNIT_TEST(VmThatCatchesUpLearnsTheAgesOfWeights);
  CPPUNIT_TEST_SUITE_END();

 public:
  // All changes together are larger than the longest message between VMs.
  void VmThatMissedManyManifestsGetsOneState() {
    Sender sender(1);
    constexpr std::uint64_t kChanges = 240;
    for (std::uint64_t n = 1; n <= kChanges; ++n) {
      sender.Commit(NewManifest(n));
    }
    for (const std::uint64_t missed : {kChanges, kChanges / 2, kChanges - 2}) {
      sender.Advance(seconds(1));
      const auto pushes = sender.Ask(0, missed);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pushes.size());
      CPPUNIT_ASSERT_LESSEQUAL(sender.state_bytes() + kMessageOverhead,
                               BytesOf(pushes));
    }
  }

  void VmThatMissedManyContractsGetsOneState() {
    Sender sender(1);
    for (int n = 1; n <= 100; ++n) {
      sender.Commit(ContractWithLimit(n));
    }
    sender.Advance(seconds(1));
    const auto pushes = sender.Ask(0, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pushes.size());
    CPPUNIT_ASSERT_LESSEQUAL(sender.state_bytes() + kMessageOverhead,
                             BytesOf(pushes));
  }

  void VmThatMissedASmallChangeGetsTheChange() {
    Sender sender(1);
    sender.Commit(NewManifest(1));
    sender.Commit(ContractWithLimit(1));
    sender.Commit(ContractWithLimit(2));
    sender.Advance(seconds(1));
    const auto pushes = sender.Ask(0, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pushes.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pushes[0].message.changes.size());
  }

  void HistoryIsNeverLargerThanTheState() {
    Sender sender(0);
    for (std::uint64_t n = 1; n <= 300; ++n) {
      sender.Commit(n % 3 == 0 ? NewManifest(n)
                               : ContractWithLimit(static_cast<int>(n)));
      CPPUNIT_ASSERT_LESSEQUAL(sender.state_bytes(),
                               sender.replicator().history_bytes());
    }
  }

  void VmsThatWakeAtOnceAreServedAsMemoryAllows() {
    constexpr int kAskers = 40;
    std::size_t held = 0;
    Sender sender(kAskers, [&held](std::size_t bytes) {
      return held + bytes <= 3 * kManifestBytes;
    });
    sender.Commit(NewManifest(1));
    for (int n = 0; n < kAskers; ++n) {
      sender.Confirm(n);
    }
    for (std::uint64_t n = 2; n <= 10; ++n) {
      sender.Commit(NewManifest(n));
    }
    sender.Advance(seconds(5));
    held = 0;
    std::map<VmId, int> served;
    const auto count = [&](const auto& sent) {
      for (const auto& it : sent) {
        ++served[it.to];
        held += BytesOf({it});
      }
      CPPUNIT_ASSERT_LESSEQUAL(3 * kManifestBytes + 1'000, held);
    };
    for (int n = 0; n < kAskers; ++n) {
      count(sender.Ask(n, 2));
    }
    CPPUNIT_ASSERT(served.size() < kAskers);
    for (int round = 0; round < kAskers; ++round) {
      held = 0;  // what was queued has been sent
      count(sender.Advance(milliseconds(1)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kAskers}, served.size());
    for (const auto& [vm, n] : served) {
      CPPUNIT_ASSERT_MESSAGE(vm.value(), n <= 2);
    }
  }

  void StateLargerThanTheMemoryForItIsSentAlone() {
    bool busy = false;
    Sender sender(2, [&busy](std::size_t bytes) {
      return bytes <= kManifestBytes + 1'000 && !busy;
    });
    sender.Commit(NewManifest(1));
    sender.Advance(seconds(1));
    busy = true;
    CPPUNIT_ASSERT(sender.Ask(0, 1).empty());
    CPPUNIT_ASSERT(sender.Ask(1, 1).empty());
    busy = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         sender.Advance(milliseconds(1)).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         sender.Advance(milliseconds(1)).size());
    CPPUNIT_ASSERT(sender.Advance(milliseconds(1)).empty());
  }

  void RepeatedAskGetsOneAnswer() {
    Sender sender(1);
    sender.Commit(NewManifest(1));
    sender.Advance(seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.Ask(0, 1).size());
    for (int n = 0; n < 3; ++n) {
      sender.Advance(milliseconds(50));
      CPPUNIT_ASSERT(sender.Ask(0, 1).empty());
    }
    // A VM that was restarted has nothing, so it asks for something else.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.Ask(0, 0).size());
  }

  void LostAnswerIsSentAgain() {
    Sender sender(1);
    sender.Commit(NewManifest(1));
    sender.Advance(seconds(5));
    sender.Ask(0, 1);
    sender.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sender.Ask(0, 1).size());
  }

  void FrozenVmIsSentOneChangeUntilItIsHeard() {
    Sender sender(1);
    std::size_t sent = 0;
    for (std::uint64_t n = 1; n <= 140; ++n) {
      sent += sender.Commit(NewManifest(n)).size();
      sent += sender.Advance(milliseconds(50)).size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent);
    const auto pushes = sender.Ask(0, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pushes.size());
    CPPUNIT_ASSERT(pushes[0].message.state == sender.state());
  }

  void VmThatConfirmsGetsEachChange() {
    Sender sender(1);
    for (std::uint64_t n = 1; n <= 20; ++n) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                           sender.Commit(NewManifest(n)).size());
      sender.Advance(milliseconds(5));
      sender.Confirm(0);
    }
  }

  // A VM that learns of several versions at once must not take them for new.
  void VmThatCatchesUpLearnsTheAgesOfWeights() {
    Sender sender(2);
    const ModelId model("m");
    for (std::uint64_t n = 1; n <= 4; ++n) {
      sender.Commit({SetModelWeights{{model, n}}});
      sender.Advance(seconds(3));
    }
    StateReplicatorOptions options;
    for (const auto& it : {kSender, Asker(0), Asker(1)}) {
      options.fleet.emplace_back().vm = it;
    }
    // By another clock, and over two VMs.
    const Instant now(seconds(50'000));
    options.self = Asker(0);
    StateReplicator first(options, nullptr, {}, now);
    options.self = Asker(1);
    StateReplicator second(options, nullptr, {}, now);
    const auto push = sender.Ask(0, 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, push.size());
    first.Receive(kSender, Reread(push[0].message), now);
    StateMessage ask;
    ask.kind = StateMessageKind::kAsk;
    for (const auto& it : first.Receive(Asker(1), ask, now + seconds(1)).send) {
      if (it.message.kind == StateMessageKind::kPush) {
        second.Receive(Asker(0), Reread(it.message), now + seconds(1));
      }
    }
    for (const auto* it : {&first, &second}) {
      CPPUNIT_ASSERT_EQUAL(sender.state()->version, it->version());
      for (std::uint64_t n = 1; n <= 3; ++n) {
        CPPUNIT_ASSERT_EQUAL(
            std::int64_t{13} - 3 * static_cast<std::int64_t>(n),
            std::chrono::duration_cast<seconds>(
                it->weights().SupersededFor(model, n, now + seconds(1)))
                .count());
      }
    }
  }

  // A large answer takes longer than an ask that gets lost.
  void VmWhoseAskIsAcceptedAsksNoOther() {
    StateReplicatorOptions options;
    options.self = kSender;
    for (int n = 0; n < 3; ++n) {
      options.fleet.emplace_back().vm = Asker(n);
    }
    Instant now(seconds(1));
    StateReplicator behind(options, nullptr, {}, now);
    StateMessage newer;
    newer.kind = StateMessageKind::kVersion;
    newer.version = StateVersion(100);
    const auto asks = behind.Receive(Asker(0), newer, now).send;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asks.size());
    now += milliseconds(110);
    const auto again = behind.Tick(now).send;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
    behind.Receive(again[0].to, newer, now);
    now += milliseconds(400);
    CPPUNIT_ASSERT(behind.Tick(now).send.empty());
    now += milliseconds(150);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, behind.Tick(now).send.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatchUpTest);

}  // namespace baobabrun
