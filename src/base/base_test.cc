// Tests of the ring, the hashes, the event catalogue and the checks of texts.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "base/hash.h"
#include "base/json_bounds.h"
#include "base/log.h"
#include "base/ring.h"
#include "base/utf8.h"

namespace baobabrun {

class BaseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BaseTest);
  CPPUNIT_TEST(FullRingRefusesPush);
  CPPUNIT_TEST(ClosedRingRefusesPushAndKeepsItems);
  CPPUNIT_TEST(KeyHashDependsOnSalt);
  CPPUNIT_TEST(HexRoundTrip);
  CPPUNIT_TEST(EventNumbersAreUniqueAndAscending);
  CPPUNIT_TEST(JsonIsBoundedInDepthAndValues);
  CPPUNIT_TEST(StringsAndCommentsHideNoDepth);
  CPPUNIT_TEST(Utf8IsValidated);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FullRingRefusesPush() {
    Ring<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    CPPUNIT_ASSERT(ring.TryPush(2));
    CPPUNIT_ASSERT(!ring.TryPush(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ring.Drain(Duration::zero()).size());
    CPPUNIT_ASSERT(ring.TryPush(4));
  }

  void ClosedRingRefusesPushAndKeepsItems() {
    Ring<int> ring(2);
    CPPUNIT_ASSERT(ring.TryPush(1));
    ring.Close();
    CPPUNIT_ASSERT(!ring.TryPush(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ring.Drain(seconds(1)).size());
  }

  void KeyHashDependsOnSalt() {
    const auto left = HashKey("secret", "salt-a");
    CPPUNIT_ASSERT(SameHash(left, HashKey("secret", "salt-a")));
    CPPUNIT_ASSERT(!SameHash(left, HashKey("secret", "salt-b")));
    CPPUNIT_ASSERT(!SameHash(left, HashKey("secreu", "salt-a")));
  }

  void HexRoundTrip() {
    CPPUNIT_ASSERT_EQUAL(std::string("00ff7a"), ToHex(FromHex("00ff7a")));
    CPPUNIT_ASSERT(FromHex("0g").empty());
    CPPUNIT_ASSERT(FromHex("abc").empty());
  }

  void JsonIsBoundedInDepthAndValues() {
    const JsonBounds bounds{3, 5};
    const auto good = [&](std::string_view text) {
      return CheckJsonBounds(text, bounds).ok();
    };
    CPPUNIT_ASSERT(good(""));
    CPPUNIT_ASSERT(good("[[[]]]"));
    CPPUNIT_ASSERT(!good("[[[["));
    CPPUNIT_ASSERT(!good(R"({"a":[{"a":[]}]})"));
    CPPUNIT_ASSERT(good("[1,2,3,4,5]"));
    CPPUNIT_ASSERT(!good("[1,2,3,4,5,6]"));
    CPPUNIT_ASSERT(good("[],[],[]"));
    CPPUNIT_ASSERT(!good("[],[],[],[]"));
    CPPUNIT_ASSERT(good(R"(["[[[[,,,,,,"])"));
    CPPUNIT_ASSERT(good("]]]]]]"));
  }

  void StringsAndCommentsHideNoDepth() {
    const JsonBounds bounds{3, 100};
    for (const std::string_view it :
         {R"(["\"",[[[0]]]])", R"(["\\",[[[0]]]])", "/* \" */[[[[",
          "// \"\n[[[[", "// \"\r[[[[", "/**/[[[[", "/*/ \"*/[[[["}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(it),
                             !CheckJsonBounds(it, bounds).ok());
    }
    for (const std::string_view it : {R"(["\"[[[["])", "/* [[[[ */[]",
                                      "// [[[[", "/* [[[[", "\"[[[[", "\"\\"}) {
      CPPUNIT_ASSERT_MESSAGE(std::string(it), CheckJsonBounds(it, bounds).ok());
    }
  }

  void Utf8IsValidated() {
    for (const std::string_view it : {"", "i-1", "\xc3\xa9", "\xe2\x82\xac",
                                      "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf"}) {
      CPPUNIT_ASSERT(IsUtf8(it));
    }
    for (const std::string_view it :
         {"\xff", "\x80", "\xc3", "\xc3(", "\xc0\xaf", "\xe0\x80\xaf",
          "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80",
          "a\xe2\x82"}) {
      CPPUNIT_ASSERT(!IsUtf8(it));
    }
  }

  void EventNumbersAreUniqueAndAscending() {
    Event last{};
    for (const auto& it : EventCatalogue()) {
      CPPUNIT_ASSERT_MESSAGE(std::string(it.name), last < it.event);
      last = it.event;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BaseTest);

}  // namespace baobabrun
