// Messages between entries and control VMs, and their encoding.
#ifndef GATEWAY_GATEWAY_MESSAGE_H_
#define GATEWAY_GATEWAY_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/fleet_load.h"

namespace baobabrun {

// An entry requests a call's cost from the leader.
struct QuotaAsk {
  std::uint64_t serial = 0;  // identifies the call on the asking VM
  OrganisationId organisation;
  std::int64_t cost = 0;
  // What the entry consumed within the last window, including what it took
  // without the leader.
  std::int64_t taken = 0;
};
struct QuotaAnswer {
  std::uint64_t serial = 0;
  bool granted = false;
  Duration retry_after{};  // set if not granted; in whole milliseconds
  // Set if the leader doesn't know yet what other entries consumed: the entry
  // then decides by its own recent consumption.
  bool alone = false;
  // What the entry may consume within a window if it loses contact with the
  // leader now.
  std::int64_t cap = 0;
};
// What an entry consumed within the last window. Sent to the control VMs
// periodically, so that the leader also knows that the entry is reachable.
struct QuotaTaken {
  OrganisationId organisation;
  std::int64_t amount = 0;
};
struct QuotaReport {
  std::vector<QuotaTaken> taken;
};
// The sender leads the control group and decides on organisations' quotas.
struct QuotaOffer {
  std::uint64_t term = 0;
};
// A part of the prompt of a call that broke off, and how long ago a call with
// it last began soundly; null if none is known.
struct SuspectPart {
  std::uint64_t part = 0;  // SharedPartsOf
  std::optional<Duration> sound_ago;
};
// An attempt of this call broke in a way that a crash of the endpoint would
// explain.
struct CrashNotice {
  std::uint64_t fingerprint = 0;  // of organisation, path and body
  EndpointId endpoint;
  Incarnation incarnation;
  std::uint64_t attempt = 0;
  // Whether the head of the answer, but no event, had arrived.
  bool answering = false;
  // In the prompt's order; empty if an event had arrived.
  std::vector<SuspectPart> parts;
  Duration age{};  // since it broke off
  // No attempt broke off: the endpoint can't be reached any more.
  bool unreachable = false;
};
// Calls with this part of a prompt crash endpoints and aren't sent to any.
struct QuarantineNotice {
  std::uint64_t part = 0;
  Duration age{};  // since the newest known crash
  // Zero for an objection: a call with the part began soundly `age` ago.
  Duration left{};
  std::uint32_t crashes = 0;  // under the part, as far as counted
};
// An event of one of the sender's attempts, for the load models of the other
// entries.
enum class CallNoticeKind { kSent = 1, kBegan = 2, kEnded = 3 };
struct CallNotice {
  CallNoticeKind kind = CallNoticeKind::kSent;
  std::uint64_t serial = 0;  // identifies the attempt on the sending VM
  EndpointId endpoint;       // set for kSent only, as are the fields below
  CallWork work;
  EndpointId saved_to;  // a store; empty if the prompt isn't saved
};
// Contents of an endpoint's cache that differ from the prediction.
struct CachedPart {
  std::uint64_t part = 0;   // PartKey
  std::int64_t tokens = 0;  // cached tokens; zero if the part was evicted
};
struct CacheNotice {
  EndpointId endpoint;
  bool emptied = false;  // the cache was emptied before the changes below
  std::vector<CachedPart> parts;
};
// What an entry tells the others in one message.
struct CallNotices {
  std::vector<CallNotice> notices;  // oldest first
  std::vector<CacheNotice> caches;  // oldest first
  // The serial of the sender's newest attempt, and those that are in flight:
  // older ones have ended, even if the notice of it was lost. `newest` is zero
  // if the sender doesn't tell.
  std::uint64_t newest = 0;
  std::vector<std::uint64_t> in_flight;
  bool relay = false;  // the receiver is to relay them in its zone
  std::vector<CrashNotice> crashes;
  std::vector<QuarantineNotice> quarantines;

  bool empty() const { return notices.empty() && caches.empty() && !urgent(); }
  // Whether they are sent before other notices.
  bool urgent() const { return !crashes.empty() || !quarantines.empty(); }
};
// Notices of several entries, passed on by a relay (see NoticeRelay).
struct RelayedNotices {
  struct From {
    VmId origin;
    CallNotices notices;
  };
  std::vector<From> from;
};
// The sender relays the notices that it got from the receiver.
struct NoticeAck {};
using GatewayMessage = std::variant<QuotaAsk,
                                    QuotaAnswer,
                                    QuotaOffer,
                                    CrashNotice,
                                    CallNotices,
                                    QuotaReport,
                                    CacheNotice,
                                    RelayedNotices,
                                    NoticeAck>;

// What each entry consumed within the last window, as a control VM stores it on
// its disk.
using QuotaUses = std::map<VmId, QuotaReport>;
std::string EncodeQuotaUses(const QuotaUses& uses);
// Skips what can't be right. Errors: MembershipError::kMalformed.
Result<QuotaUses> DecodeQuotaUses(std::string_view bytes);

std::string EncodeGatewayMessage(const GatewayMessage& message);
// Skips notices that can't be right. Errors: MembershipError::kMalformed.
Result<GatewayMessage> DecodeGatewayMessage(std::string_view bytes);

}  // namespace baobabrun

#endif  // GATEWAY_GATEWAY_MESSAGE_H_
