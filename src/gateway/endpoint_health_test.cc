// Tests which endpoints are avoided after which outcomes.
#include "gateway/endpoint_health.h"

#include <cppunit/extensions/HelperMacros.h>

namespace baobabrun {
namespace {

const EndpointId kA("a");
const EndpointId kB("b");
const EndpointId kC("c");
const ZoneId kHere("here");
const ZoneId kThere("there");

}  // namespace

class EndpointHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointHealthTest);
  CPPUNIT_TEST(OneFailureAmongManyIsTolerated);
  CPPUNIT_TEST(OftenFailingEndpointIsAvoidedForAWhile);
  CPPUNIT_TEST(CallsOfOneSilenceCountOnceAfterIt);
  CPPUNIT_TEST(SilentEndpointIsTriedAgainSoon);
  CPPUNIT_TEST(UnreachableBackoffGrows);
  CPPUNIT_TEST(UnreachableZoneIsAvoided);
  CPPUNIT_TEST(EndpointThatOnlyFailsGetsLessAndLess);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneFailureAmongManyIsTolerated() {
    for (int n = 0; n < 9; ++n) {
      health_.Succeeded(kA, kHere, now_);
    }
    health_.Failed(kA, now_);
    CPPUNIT_ASSERT(!health_.Avoid(kA, kHere, now_));
  }

  void OftenFailingEndpointIsAvoidedForAWhile() {
    for (int n = 0; n < 3; ++n) {
      health_.Succeeded(kA, kHere, now_);
      health_.Failed(kA, now_);
    }
    CPPUNIT_ASSERT(health_.Avoid(kA, kHere, now_));
    CPPUNIT_ASSERT(!health_.Avoid(kB, kHere, now_));
    CPPUNIT_ASSERT(!health_.Avoid(kA, kHere, now_ + seconds(10)));
  }

  void CallsOfOneSilenceCountOnceAfterIt() {
    for (int n = 0; n < 10; ++n) {
      health_.Succeeded(kA, kHere, now_);
    }
    for (int n = 0; n < 20; ++n) {
      health_.Silent(kA, now_);
    }
    CPPUNIT_ASSERT(health_.Avoid(kA, kHere, now_));
    health_.Succeeded(kA, kHere, now_ + milliseconds(300));
    CPPUNIT_ASSERT(!health_.Avoid(kA, kHere, now_ + milliseconds(300)));
    // An endpoint that answers only some of its calls is still found.
    for (int n = 0; n < 20; ++n) {
      health_.Silent(kA, now_ + milliseconds(400));
      health_.Succeeded(kA, kHere, now_ + milliseconds(400));
    }
    CPPUNIT_ASSERT(health_.Avoid(kA, kHere, now_ + milliseconds(400)));
  }

  void SilentEndpointIsTriedAgainSoon() {
    for (int n = 0; n < 20; ++n) {
      health_.Silent(kA, now_);
    }
    CPPUNIT_ASSERT(health_.Avoid(kA, kHere, now_ + milliseconds(1'400)));
    CPPUNIT_ASSERT(!health_.Avoid(kA, kHere, now_ + milliseconds(1'600)));
    health_.Silent(kA, now_ + milliseconds(1'700));
    CPPUNIT_ASSERT(health_.Avoid(kA, kHere, now_ + milliseconds(4'600)));
  }

  void UnreachableBackoffGrows() {
    health_.Unreachable(kA, kThere, now_);
    CPPUNIT_ASSERT(health_.Avoid(kA, kThere, now_ + milliseconds(400)));
    now_ += seconds(20);
    health_.Unreachable(kA, kThere, now_);
    CPPUNIT_ASSERT(health_.Avoid(kA, kThere, now_ + milliseconds(900)));
    CPPUNIT_ASSERT(!health_.Avoid(kA, kThere, now_ + seconds(8)));
    health_.Succeeded(kA, kThere, now_);
    CPPUNIT_ASSERT(!health_.Avoid(kA, kThere, now_));
  }

  void UnreachableZoneIsAvoided() {
    health_.Unreachable(kA, kThere, now_);
    CPPUNIT_ASSERT(!health_.Avoid(kC, kThere, now_));
    health_.Unreachable(kB, kThere, now_);
    CPPUNIT_ASSERT(health_.Avoid(kC, kThere, now_));
    CPPUNIT_ASSERT(!health_.Avoid(kC, kHere, now_));
    // One success in the zone ends the avoidance of the zone.
    health_.Succeeded(kC, kThere, now_);
    CPPUNIT_ASSERT(!health_.Avoid(kC, kThere, now_));
  }

  // Each failure is that of a call, so an endpoint that does nothing else must
  // not be tried once a second for good.
  void EndpointThatOnlyFailsGetsLessAndLess() {
    int calls = 0;
    for (int n = 0; n < 3'000; ++n) {
      const auto now = now_ + n * milliseconds(10);
      if (!health_.Avoid(kA, kHere, now)) {
        health_.Failed(kA, now);
        ++calls;
      }
    }
    CPPUNIT_ASSERT(calls <= 15);
    // Half a minute of failures isn't held against it for long.
    const auto later = now_ + seconds(35);
    CPPUNIT_ASSERT(!health_.Avoid(kA, kHere, later));
    health_.Succeeded(kA, kHere, later);
    CPPUNIT_ASSERT(!health_.Avoid(kA, kHere, later));
    // Calls that break off together are one failure.
    for (int n = 0; n < 40; ++n) {
      health_.Failed(kB, now_);
    }
    CPPUNIT_ASSERT(!health_.Avoid(kB, kHere, now_ + seconds(18)));
  }

 private:
  EndpointHealth health_{EndpointHealthOptions()};
  Instant now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointHealthTest);

}  // namespace baobabrun
