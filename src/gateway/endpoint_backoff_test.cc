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
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeavingEndpointIsCalledOnlyInItsNextIncarnation() {
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(5)));
    CPPUNIT_ASSERT(backoff_.RecordLeaving(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.RecordLeaving(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(4)));
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(6)));
    CPPUNIT_ASSERT(backoff_.MayCall(kB, Incarnation(5)));
    // A late answer of an earlier incarnation changes nothing.
    CPPUNIT_ASSERT(backoff_.RecordLeaving(kA, Incarnation(7)));
    CPPUNIT_ASSERT(!backoff_.RecordLeaving(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.MayCall(kA, Incarnation(7)));
  }

  void UnknownEndpointsAreForgotten() {
    backoff_.RecordLeaving(kA, Incarnation(5));
    backoff_.RecordLeaving(kB, Incarnation(5));
    backoff_.Retain([](const auto& it) { return it == kB; });
    CPPUNIT_ASSERT(backoff_.MayCall(kA, Incarnation(5)));
    CPPUNIT_ASSERT(!backoff_.MayCall(kB, Incarnation(5)));
  }

 private:
  EndpointBackoff backoff_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndpointBackoffTest);

}  // namespace baobabrun
