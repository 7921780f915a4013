// Tests of settings and declarations, with a table of invalid inputs and the
// error message expected for each.
#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
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
  CPPUNIT_TEST(NamesAreNotResolvedAsAddresses);
  CPPUNIT_TEST(DeeplyNestedFieldEndsNoProcess);
  CPPUNIT_TEST(InvalidProcessSettingsAreReportedWithFileAndField);
  CPPUNIT_TEST(DurationsMayBeInMillisecondsOrSeconds);
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
                           "127.0.0.1:8o", ":::", ":80", "127.0.0.1:-1"}) {
      CPPUNIT_ASSERT_MESSAGE(it, !ParseAddress(it).ok());
    }
  }

  // A query to a name server would block the thread that reads the address.
  void NamesAreNotResolvedAsAddresses() {
    CPPUNIT_ASSERT(!ParseAddress("localhost:80").ok());
    CPPUNIT_ASSERT(!ParseAddress(std::string("127.0.0.1\0x:80", 14)).ok());
    CPPUNIT_ASSERT(ParseAddress("127.0.0.1:0").ok());
  }

  void DeeplyNestedFieldEndsNoProcess() {
    constexpr std::size_t kLevels = 500'000;
    const auto deep = std::string(kLevels, '[') + std::string(kLevels, ']');
    for (const auto& it :
         {R"({"contracts":[{"weight":)" + deep + "}]}",
          R"({/* " */"contracts":[{"weight":)" + deep + "/* \" */}]}"}) {
      const auto parsed = ParseDeclarations(it, "here");
      CPPUNIT_ASSERT(!parsed.ok());
      CPPUNIT_ASSERT_EQUAL(std::string("here: nested more than 64 levels deep"),
                           parsed.error().message);
    }
  }

  void InvalidProcessSettingsAreReportedWithFileAndField() {
    struct Row {
      const char* fields;
      const char* message;
    };
    const Row rows[] = {
        {R"("shutdown_timeout_ms": 1, "shutdown_timeout_s": 1)",
         "/shutdown_timeout_s: must not stand beside shutdown_timeout_ms"},
        {R"("heartbeat_ms": -1)", "/heartbeat_ms: must be from 0 to"},
        {R"("heartbeat_s": 1e300)", "/heartbeat_s: must be from 0 to 31536000"},
        {R"("heartbeat_ms": "7")",
         R"(/heartbeat_ms: must be a number, not "7")"},
        {R"("heartbeat_ms": NaN)", "parse error"},
        {R"("heartbeat": 7)", "/heartbeat: is not a known field"},
        {R"("seeds": ["front"])", "/seeds: 'front' must be an IP address"},
        {R"("max_connections": 2.5)",
         "/max_connections: must be a whole number, not 2.5"},
        {R"("gateway": {"retry_slack": -0.5})",
         "/gateway/retry_slack: must be from 0 to"},
        {R"("gateway": {"retry_slack": true})",
         "/gateway/retry_slack: must be a number, not true"},
        {R"("gateway": {"lost_disks": 1.5})",
         "/gateway/lost_disks: must be a whole number, not 1.5"},
        {R"("gateway": {"quota_overage": -1})",
         "/gateway/quota_overage: must be from 0 to 1000, not -1"},
    };
    for (const auto& it : rows) {
      const auto result = ReadProcessSettings(it.fields);
      CPPUNIT_ASSERT_MESSAGE(it.fields, !result.ok());
      const auto& message = result.error().message;
      CPPUNIT_ASSERT_MESSAGE(message,
                             message.find(it.message) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(
          message, message.find("settings_test") != std::string::npos);
    }
  }

  void DurationsMayBeInMillisecondsOrSeconds() {
    struct Row {
      const char* fields;
      Duration heartbeat;
    };
    const Row rows[] = {
        {R"("heartbeat_ms": 250)", milliseconds(250)},
        {R"("heartbeat_ms": 250.5)", std::chrono::microseconds(250'500)},
        {R"("heartbeat_s": 2.5)", milliseconds(2'500)},
        {R"("heartbeat_s": 0)", milliseconds(1)},
        {R"("heartbeat_s": 86401)", seconds(86'401)},
    };
    for (const auto& it : rows) {
      const auto result = ReadProcessSettings(it.fields);
      CPPUNIT_ASSERT_MESSAGE(it.fields, result.ok());
      CPPUNIT_ASSERT_MESSAGE(it.fields,
                             result.value().heartbeat == it.heartbeat);
    }
  }

 private:
  static Result<ProcessSettings> ReadProcessSettings(const std::string& more) {
    const auto file = std::filesystem::temp_directory_path() /
                      ("settings_test." + std::to_string(getpid()) + ".json");
    std::ofstream(file) << R"({"vm": "v", "zone": "z", "region": "r",
        "callers": "127.0.0.1:1", "operators": "127.0.0.1:2",
        "peers": "127.0.0.1:3", "key_salt": "salt", )"
                        << more << "}";
    auto result = LoadProcessSettings(file);
    std::filesystem::remove(file);
    return result;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace baobabrun
