// Tests of the key table: lookups, and withdrawals that are never undone.
#include "keys/key_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace baobabrun {
namespace {

KeyRecord Record(const char* id,
                 const char* secret,
                 const char* organisation,
                 bool withdrawn = false) {
  return {KeyId(id), OrganisationId(organisation), HashKey(secret, "salt"),
          withdrawn};
}

FleetState State(std::uint64_t version, std::vector<KeyRecord> keys) {
  FleetState state;
  state.version = StateVersion(version);
  state.declarations.keys = std::move(keys);
  return state;
}

}  // namespace

class KeyTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(KeyTableTest);
  CPPUNIT_TEST(LookupFindsOrganisationOrReason);
  CPPUNIT_TEST(WithdrawnKeyIsNeverFoundAgain);
  CPPUNIT_TEST(WithdrawalMayArriveBeforeTheKey);
  CPPUNIT_TEST(OlderStateOnlyWithdrawsKeys);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LookupFindsOrganisationOrReason() {
    KeyTable table("salt");
    table.Apply(State(
        1, {Record("k1", "one", "hall-a"), Record("k2", "two", "hall-b", true),
            Record("k3", "three", "hall-a"), Record("k4", "three", "hall-b"),
            Record("k5", "five", "hall-a"),
            Record("k6", "five", "hall-a", true)}));
    struct Row {
      const char* key;
      bool found;
      RefusalReason reason;
    };
    const Row rows[] = {
        {"one", true, RefusalReason::kKeyUnknown},
        {"", false, RefusalReason::kKeyMissing},
        {"nobody's", false, RefusalReason::kKeyUnknown},
        {"two", false, RefusalReason::kKeyWithdrawn},
        // Declared for two organisations.
        {"three", false, RefusalReason::kKeyUnknown},
        // Withdrawn under its other id.
        {"five", false, RefusalReason::kKeyWithdrawn},
    };
    for (const auto& it : rows) {
      const auto result = table.Lookup(it.key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.key, it.found, result.found);
      CPPUNIT_ASSERT_MESSAGE(it.key, it.found || it.reason == result.reason);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(it.key, it.found,
                                   !result.organisation.empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("hall-a"),
                         table.Lookup("one").organisation.value());
  }

  void WithdrawnKeyIsNeverFoundAgain() {
    KeyTable table("salt");
    table.Apply(State(4, {Record("k1", "one", "hall-a")}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table.Withdraw({KeyId("k1")}).size());
    CPPUNIT_ASSERT(table.Withdraw({KeyId("k1")}).empty());
    for (const std::uint64_t version : {3, 4, 5}) {
      table.Apply(State(version, {Record("k1", "one", "hall-a")}));
      CPPUNIT_ASSERT(!table.Lookup("one").found);
    }
  }

  void WithdrawalMayArriveBeforeTheKey() {
    KeyTable table("salt");
    table.Withdraw({KeyId("k1")});
    table.Apply(State(1, {Record("k1", "one", "hall-a")}));
    CPPUNIT_ASSERT(!table.Lookup("one").found);
  }

  void OlderStateOnlyWithdrawsKeys() {
    KeyTable table("salt");
    table.Apply(State(5, {Record("k1", "one", "hall-b")}));
    const auto withdrawn_keys = table.Apply(
        State(4, {Record("k1", "one", "hall-a"), Record("k2", "two", "hall-a"),
                  Record("k3", "three", "x", true)}));
    CPPUNIT_ASSERT_EQUAL(std::string("hall-b"),
                         table.Lookup("one").organisation.value());
    CPPUNIT_ASSERT(!table.Lookup("two").found);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, withdrawn_keys.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyTableTest);

}  // namespace baobabrun
