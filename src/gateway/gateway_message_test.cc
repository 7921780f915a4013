// Tests that odd parts of messages from other VMs are skipped and the others
// kept.
#include "gateway/gateway_message.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>
#include <string>

#include "gateway/gateway.pb.h"

namespace baobabrun {

class GatewayMessageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GatewayMessageTest);
  CPPUNIT_TEST(OddNoticesAreSkippedAndOthersKept);
  CPPUNIT_TEST(OddNoticesOfOneEntryDoNotHideThoseOfOthers);
  CPPUNIT_TEST(OddNumbersOfQuotasAreRefused);
  CPPUNIT_TEST(OddUseInAStoredFileIsSkippedAndOthersKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OddNoticesAreSkippedAndOthersKept() {
    wire::GatewayMessage wire;
    FillWithOneGoodAndOddNotices(*wire.mutable_call_notices());
    const auto decoded = DecodeGatewayMessage(wire.SerializeAsString());
    CPPUNIT_ASSERT(decoded.ok());
    CheckOneGoodNotice(std::get<CallNotices>(decoded.value()));
  }

  void OddNoticesOfOneEntryDoNotHideThoseOfOthers() {
    wire::GatewayMessage wire;
    for (const auto* it : {"a", "b"}) {
      auto* from = wire.mutable_relayed_notices()->add_from();
      from->set_origin(it);
      FillWithOneGoodAndOddNotices(*from->mutable_notices());
    }
    const auto decoded = DecodeGatewayMessage(wire.SerializeAsString());
    CPPUNIT_ASSERT(decoded.ok());
    const auto& from = std::get<RelayedNotices>(decoded.value()).from;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, from.size());
    CheckOneGoodNotice(from[0].notices);
    CheckOneGoodNotice(from[1].notices);
  }

  void OddNumbersOfQuotasAreRefused() {
    const auto refused = [](const auto& change) {
      wire::GatewayMessage wire;
      change(wire);
      return !DecodeGatewayMessage(wire.SerializeAsString()).ok();
    };
    CPPUNIT_ASSERT(refused([](auto& it) {
      it.mutable_quota_answer()->set_retry_after_ms(kMost);
    }));
    CPPUNIT_ASSERT(refused(
        [](auto& it) { it.mutable_quota_answer()->set_retry_after_ms(-1); }));
    CPPUNIT_ASSERT(
        refused([](auto& it) { it.mutable_quota_answer()->set_cap(kMost); }));
    CPPUNIT_ASSERT(
        refused([](auto& it) { it.mutable_quota_ask()->set_cost(-1); }));
    CPPUNIT_ASSERT(
        refused([](auto& it) { it.mutable_quota_ask()->set_taken(kMost); }));
    CPPUNIT_ASSERT(!refused([](auto& it) {
      it.mutable_quota_answer()->set_retry_after_ms(1'000);
    }));
  }

  void OddUseInAStoredFileIsSkippedAndOthersKept() {
    wire::QuotaUses wire;
    auto* use = wire.add_uses();
    use->set_entry("a");
    for (const auto amount : {std::int64_t{7}, kMost, std::int64_t{-1}}) {
      auto* taken = use->mutable_report()->add_taken();
      taken->set_organisation("hall");
      taken->set_amount(amount);
    }
    const auto decoded = DecodeQuotaUses(wire.SerializeAsString());
    CPPUNIT_ASSERT(decoded.ok());
    const auto& taken = decoded.value().at(VmId("a")).taken;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, taken.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, taken[0].amount);
  }

 private:
  static constexpr auto kMost = std::numeric_limits<std::int64_t>::max();

  static void FillWithOneGoodAndOddNotices(wire::CallNotices& out) {
    const auto add = [&out] {
      auto* it = out.add_notices();
      it->set_kind(static_cast<std::uint32_t>(CallNoticeKind::kSent));
      it->set_serial(7);
      it->set_endpoint("e");
      it->add_prefixes()->set_tokens(8);
      return it;
    };
    add()->set_kind(0);
    add()->set_kind(9);
    add()->mutable_prefixes(0)->set_tokens(-1);
    add()->mutable_prefixes(0)->set_tokens(kMost);
    add()->set_outputs(kMost);
    add()->set_fetched(-1);
    add()->set_endpoint("\xff");
    add()->set_serial(3);
    for (const auto tokens : {std::int64_t{5}, kMost, std::int64_t{-1}}) {
      auto* cache = out.add_caches();
      cache->set_endpoint("e");
      cache->add_parts()->set_tokens(tokens);
    }
    out.set_newest(9);
  }

  static void CheckOneGoodNotice(const CallNotices& it) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, it.notices.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, it.notices[0].serial);
    std::size_t parts = 0;
    for (const auto& cache : it.caches) {
      parts += cache.parts.size();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parts);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, it.newest);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayMessageTest);

}  // namespace baobabrun
