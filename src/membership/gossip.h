// Messages about who is up, and their encoding.
#ifndef MEMBERSHIP_GOSSIP_H_
#define MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace baobabrun {

// In order of weight: of two claims about the same incarnation the later in
// this list holds.
enum class MemberState { kAlive = 1, kSuspect = 2, kGone = 3 };
std::string_view NameOf(MemberState state);

// A claim about one life of a VM.
struct MemberUpdate {
  VmId vm;
  MemberState state = MemberState::kAlive;
  Incarnation incarnation;

  bool operator==(const MemberUpdate&) const = default;
};

enum class GossipKind {
  kPing = 1,  // heartbeat; answered by kAck
  kAck = 2,
  kProbe = 3,     // asks the receiver to ping `target`
  kProbeAck = 4,  // `target` answered such a ping
  kTable = 5,     // `updates` holds all that the sender knows
};

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  Incarnation incarnation;  // the sender's
  VmId target;              // for kProbe and kProbeAck
  Incarnation target_incarnation;
  std::vector<MemberUpdate> updates;
  std::uint64_t table_digest = 0;  // of all the sender's claims
  StateVersion version;            // in force at the sender
  std::uint64_t withdrawn_digest = 0;
  // Whether the sender itself reaches a VM of another zone.
  bool reaches_other_zone = false;
};

std::string EncodeGossip(const GossipMessage& message);
// Errors: MembershipError::kMalformed.
Result<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace baobabrun

#endif  // MEMBERSHIP_GOSSIP_H_
