// Tests the measured delay of messages between VMs with unrelated clocks.
#include "membership/peer_delay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace baobabrun {
namespace {

const VmId kSender("sender");

// The sender's clock is ahead of this VM's by `kOffset`.
constexpr Duration kOffset = seconds(1'000);
constexpr Duration kTransit = milliseconds(2);

Duration RecordMessage(PeerDelayMeter& meter, Instant sent, Duration transit) {
  return meter.Record(kSender, sent + kOffset, sent + transit);
}

}  // namespace

class PeerDelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerDelayTest);
  CPPUNIT_TEST(DelayIsMeasuredAgainstTheQuickest);
  CPPUNIT_TEST(SlowDriftOfTheClocksIsNoDelay);
  CPPUNIT_TEST(RebootedSenderStartsAnew);
  CPPUNIT_TEST_SUITE_END();

  void DelayIsMeasuredAgainstTheQuickest() {
    PeerDelayMeter meter;
    const Instant start(seconds(5));
    CPPUNIT_ASSERT(RecordMessage(meter, start, kTransit) == Duration::zero());
    CPPUNIT_ASSERT(RecordMessage(meter, start + seconds(1),
                                 kTransit + milliseconds(700)) ==
                   milliseconds(700));
    CPPUNIT_ASSERT(RecordMessage(meter, start + seconds(2), kTransit) ==
                   Duration::zero());
  }

  void SlowDriftOfTheClocksIsNoDelay() {
    PeerDelayMeter meter;
    const Instant start(seconds(5));
    Duration drift{};
    for (auto time = start; time < start + seconds(3'600); time += seconds(1)) {
      drift += std::chrono::microseconds(100);
      CPPUNIT_ASSERT(RecordMessage(meter, time, kTransit + drift) <=
                     milliseconds(13));
    }
  }

  void RebootedSenderStartsAnew() {
    PeerDelayMeter meter;
    const Instant start(seconds(5));
    RecordMessage(meter, start, kTransit);
    const auto delay = meter.Record(kSender, Instant(seconds(1)),
                                    start + seconds(20) + kTransit);
    CPPUNIT_ASSERT(delay == Duration::zero());
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerDelayTest);

}  // namespace baobabrun
