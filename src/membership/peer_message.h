// What VMs send each other. The transport (ZeroMQ) knows only sender, receiver
// and topic; each slice encodes its own protobuf message into `payload`.
// Delivery is not promised: messages may be lost, late, doubled or out of
// order, and every slice must stand that.
#ifndef MEMBERSHIP_PEER_MESSAGE_H_
#define MEMBERSHIP_PEER_MESSAGE_H_

#include <functional>
#include <string>
#include <string_view>

#include "base/ids.h"

namespace baobabrun {

enum class PeerTopic {
  kMembership = 1,  // heartbeats, suspicion
  kState = 2,       // committed state and withdrawals
  kControl = 3,     // the replicated log
  kLimits = 4,      // shares and grants
  kPlacement = 5,   // poison fingerprints, requests in flight
  kOperators = 6,   // operators' calls forwarded to the leader
  kOnce = 7,        // at-most-once records
  kEndpoints = 8,   // announcements passed on inside a zone
  kDiscovery = 9,   // which VMs there are
  kRegistry = 10,   // what endpoints reported to control VMs
};
std::string_view NameOf(PeerTopic topic);

struct PeerMessage {
  VmId from;
  VmId to;
  PeerTopic topic = PeerTopic::kMembership;
  std::string payload;
};

// Queues a message for sending. Returns false, at once, if it was dropped.
using SendToPeer = std::function<bool(PeerMessage message)>;

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_MESSAGE_H_
