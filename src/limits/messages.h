// Messages that VMs exchange about shares, as C++ types. limits.proto defines
// the wire format.
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

// The limits of a contract that apply to the whole fleet.
enum class LimitKind { kTokens, kRequests, kSlots };
constexpr std::size_t kLimitKinds = 3;

// Identifies one limit of one contract.
struct LimitSubject {
  OrganisationId organisation;
  LimitKind kind = LimitKind::kTokens;
};

struct AskMessage {
  LimitSubject subject;
  std::uint64_t ask = 0;
  Portion wanted;
  Micro missing = 0;  // what the borrower's first waiting request lacks
  // Tokens requested for good, not as a loan. The borrower keeps room for them
  // free until the answer arrives, so that tokens in transit never count beside
  // others in the same room.
  Micro gift = 0;
  // No request waits for the tokens, so only peers that are nearly full give
  // any.
  bool spare_time = false;
};

struct GrantMessage {
  LimitSubject subject;
  std::uint64_t ask = 0;
  LeaseId lease;
  Portion portion;
  Portion spare;      // what the lender could still lend
  Micro missing = 0;  // what the lender's own waiting requests lack
  // micro-units a second beyond what the lender's demand uses
  Micro refill = 0;
  Micro gift = 0;  // at most the gift in the ask
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
  // The sender's incarnation if it has just started, else 0. The receiver ends
  // loans from the sender's earlier incarnations at once.
  std::uint64_t hello = 0;
  // The answer to `hello`: the receiver's incarnation, else 0. The sender uses
  // no loan from an earlier incarnation of the receiver.
  std::uint64_t cleared = 0;
};

// Messages that wait to be sent, by receiver.
using LimitsOutbox = std::map<VmId, LimitsBatch>;

std::string EncodeBatch(const LimitsBatch& batch);
// Returns nothing if the payload is malformed or contains amounts out of range.
std::optional<LimitsBatch> DecodeBatch(std::string_view payload);

}  // namespace baobabrun

#endif  // LIMITS_MESSAGES_H_
