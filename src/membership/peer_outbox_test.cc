// Tests in which order messages leave a VM that has more of them than it can
// send at once.
#include "membership/peer_outbox.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace baobabrun {
namespace {

constexpr PeerOutboxOptions kOptions;

PeerMessage MessageOf(PeerTopic topic, Instant sent) {
  PeerMessage message{VmId("self"), VmId("peer"), topic, "payload"};
  message.sent = sent;
  return message;
}

}  // namespace

class PeerOutboxTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerOutboxTest);
  CPPUNIT_TEST(CommittedStateIsNotSentBehindNotices);
  CPPUNIT_TEST(BatchesOfNoticesAreBounded);
  CPPUNIT_TEST(OldNoticesAreDroppedUrgentMessagesAreNot);
  CPPUNIT_TEST(NoticesDoNotTakeTheSpaceOfUrgentMessages);
  CPPUNIT_TEST_SUITE_END();

  void CommittedStateIsNotSentBehindNotices() {
    PushNotices(kOptions.capacity);
    Push(PeerTopic::kState);
    Push(PeerTopic::kMembership);
    const auto batch = outbox_.Take(now_);
    CPPUNIT_ASSERT(batch.messages[0].topic == PeerTopic::kState);
    CPPUNIT_ASSERT(batch.messages[1].topic == PeerTopic::kMembership);
    CPPUNIT_ASSERT(batch.messages[2].topic == PeerTopic::kPlacement);
  }

  void BatchesOfNoticesAreBounded() {
    PushNotices(kOptions.capacity);
    std::size_t taken = 0;
    do {
      const auto batch = outbox_.Take(now_);
      CPPUNIT_ASSERT(batch.messages.size() <= kOptions.bulk_batch);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, batch.dropped);
      taken += batch.messages.size();
    } while (outbox_.waiting());
    CPPUNIT_ASSERT_EQUAL(kOptions.capacity, taken);
  }

  void OldNoticesAreDroppedUrgentMessagesAreNot() {
    PushNotices(10);
    Push(PeerTopic::kState);
    now_ += kOptions.max_bulk_age + milliseconds(1);
    PushNotices(5);
    const auto batch = outbox_.Take(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, batch.dropped);
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, batch.messages.size());
    CPPUNIT_ASSERT(batch.messages[0].topic == PeerTopic::kState);
  }

  void NoticesDoNotTakeTheSpaceOfUrgentMessages() {
    PushNotices(kOptions.capacity);
    CPPUNIT_ASSERT(!outbox_.Push(MessageOf(PeerTopic::kPlacement, now_)));
    CPPUNIT_ASSERT(outbox_.Push(MessageOf(PeerTopic::kState, now_)));
  }

 private:
  void Push(PeerTopic topic) {
    CPPUNIT_ASSERT(outbox_.Push(MessageOf(topic, now_)));
  }
  void PushNotices(std::size_t count) {
    for (std::size_t n = 0; n < count; ++n) {
      Push(PeerTopic::kPlacement);
    }
  }

  Instant now_{seconds(1)};
  PeerOutbox outbox_{kOptions, nullptr};
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerOutboxTest);

}  // namespace baobabrun
