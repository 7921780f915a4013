// What VMs send each other about shares, as the decision classes see it. The
// wire form is limits.proto.
#ifndef LIMITS_MESSAGES_H_
#define LIMITS_MESSAGES_H_

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "limits/share.h"

namespace baobabrun {

// The limits of a contract that are counted over the whole fleet.
enum class LimitKind { kTokens, kRequests, kSlots };
constexpr std::size_t kLimitKinds = 3;

// One limit of one contract.
struct LimitSubject {
  OrganisationId organisation;
  LimitKind kind = LimitKind::kTokens;
};

struct AskMessage {
  LimitSubject subject;
  std::uint64_t ask = 0;
  Portion wanted;
  Micro missing = 0;  // what its first waiting request lacks
  // Tokens wanted for good. The asker keeps room for them free meanwhile, so
  // that tokens under way never count beside others in the same room.
  Micro gift = 0;
  bool spare_time = false;  // nobody waits: only from peers nearly full
};

struct GrantMessage {
  LimitSubject subject;
  std::uint64_t ask = 0;
  LeaseId lease;
  Portion portion;
  Portion spare;      // what the lender could still lend
  Micro missing = 0;  // what its own waiting requests lack
  Micro refill = 0;   // a second, beyond what its demand takes
  Micro gift = 0;     // at most what was asked for
};

struct RenewMessage {
  LimitSubject subject;
  LeaseId lease;
  std::uint64_t renewal = 0;
};

struct RenewedMessage {
  LimitSubject subject;
  LeaseId lease;
  std::uint64_t renewal = 0;
};

struct ReturnMessage {
  LimitSubject subject;
  LeaseId lease;
  Micro level = 0;
};

struct LimitsBatch {
  std::vector<AskMessage> asks;
  std::vector<GrantMessage> grants;
  std::vector<RenewMessage> renews;
  std::vector<RenewedMessage> renewed;
  std::vector<ReturnMessage> returns;
  // A VM started: loans by its earlier life are to end at once.
  std::uint64_t hello = 0;  // the sender's life; 0: none
  // The answer: no loan by an earlier life of the receiver is in use here.
  std::uint64_t cleared = 0;  // the receiver's life; 0: none
};

// Messages waiting to be taken, by receiver.
using LimitsOutbox = std::map<VmId, LimitsBatch>;

std::string EncodeBatch(const LimitsBatch& batch);
// Nothing if the payload is malformed or holds amounts out of range.
std::optional<LimitsBatch> DecodeBatch(std::string_view payload);

}  // namespace baobabrun

#endif  // LIMITS_MESSAGES_H_
