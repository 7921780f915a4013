// Encodes the gateway's messages as protobuf and decodes them.
#include "gateway/gateway_message.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/utf8.h"
#include "gateway/gateway.pb.h"
#include "membership/membership_error.h"

namespace baobabrun {
namespace {

void ReportToProto(const QuotaReport& report, wire::QuotaReport* out) {
  for (const auto& it : report.taken) {
    auto* to = out->add_taken();
    to->set_organisation(it.organisation.value());
    to->set_amount(it.amount);
  }
}

// Larger numbers can't be right, and sums of them could overflow.
constexpr std::int64_t kMostTokens = std::int64_t{1} << 40;
constexpr std::int64_t kMostQuota = std::int64_t{1} << 58;
constexpr std::int64_t kLongestRetryAfterMs = 86'400'000;
// Longer times in notices of crashes are shortened to this.
constexpr std::int64_t kLongestShortTimeMs = 86'400'000;
// More parts of one prompt aren't read.
constexpr int kMaxSuspectParts = 64;

bool IsTokens(std::int64_t n) {
  return n >= 0 && n <= kMostTokens;
}

bool IsQuota(std::int64_t n) {
  return n >= 0 && n <= kMostQuota;
}

void LogSkipped(std::string_view what, std::string_view of) {
  Log(Event::kPeerMessageMalformed, "{} of {} is skipped: it can't be right",
      what, of);
}

QuotaReport ReportFromProto(const wire::QuotaReport& in) {
  QuotaReport report;
  for (const auto& it : in.taken()) {
    if (!IsQuota(it.amount()) || !IsUtf8(it.organisation())) {
      LogSkipped("consumption", it.organisation());
      continue;
    }
    report.taken.push_back({OrganisationId(it.organisation()), it.amount()});
  }
  return report;
}

void CacheNoticeToProto(const CacheNotice& in, wire::CacheNotice* out) {
  out->set_endpoint(in.endpoint.value());
  out->set_emptied(in.emptied);
  for (const auto& it : in.parts) {
    auto* part = out->add_parts();
    part->set_part(it.part);
    part->set_tokens(it.tokens);
  }
}

// In milliseconds, within what the field can hold.
std::uint32_t ShortTime(Duration time) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(InMs(time), 0, kLongestShortTimeMs));
}

void CrashToProto(const CrashNotice& in, wire::CrashNotice* out) {
  out->set_fingerprint(in.fingerprint);
  out->set_endpoint(in.endpoint.value());
  out->set_incarnation(in.incarnation.value());
  out->set_attempt(in.attempt);
  out->set_answering(in.answering);
  for (const auto& it : in.parts) {
    auto* part = out->add_parts();
    part->set_part(it.part);
    if (it.sound_ago) {
      part->set_sound_ago_ms(ShortTime(*it.sound_ago));
    }
  }
  out->set_age_ms(ShortTime(in.age));
  out->set_unreachable(in.unreachable);
}

void NoticesToProto(const CallNotices& in, wire::CallNotices* out) {
  for (const auto& notice : in.notices) {
    auto* to = out->add_notices();
    to->set_kind(static_cast<std::uint32_t>(notice.kind));
    to->set_serial(notice.serial);
    to->set_endpoint(notice.endpoint.value());
    to->set_saved_to(notice.saved_to.value());
    to->set_outputs(notice.work.outputs);
    to->set_fetched(notice.work.fetched);
    to->set_fetched_from(notice.work.fetched_from.value());
    to->set_shared(static_cast<std::uint32_t>(notice.work.shared));
    for (const auto& prefix : notice.work.parts) {
      auto* part = to->add_prefixes();
      part->set_hash(prefix.key);
      part->set_tokens(prefix.tokens);
    }
  }
  for (const auto& cache : in.caches) {
    CacheNoticeToProto(cache, out->add_caches());
  }
  out->set_newest(in.newest);
  out->mutable_in_flight()->Add(in.in_flight.begin(), in.in_flight.end());
  out->set_relay(in.relay);
  for (const auto& it : in.crashes) {
    CrashToProto(it, out->add_crashes());
  }
  for (const auto& it : in.quarantines) {
    auto* quarantine = out->add_quarantines();
    quarantine->set_part(it.part);
    quarantine->set_age_ms(ShortTime(it.age));
    quarantine->set_left_ms(ShortTime(it.left));
    quarantine->set_crashes(it.crashes);
  }
}

