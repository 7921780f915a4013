// Messages between VMs. The transport (ZeroMQ) uses only the sender, receiver
// and topic; each module encodes its own protobuf message into `payload`.
// Delivery isn't guaranteed: messages may be lost, delayed, duplicated or
// reordered, and every module must tolerate that.
#ifndef MEMBERSHIP_PEER_MESSAGE_H_
#define MEMBERSHIP_PEER_MESSAGE_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/memory_budget.h"
#include "base/time.h"

namespace baobabrun {

// Larger messages are neither sent nor accepted. Whatever VMs must agree on has
// to fit into one, with the rest of the fleet's state.
constexpr std::size_t kMaxPeerMessageBytes = std::size_t{32} << 20;

enum class PeerTopic {
  kMembership = 1,  // heartbeats, suspicions
  kState = 2,       // committed state and withdrawals
  kControl = 3,     // the replicated log
  kLimits = 4,      // quota shares and grants
  kPlacement = 5,   // fingerprints of poison requests; requests in flight
  kOperators = 6,   // operators' requests forwarded to the leader
  kOnce = 7,        // at-most-once records
  kEndpoints = 8,   // endpoint announcements forwarded within a zone
  kDiscovery = 9,   // records of the fleet's VMs
  kRegistry = 10,   // records from endpoints' reports to control VMs
};
inline constexpr std::size_t kPeerTopics = 10;
std::string_view NameOf(PeerTopic topic);

// How messages are treated when a VM has more of them than it can send.
enum class PeerPriority {
  // Sent first. Carries what VMs must agree on or wait for, such as committed
  // state, heartbeats and quotas.
  kUrgent,
  // Sent as time allows, and dropped when it gets old. Carries estimates that
  // only become less exact if a message is lost.
  kBulk,
};

struct PeerMessage {
  VmId from;
  VmId to;
  PeerTopic topic = PeerTopic::kMembership;
  std::string payload;
  PeerPriority priority = PeerPriority::kUrgent;  // for sending only
  // When the sender queued the message, by its own clock, or when this VM
  // queued it to be sent. Set by the transport; zero if not known.
  Instant sent{};
  // The members below are set by the transport for received messages only.
  Instant received{};  // by this VM's clock
  // How much longer the message took than the quickest one of its sender.
  Duration delay{};
  // What the message takes of the memory budget while it waits anywhere in this
  // process. Set by the transport.
  std::shared_ptr<const MemoryLease> lease = nullptr;
};

// Queues a message for sending without blocking. Returns false if the message
// was dropped.
using SendToPeer = std::function<bool(PeerMessage message)>;

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_MESSAGE_H_
