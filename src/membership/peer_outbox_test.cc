// Tests in which order messages leave a VM that has more of them than it can
// send at once.
#include "membership/peer_outbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace baobabrun {
namespace {

constexpr PeerOutboxOptions kOptions;

PeerMessage MessageOf(PeerTopic topic, PeerPriority priority, Instant sent) {
  PeerMessage message{VmId("self"), VmId("peer"), topic, "payload", priority};
  message.sent = sent;
  return message;
}

}  // namespace

class PeerOutboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerOutboxTest);
  CPPUNIT_TEST(CommittedStateIsNotSentBehindNotices);
  CPPUNIT_TEST(BatchesAreBounded);
  CPPUNIT_TEST(NoticesBehindDroppedOnesAreTaken);
  CPPUNIT_TEST(OldNoticesAreDroppedUrgentMessagesAreNot);
  CPPUNIT_TEST(NoticesDoNotTakeTheSpaceOfUrgentMessages);
  CPPUNIT_TEST(NoticesAreHeldToTheirPartOfTheLink);
  CPPUNIT_TEST_SUITE_END();

  void CommittedStateIsNotSentBehindNotices() {
    PushNotices(kOptions.capacity);
    PushStates(2);
    const auto batch = outbox_.Take(now_);
    CPPUNIT_ASSERT(batch.messages[0].topic == PeerTopic::kState);
    CPPUNIT_ASSERT(batch.messages[1].topic == PeerTopic::kState);
    CPPUNIT_ASSERT(batch.messages[2].topic == PeerTopic::kPlacement);
  }

  void BatchesAreBounded() {
    constexpr std::size_t kMessages = kOptions.capacity / 2;
    PushNotices(kMessages);
    PushStates(kMessages);
    std::size_t pushed = 2 * kMessages;
    std::size_t taken = 0;
    do {
      // More messages are pushed between the first batches.
      if (pushed < 3 * kMessages) {
        PushNotices(1);
        PushStates(1);
        pushed += 2;
      }
      const auto batch = outbox_.Take(now_);
      CPPUNIT_ASSERT(batch.messages.size() <=
                     kOptions.urgent_batch + kOptions.bulk_batch);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, batch.dropped);
      taken += batch.messages.size();
    } while (outbox_.waiting());
    CPPUNIT_ASSERT_EQUAL(pushed, taken);
  }

  // A first batch leaves some notices in the backlog and later ones behind it.
  void NoticesBehindDroppedOnesAreTaken() {
    PushNotices(3 * kOptions.bulk_batch);
    outbox_.Take(now_);
    now_ += kOptions.max_bulk_age + milliseconds(1);
    PushNotices(5);
    const auto batch = outbox_.Take(now_);
    CPPUNIT_ASSERT_EQUAL(2 * kOptions.bulk_batch, batch.dropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{5}, batch.messages.size());
  }

  void OldNoticesAreDroppedUrgentMessagesAreNot() {
    PushNotices(10);
    PushStates(1);
    now_ += kOptions.max_bulk_age + milliseconds(1);
    PushNotices(5);
    const auto batch = outbox_.Take(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, batch.dropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, batch.messages.size());
    CPPUNIT_ASSERT(batch.messages[0].topic == PeerTopic::kState);
  }

  void NoticesDoNotTakeTheSpaceOfUrgentMessages() {
    PushNotices(kOptions.capacity);
    CPPUNIT_ASSERT(!Push(PeerTopic::kPlacement, PeerPriority::kBulk));
    CPPUNIT_ASSERT(Push(PeerTopic::kState, PeerPriority::kUrgent));
  }

  void NoticesAreHeldToTheirPartOfTheLink() {
    constexpr std::size_t kBytes = 10'000;
    PeerOutboxOptions options;
    options.bulk_bytes_per_second = 300'000;
    PeerOutbox outbox(options, nullptr);
    std::size_t bytes = 0;
    const auto start = now_;
    while (now_ - start < seconds(2)) {
      auto notice = MessageOf(PeerTopic::kPlacement, PeerPriority::kBulk, now_);
      notice.payload.assign(kBytes, 'n');
      CPPUNIT_ASSERT(outbox.Push(std::move(notice)));
      CPPUNIT_ASSERT(outbox.Push(
          MessageOf(PeerTopic::kState, PeerPriority::kUrgent, now_)));
      const auto batch = outbox.Take(now_);
      CPPUNIT_ASSERT(batch.messages.at(0).topic == PeerTopic::kState);
      bytes += (batch.messages.size() - 1) * kBytes;
      if (outbox.waiting()) {
        CPPUNIT_ASSERT(outbox.WaitTime() > Duration::zero());
        CPPUNIT_ASSERT(outbox.WaitTime() <= milliseconds(40));
      }
      now_ += milliseconds(5);
    }
    CPPUNIT_ASSERT(bytes <= 2 * 300'000 + 300'000 / 20 + kBytes);
    CPPUNIT_ASSERT(bytes >= 2 * 300'000 - kBytes);
  }

 private:
  bool Push(PeerTopic topic, PeerPriority priority) {
    return outbox_.Push(MessageOf(topic, priority, now_));
  }
  void PushStates(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      CPPUNIT_ASSERT(Push(PeerTopic::kState, PeerPriority::kUrgent));
    }
  }
  void PushNotices(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      CPPUNIT_ASSERT(Push(PeerTopic::kPlacement, PeerPriority::kBulk));
    }
  }

  Instant now_{seconds(1)};
  PeerOutbox outbox_{kOptions, nullptr};
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerOutboxTest);

}  // namespace baobabrun