struct ToProto {
  wire::GatewayMessage* out;

  void operator()(const QuotaAsk& it) const {
    auto* ask = out->mutable_quota_ask();
    ask->set_serial(it.serial);
    ask->set_organisation(it.organisation.value());
    ask->set_cost(it.cost);
    ask->set_taken(it.taken);
  }
  void operator()(const QuotaAnswer& it) const {
    auto* answer = out->mutable_quota_answer();
    answer->set_serial(it.serial);
    answer->set_granted(it.granted);
    answer->set_alone(it.alone);
    answer->set_cap(it.cap);
    answer->set_retry_after_ms(
        std::chrono::ceil<milliseconds>(it.retry_after).count());
  }
  void operator()(const QuotaOffer& it) const {
    out->mutable_quota_offer()->set_term(it.term);
  }
  void operator()(const QuotaReport& it) const {
    ReportToProto(it, out->mutable_quota_report());
  }
  void operator()(const CrashNotice& it) const {
    CrashToProto(it, out->mutable_crash_notice());
  }
  void operator()(const CallNotices& it) const {
    NoticesToProto(it, out->mutable_call_notices());
  }
  void operator()(const RelayedNotices& it) const {
    auto* relayed = out->mutable_relayed_notices();
    for (const auto& from : it.from) {
      auto* to = relayed->add_from();
      to->set_origin(from.origin.value());
      NoticesToProto(from.notices, to->mutable_notices());
    }
  }
  void operator()(const NoticeAck& /*it*/) const { out->mutable_notice_ack(); }
  void operator()(const CacheNotice& it) const {
    CacheNoticeToProto(it, out->mutable_cache_notice());
  }
};

CacheNotice FromProto(const wire::CacheNotice& in) {
  CacheNotice notice{EndpointId(in.endpoint()), in.emptied(), {}};
  for (const auto& it : in.parts()) {
    if (IsTokens(it.tokens())) {
      notice.parts.push_back({it.part(), it.tokens()});
    } else {
      LogSkipped("a cached part", in.endpoint());
    }
  }
  return notice;
}

bool FromProto(const wire::CallNotice& in, CallNotice* notice) {
  if (in.kind() < static_cast<std::uint32_t>(CallNoticeKind::kSent) ||
      in.kind() > static_cast<std::uint32_t>(CallNoticeKind::kEnded) ||
      !IsTokens(in.outputs()) || !IsTokens(in.fetched()) ||
      !IsUtf8(in.endpoint()) || !IsUtf8(in.saved_to()) ||
      !IsUtf8(in.fetched_from()) ||
      !std::all_of(in.prefixes().begin(), in.prefixes().end(),
                   [](const auto& it) { return IsTokens(it.tokens()); })) {
    return false;
  }
  notice->kind = static_cast<CallNoticeKind>(in.kind());
  notice->serial = in.serial();
  notice->endpoint = EndpointId(in.endpoint());
  for (const auto& it : in.prefixes()) {
    notice->work.parts.push_back({it.hash(), it.tokens()});
  }
  notice->saved_to = EndpointId(in.saved_to());
  notice->work.outputs = in.outputs();
  notice->work.fetched = in.fetched();
  notice->work.fetched_from = EndpointId(in.fetched_from());
  notice->work.shared =
      std::min<std::size_t>(in.shared(), notice->work.parts.size());
  return true;
}

Duration FromShortTime(std::uint32_t ms) {
  return milliseconds(std::min<std::int64_t>(ms, kLongestShortTimeMs));
}

CrashNotice FromProto(const wire::CrashNotice& in) {
  CrashNotice notice;
  notice.fingerprint = in.fingerprint();
  notice.endpoint = EndpointId(in.endpoint());
  notice.incarnation = Incarnation(in.incarnation());
  notice.attempt = in.attempt();
  notice.answering = in.answering();
  for (int n = 0; n < std::min(in.parts_size(), kMaxSuspectParts); ++n) {
    const auto& it = in.parts(n);
    SuspectPart part{it.part(), std::nullopt};
    if (it.has_sound_ago_ms()) {
      part.sound_ago = FromShortTime(it.sound_ago_ms());
    }
    notice.parts.push_back(part);
  }
  notice.age = FromShortTime(in.age_ms());
  notice.unreachable = in.unreachable();
  return notice;
}

