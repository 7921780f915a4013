// Tests that changes are described, computed and applied correctly.
#include "control/change.h"

#include <cppunit/extensions/HelperMacros.h>

#include "control/control_error.h"

namespace baobabrun {
namespace {

Contract MakeContract(const std::string& organisation, std::int64_t rate) {
  Contract contract;
  contract.organisation = OrganisationId(organisation);
  contract.tokens_per_second = rate;
  return contract;
}

KeyRecord MakeKey(const std::string& key, bool withdrawn = false) {
  return {.key = KeyId(key),
          .organisation = OrganisationId("hall-a"),
          .hash = HashKey(key, "salt"),
          .withdrawn = withdrawn};
}

}  // namespace

class ChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChangeTest);
  CPPUNIT_TEST(ApplyingDiffYieldsTheTarget);
  CPPUNIT_TEST(DiffKeepsKeysThatTheTargetLacks);
  CPPUNIT_TEST(InapplicableChangeRejectsTheWholeSet);
  CPPUNIT_TEST(WithdrawnKeyCannotBeAddedAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ApplyingDiffYieldsTheTarget() {
    FleetState state;
    state.version = StateVersion(7);
    state.declarations.contracts = {MakeContract("hall-a", 1),
                                    MakeContract("hall-b", 2)};
    state.declarations.routes.emplace_back().route = RouteId("old");
    Declarations wanted;
    wanted.contracts = {MakeContract("hall-a", 3)};
    wanted.models.emplace_back().model = ModelId("tagger");
    const auto changes = Diff(state.declarations, wanted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("+ contract hall-a"),
                         Describe(changes[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("- contract hall-b"),
                         Describe(changes[1]));
    const auto next = Apply(state, changes);
    CPPUNIT_ASSERT(next.ok());
    CPPUNIT_ASSERT(next.value().declarations == wanted);
    CPPUNIT_ASSERT(next.value().version == StateVersion(8));
  }

  void DiffKeepsKeysThatTheTargetLacks() {
    Declarations from;
    from.keys = {MakeKey("k1"), MakeKey("k2")};
    Declarations to;
    to.keys = {MakeKey("k2", true), MakeKey("k3")};
    const auto changes = Diff(from, to);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
    CPPUNIT_ASSERT_EQUAL(std::string("- key k2"), Describe(changes[0]));
    CPPUNIT_ASSERT_EQUAL(std::string("+ key k3 of hall-a"),
                         Describe(changes[1]));
  }

  void InapplicableChangeRejectsTheWholeSet() {
    FleetState state;
    state.declarations.keys = {MakeKey("live"), MakeKey("gone", true)};
    KeyRecord alias = MakeKey("gone");
    alias.key = KeyId("alias");
    KeyRecord other = MakeKey("live");
    other.organisation = OrganisationId("hall-b");
    const Change inapplicable[] = {
        AddKey{MakeKey("gone")},
        AddKey{alias},
        AddKey{other},
        WithdrawKey{KeyId("never")},
        RemoveContract{OrganisationId("never")},
        RemoveRoute{RouteId("never")},
        RemoveModel{ModelId("never")},
        CancelRetirement{EndpointId("never")},
    };
    for (const auto& it : inapplicable) {
      const auto next = Apply(state, {PutContract{MakeContract("x", 1)}, it});
      CPPUNIT_ASSERT_MESSAGE(Describe(it), !next.ok());
      CPPUNIT_ASSERT(next.error().code == ControlError::kNotApplicable);
    }
  }

  void WithdrawnKeyCannotBeAddedAgain() {
    FleetState state;
    const auto added = Apply(state, {AddKey{MakeKey("k")}});
    CPPUNIT_ASSERT(added.ok());
    const auto gone = Apply(added.value(), {WithdrawKey{KeyId("k")}});
    CPPUNIT_ASSERT(gone.ok());
    CPPUNIT_ASSERT(gone.value().declarations.keys.at(0).withdrawn);
    const auto again = Apply(gone.value(), {WithdrawKey{KeyId("k")}});
    CPPUNIT_ASSERT(again.ok());
    CPPUNIT_ASSERT(!Apply(again.value(), {AddKey{MakeKey("k")}}).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeTest);

}  // namespace baobabrun
