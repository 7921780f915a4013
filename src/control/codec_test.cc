// Tests that encoding and decoding preserve values and that malformed bytes are
// rejected.
#include "control/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "control/control_error.h"

namespace baobabrun {
namespace {

Contract FullContract() {
  return {.organisation = OrganisationId("hall-a"),
          .models = {ModelId("tagger")},
          .routes = {RouteId("bookings")},
          .tokens_per_second = 1,
          .burst_tokens = 2,
          .requests_per_second = 3,
          .burst_requests = 4,
          .max_output_tokens = 5,
          .max_concurrent = 6,
          .weight = 7,
          .priority = PriorityClass::kBatch,
          .when_isolated = WhenIsolated::kRefuse};
}

KeyRecord FullKey() {
  return {.key = KeyId("k"),
          .organisation = OrganisationId("hall-a"),
          .hash = HashKey("secret", "salt"),
          .withdrawn = true};
}

Route FullRoute() {
  return {.route = RouteId("bookings"),
          .path = "/bookings/",
          .service = "listings",
          .open = true,
          .repeatable = {"GET", "PUT"}};
}

Model FullModel() {
  return {.model = ModelId("tagger"),
          .weights = "v3",
          .adapter = "a",
          .block_tokens = 1024,
          .wanted_endpoints = 4};
}

ChangeSet EveryChange() {
  return {PutContract{FullContract()},
          RemoveContract{OrganisationId("hall-b")},
          PutRoute{FullRoute()},
          RemoveRoute{RouteId("old")},
          PutModel{FullModel()},
          RemoveModel{ModelId("old")},
          AddKey{FullKey()},
          WithdrawKey{KeyId("k")},
          RetireEndpoint{EndpointId("w1")},
          CancelRetirement{EndpointId("w2")}};
}

}  // namespace

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(FleetStateRoundTrips);
  CPPUNIT_TEST(ChangesRoundTrip);
  CPPUNIT_TEST(ProposalsRoundTrip);
  CPPUNIT_TEST(ResultsRoundTrip);
  CPPUNIT_TEST(MalformedBytesAreRejected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FleetStateRoundTrips() {
    FleetState state;
    state.version = StateVersion(9);
    state.declarations = {.contracts = {FullContract()},
                          .keys = {FullKey()},
                          .routes = {FullRoute()},
                          .models = {FullModel()}};
    state.retired = {EndpointId("w1")};
    const auto back = DecodeFleetState(EncodeFleetState(state));
    CPPUNIT_ASSERT(back.ok());
    CPPUNIT_ASSERT(back.value().version == state.version);
    CPPUNIT_ASSERT(back.value().declarations == state.declarations);
    CPPUNIT_ASSERT(back.value().retired == state.retired);
  }

  void ChangesRoundTrip() {
    const auto changes = EveryChange();
    const auto back = DecodeChangeSet(EncodeChangeSet(changes));
    CPPUNIT_ASSERT(back.ok());
    CPPUNIT_ASSERT_EQUAL(changes.size(), back.value().size());
    for (std::size_t i = 0; i < changes.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(Describe(changes[i]), Describe(back.value()[i]));
    }
    const auto& contract = std::get<PutContract>(back.value()[0]).contract;
    CPPUNIT_ASSERT(contract == FullContract());
    CPPUNIT_ASSERT(std::get<PutRoute>(back.value()[2]).route == FullRoute());
    CPPUNIT_ASSERT(std::get<PutModel>(back.value()[4]).model == FullModel());
    CPPUNIT_ASSERT(std::get<AddKey>(back.value()[6]).record == FullKey());
  }

  void ProposalsRoundTrip() {
    const std::vector<Proposal> proposals = {
        ChangeProposal{"op", StateVersion(0), EveryChange()},
        ChangeProposal{"op", std::nullopt, {}},
        OnceBegin{OrganisationId("o"), "key", 5, VmId("ikeja-1"), 6},
        OnceEnd{OrganisationId("o"), "key", true, 201, "text/plain", "x", true},
        ReplaceReplica{"op", VmId("a"), VmId("b")}};
    for (const auto& it : proposals) {
      const auto bytes = EncodeProposal(it);
      const auto back = DecodeProposal(bytes);
      CPPUNIT_ASSERT(back.ok());
      CPPUNIT_ASSERT_EQUAL(it.index(), back.value().index());
      CPPUNIT_ASSERT_EQUAL(bytes, EncodeProposal(back.value()));
    }
    const auto back = DecodeProposal(EncodeProposal(proposals[0]));
    const auto& change = std::get<ChangeProposal>(back.value());
    CPPUNIT_ASSERT(change.expected == StateVersion(0));
    const auto begin = DecodeProposal(EncodeProposal(proposals[2]));
    CPPUNIT_ASSERT(std::get<OnceBegin>(begin.value()).vm == VmId("ikeja-1"));
  }

  void ResultsRoundTrip() {
    const ProposalResult result = {
        .outcome = ProposalOutcome::kOnceStored,
        .version = StateVersion(3),
        .message = "m",
        .once = OnceEnd{OrganisationId("o"), "key", true, 200, "t", "b", true}};
    const auto back = DecodeProposalResult(EncodeProposalResult(result));
    CPPUNIT_ASSERT(back.ok());
    CPPUNIT_ASSERT(back.value().outcome == result.outcome);
    CPPUNIT_ASSERT(back.value().version == result.version);
    CPPUNIT_ASSERT_EQUAL(result.message, back.value().message);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), back.value().once->body);
  }

  void MalformedBytesAreRejected() {
    const std::string junk = "\xff\xff\xff";
    const auto state = DecodeFleetState(junk);
    CPPUNIT_ASSERT(!state.ok());
    CPPUNIT_ASSERT(state.error().code == ControlError::kMalformed);
    CPPUNIT_ASSERT(!DecodeChangeSet(junk).ok());
    CPPUNIT_ASSERT(!DecodeProposal("").ok());                // unset oneof
    CPPUNIT_ASSERT(!DecodeProposalResult("\x08\x63").ok());  // outcome 99
    KeyRecord short_hash = FullKey();
    auto bytes = EncodeChangeSet({AddKey{short_hash}});
    bytes.pop_back();
    CPPUNIT_ASSERT(!DecodeChangeSet(bytes).ok());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace baobabrun