CallNotices FromProto(const wire::CallNotices& in) {
  CallNotices notices;
  for (const auto& it : in.notices()) {
    CallNotice notice;
    if (FromProto(it, &notice)) {
      notices.notices.push_back(std::move(notice));
    } else {
      LogSkipped("a notice of a call", it.endpoint());
    }
  }
  for (const auto& it : in.caches()) {
    if (IsUtf8(it.endpoint())) {
      notices.caches.push_back(FromProto(it));
    } else {
      LogSkipped("a notice of a cache", it.endpoint());
    }
  }
  notices.newest = in.newest();
  notices.in_flight.assign(in.in_flight().begin(), in.in_flight().end());
  notices.relay = in.relay();
  for (const auto& it : in.crashes()) {
    if (IsUtf8(it.endpoint())) {
      notices.crashes.push_back(FromProto(it));
    } else {
      LogSkipped("a notice of a crash", it.endpoint());
    }
  }
  for (const auto& it : in.quarantines()) {
    notices.quarantines.push_back({it.part(), FromShortTime(it.age_ms()),
                                   FromShortTime(it.left_ms()), it.crashes()});
  }
  return notices;
}

// Whether the numbers of a quota's message can be right.
bool IsQuotaAsk(const wire::QuotaAsk& in) {
  return IsQuota(in.cost()) && IsQuota(in.taken());
}

bool IsQuotaAnswer(const wire::QuotaAnswer& in) {
  return IsQuota(in.cap()) && in.retry_after_ms() >= 0 &&
         in.retry_after_ms() <= kLongestRetryAfterMs;
}

}  // namespace

std::string EncodeQuotaUses(const QuotaUses& uses) {
  wire::QuotaUses out;
  for (const auto& [entry, report] : uses) {
    auto* use = out.add_uses();
    use->set_entry(entry.value());
    ReportToProto(report, use->mutable_report());
  }
  return out.SerializeAsString();
}

Result<QuotaUses> DecodeQuotaUses(std::string_view bytes) {
  wire::QuotaUses in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Error{MembershipError::kMalformed,
                 "malformed file of quota consumption"};
  }
  QuotaUses uses;
  for (const auto& it : in.uses()) {
    uses[VmId(it.entry())] = ReportFromProto(it.report());
  }
  return uses;
}

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
      if (!IsQuotaAsk(in.quota_ask())) {
        return malformed;
      }
      return GatewayMessage(
          QuotaAsk{in.quota_ask().serial(),
                   OrganisationId(in.quota_ask().organisation()),
                   in.quota_ask().cost(), in.quota_ask().taken()});
    case Kind::kQuotaAnswer:
      if (!IsQuotaAnswer(in.quota_answer())) {
        return malformed;
      }
      return GatewayMessage(
          QuotaAnswer{in.quota_answer().serial(), in.quota_answer().granted(),
                      milliseconds(in.quota_answer().retry_after_ms()),
                      in.quota_answer().alone(), in.quota_answer().cap()});
    case Kind::kQuotaOffer:
      return GatewayMessage(QuotaOffer{in.quota_offer().term()});
    case Kind::kCrashNotice:
      return GatewayMessage(FromProto(in.crash_notice()));
    case Kind::kQuotaReport:
      return GatewayMessage(ReportFromProto(in.quota_report()));
    case Kind::kCacheNotice:
      return GatewayMessage(FromProto(in.cache_notice()));
    case Kind::kCallNotices:
      return GatewayMessage(FromProto(in.call_notices()));
    case Kind::kRelayedNotices: {
      RelayedNotices relayed;
      for (const auto& it : in.relayed_notices().from()) {
        relayed.from.push_back({VmId(it.origin()), FromProto(it.notices())});
      }
      return GatewayMessage(std::move(relayed));
    }
    case Kind::kNoticeAck:
      return GatewayMessage(NoticeAck());
    case Kind::KIND_NOT_SET:
      break;
  }
  return malformed;
}

}  // namespace baobabrun
