// Tests which endpoints get no requests after what they answered.
#include "gateway/endpoint_backoff.h"

#include <cppunit/extensions/HelperMacros.h>

namespace baobabrun {
namespace {

const EndpointId kA("a");
const EndpointId kB("b");

}  // namespace

class EndpointBackoffTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndpointBackoffTest);
  CPPUNIT_TEST(LeavingEndpointIsCalledOnlyInItsNextIncarnation);
  CPPUNIT_TEST(UnknownEndpointsAreForgotten);
  CPPUNIT_TEST(EndpointIsNotCalledUntilItsTimeIsOver);
  CPPUNIT_TEST(LongestTimeCounts);
  CPPUNIT_TEST(NonsensicalTimeIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeavingEndpointIsCalledOnlyInItsNextIncarnation() {
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(5), now_));
    CPPUNIT_ASSERT(backoff_.RecordLeaving(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.RecordLeaving(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(5), now_));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(4), now_));
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(6), now_));
    CPPUNIT_ASSERT(backoff_.MayCall(kB, Incarnation(5), now_));
    // A late answer of an earlier incarnation changes nothing.
    CPPUNIT_ASSERT(backoff_.RecordLeaving(kA, Incarnation(7)));
    CPPUNIT_ASSERT(!backoff_.RecordLeaving(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(7), now_));
  }

  void UnknownEndpointsAreForgotten() {
    backoff_.RecordLeaving(kA, Incarnation(5));
    backoff_.RecordLeaving(kB, Incarnation(5));
    backoff_.Expire([](const auto& it) { return it == kB; }, now_);
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(5), now_));
    CPPUNIT_ASSERT(!backoff_.MayCall(kB, Incarnation(5), now_));
  }

  void EndpointIsNotCalledUntilItsTimeIsOver() {
    CPPUNIT_ASSERT(backoff_.RecordRetryAfter(kA, seconds(2), now_));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(5), now_));
    CPPUNIT_ASSERT(backoff_.MayCall(kB, Incarnation(5), now_));
    const auto until = now_ + seconds(2);
    CPPUNIT_ASSERT(backoff_.HeldUntil(kA) == until);
    CPPUNIT_ASSERT(
        !backoff_.MayCall(kA, Incarnation(6), until - milliseconds(1)));
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(5), until));
    backoff_.Expire([](const auto&) { return false; }, now_);
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(5), now_));
    backoff_.RecordLeaving(kA, Incarnation(5));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(5), until));
  }

  void LongestTimeCounts() {
    CPPUNIT_ASSERT(backoff_.RecordRetryAfter(kA, seconds(2), now_));
    CPPUNIT_ASSERT(!backoff_.RecordRetryAfter(kA, seconds(1), now_));
    CPPUNIT_ASSERT(backoff_.HeldUntil(kA) == now_ + seconds(2));
    CPPUNIT_ASSERT(!backoff_.RecordRetryAfter(kA, seconds(3), now_));
    CPPUNIT_ASSERT(backoff_.HeldUntil(kA) == now_ + seconds(3));
    now_ += seconds(3);
    CPPUNIT_ASSERT(backoff_.RecordRetryAfter(kA, seconds(1), now_));
  }

  void NonsensicalTimeIsBounded() {
    backoff_.RecordRetryAfter(kA, std::chrono::hours(1'000), now_);
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(5), now_ + seconds(60)));
    CPPUNIT_ASSERT(
        backoff_.MayCall(kA, Incarnation(5), now_ + std::chrono::hours(1)));
    CPPUNIT_ASSERT(!backoff_.RecordRetryAfter(kB, Duration::zero(), now_));
    CPPUNIT_ASSERT(!backoff_.RecordRetryAfter(kB, seconds(-1), now_));
    CPPUNIT_ASSERT(backoff_.MayCall(kB, Incarnation(5), now_));
  }

 private:
  EndpointBackoff backoff_{EndpointBackoffOptions()};
  Instant now_{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointBackoffTest);

}  // namespace baobabrun
