// Encoding of the gateway's messages.
#include "gateway/gateway_message.h"

#include "gateway/gateway.pb.h"
#include "membership/membership_error.h"

namespace baobabrun {
namespace {

struct ToProto {
  wire::GatewayMessage* out;

  void operator()(const QuotaAsk& it) const {
    auto* ask = out->mutable_quota_ask();
    ask->set_serial(it.serial);
    ask->set_organisation(it.organisation.value());
    ask->set_cost(it.cost);
  }
  void operator()(const QuotaAnswer& it) const {
    auto* answer = out->mutable_quota_answer();
    answer->set_serial(it.serial);
    answer->set_granted(it.granted);
    answer->set_retry_after_ms(
        std::chrono::ceil<milliseconds>(it.retry_after).count());
  }
  void operator()(const QuotaOffer& it) const {
    out->mutable_quota_offer()->set_term(it.term);
  }
  void operator()(const CrashNotice& it) const {
    auto* notice = out->mutable_crash_notice();
    notice->set_fingerprint(it.fingerprint);
    notice->set_endpoint(it.endpoint.value());
  }
};

}  // namespace

std::string EncodeGatewayMessage(const GatewayMessage& message) {
  wire::GatewayMessage out;
  std::visit(ToProto{&out}, message);
  return out.SerializeAsString();
}

Result<GatewayMessage> DecodeGatewayMessage(std::string_view bytes) {
  using Kind = wire::GatewayMessage::KindCase;
  wire::GatewayMessage in;
  const Error malformed{MembershipError::kMalformed,
                        "malformed gateway message"};
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return malformed;
  }
  switch (in.kind_case()) {
    case Kind::kQuotaAsk:
      return GatewayMessage(
          QuotaAsk{in.quota_ask().serial(),
                   OrganisationId(in.quota_ask().organisation()),
                   in.quota_ask().cost()});
    case Kind::kQuotaAnswer:
      return GatewayMessage(
          QuotaAnswer{in.quota_answer().serial(), in.quota_answer().granted(),
                      milliseconds(in.quota_answer().retry_after_ms())});
    case Kind::kQuotaOffer:
      return GatewayMessage(QuotaOffer{in.quota_offer().term()});
    case Kind::kCrashNotice:
      return GatewayMessage(
          CrashNotice{in.crash_notice().fingerprint(),
                      EndpointId(in.crash_notice().endpoint())});
    case Kind::KIND_NOT_SET:
      break;
  }
  return malformed;
}

}  // namespace baobabrun
