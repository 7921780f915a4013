// Tests of settings and declarations, with a table of invalid inputs and the
// error message expected for each.
#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "settings/declarations.h"
#include "settings/process_settings.h"

namespace baobabrun {

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(InvalidDeclarationsAreReportedWithField);
  CPPUNIT_TEST(DeclarationsSurviveJsonRoundTrip);
  CPPUNIT_TEST(LongestMatchingRouteIsChosen);
  CPPUNIT_TEST(InvalidAddressesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidDeclarationsAreReportedWithField() {
    struct Row {
      const char* json;
      const char* message;
    };
    const Row rows[] = {
        {"{", "parse error"},
        {"[]", "x.json: /: must be an object"},
        {R"({"contract": []})", "/contract: is not a known field"},
        {R"({"contracts": [{}]})", "/contracts/0/organisation: is missing"},
        {R"({"contracts": [{"organisation": 7}]})", "must be a string"},
        {R"({"contracts": [{"organisation": "a", "weight": 0}]})",
         "/contracts/0/weight: must be from 1 to 1000"},
        {R"({"contracts": [{"organisation": "a", "weight": 1.5}]})",
         "must be a whole number"},
        {R"({"contracts": [{"organisation": "a",
              "tokens_per_second": 18446744073709551615}]})",
         "must be a whole number"},
        {R"({"contracts": [{"organisation": "a", "models": ["m"],
              "burst_tokens": 5000}]})",
         "names model 'm', which is not declared"},
        {R"({"contracts": [{"organisation": "a"}, {"organisation": "a"}]})",
         "contract 'a' is declared twice"},
        {R"({"routes": [{"route": "r", "path": "x", "service": "s"}]})",
         "must begin and end with '/'"},
        {R"({"keys": [{"key": "k", "organisation": "a", "hash": "00"}]})",
         "must be 64 hexadecimal digits"},
    };
    for (const auto& it : rows) {
      const auto result = ParseDeclarations(it.json, "x.json");
      CPPUNIT_ASSERT_MESSAGE(it.json, !result.ok());
      CPPUNIT_ASSERT_MESSAGE(
          result.error().message,
          result.error().message.find(it.message) != std::string::npos);
    }
  }

  void DeclarationsSurviveJsonRoundTrip() {
    const auto first = ParseDeclarations(
        R"({"contracts": [{"organisation": "a", "models": ["m"], // c
             "tokens_per_second": 5, "burst_tokens": 5000,
             "priority": "batch", "when_isolated": "refuse"}],
            "models": [{"model": "m", "weights": "v1"}],
            "routes": [{"route": "r", "path": "/r/", "service": "s",
                        "repeatable": ["GET"]}]})",
        "x.json");
    CPPUNIT_ASSERT(first.ok());
    const auto second = ParseDeclarations(ToJson(first.value()), "y.json");
    CPPUNIT_ASSERT(second.ok());
    CPPUNIT_ASSERT(first.value() == second.value());
  }

  void LongestMatchingRouteIsChosen() {
    Declarations all;
    all.routes = {{RouteId("a"), "/s/", "x", false, {}},
                  {RouteId("b"), "/s/deep/", "y", false, {}}};
    CPPUNIT_ASSERT_EQUAL(std::string("b"),
                         all.MatchRoute("/s/deep/1")->route.value());
    CPPUNIT_ASSERT(all.MatchRoute("/t/") == nullptr);
  }

  void InvalidAddressesAreRefused() {
    CPPUNIT_ASSERT(ParseAddress("127.0.0.1:80").ok());
    for (const char* it : {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999",
                           "127.0.0.1:8o", ":::"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseAddress(it).ok());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace baobabrun
