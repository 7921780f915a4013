// Membership messages, which report which VMs are up, and their encoding.
#ifndef MEMBERSHIP_GOSSIP_H_
#define MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"

namespace baobabrun {

// Ordered by precedence: of two updates about the same incarnation, the state
// with the higher value wins.
enum class MemberState { kAlive = 1, kSuspect = 2, kGone = 3 };
std::string_view NameOf(MemberState state);

// Reports the state of one incarnation of a VM.
struct MemberUpdate {
  VmId vm;
  MemberState state = MemberState::kAlive;
  Incarnation incarnation;

  bool operator==(const MemberUpdate&) const = default;
};

enum class GossipKind {
  kPing = 1,  // heartbeat; answered by kAck
  kAck = 2,
  kProbe = 3,     // requests that the receiver pings `target`
  kProbeAck = 4,  // `target` answered a ping that a kProbe requested
  kTable = 5,     // `updates` holds the state of every VM known to the sender
};

struct GossipMessage {
  GossipKind kind = GossipKind::kPing;
  Incarnation incarnation;  // the sender's
  VmId target;              // for kProbe and kProbeAck
  Incarnation target_incarnation;
  std::vector<MemberUpdate> updates;
  std::uint64_t table_digest = 0;  // of the sender's whole member table
  StateVersion version;            // of the fleet state in force at the sender
  std::uint64_t withdrawn_digest = 0;
  // Whether the sender itself lately got an ack from a VM of another zone.
  bool reaches_other_zone = false;
};

std::string EncodeGossip(const GossipMessage& message);
// Errors: MembershipError::kMalformed.
Result<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace baobabrun

#endif  // MEMBERSHIP_GOSSIP_H_
