// Transports messages between VMs with ZeroMQ over TCP, on a thread of its own.
// Heartbeats detect dead connections. Traffic is encrypted with CURVE where
// keys are set.
//
// Each VM listens on one socket and opens a one-way connection to every VM that
// it sends messages to, which it closes when it hasn't used it for a while:
// each connection costs both sides heartbeats. Sending never blocks: messages
// that don't fit into a queue, or that find no connection within a second, are
// dropped and counted. Urgent messages are sent before bulk messages (see
// PeerOutbox).
#ifndef MEMBERSHIP_PEER_TRANSPORT_H_
#define MEMBERSHIP_PEER_TRANSPORT_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "membership/peer_message.h"
#include "settings/process_settings.h"

namespace baobabrun {

struct PeerOptions {
  VmId self;
  Address listen;  // port 0 selects any free port
  // Addresses and keys of the other VMs. With CURVE, messages are neither sent
  // to nor accepted from a VM without a public key here.
  std::vector<PeerSettings> fleet;
  std::filesystem::path curve_secret_file;  // empty for no encryption
  Duration idle_time = seconds(15);         // a connection is closed after this
  bool control = false;  // whether this VM may be a control replica
  // The rate at which bulk messages are sent; zero for no bound.
  double bulk_bytes_per_second = 0;
  // Bounds the messages that wait in this process. Null for no bound in bytes.
  MemoryBudgetPtr budget = nullptr;
};

struct TopicTraffic {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

// Counters since the start, which never decrease, but for `connections` and
// `waiting`.
struct PeerTraffic {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  // The same by topic; only topics of which any message was sent.
  std::map<PeerTopic, TopicTraffic> sent_of;
  std::uint64_t sent_bulk_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped =
      0;  // own messages, for want of queue space, memory or connection
  std::uint64_t rejected =
      0;  // received messages, malformed or with a false sender
  // Received messages for which the memory budget has no room.
  std::uint64_t overflowed = 0;
  std::uint64_t refused = 0;      // connections of peers whose key isn't listed
  std::uint64_t connections = 0;  // that are open to other VMs
  // Messages that wait in this process to be sent, without those that ZeroMQ
  // has taken.
  std::uint64_t waiting = 0;
};

class PeerTransport {
 public:
  // `on_message` is called on the transport's thread and mustn't block.
  // Errors: MembershipError.
  static Result<std::unique_ptr<PeerTransport>> Start(
      PeerOptions options,
      std::function<void(PeerMessage message)> on_message);
  // Stops the thread. `on_message` isn't called afterwards.
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Queues `message` for sending and sets its `from`. Returns false if it was
  // dropped because the queue is full or the message is too large.
  bool Send(PeerMessage message);

  // Adds a VM or changes its address or key.
  void UpdatePeer(PeerSettings peer);

  // The address listened on, with the port that the system assigned.
  const Address& bound() const;
  PeerTraffic traffic() const;

 private:
  class Impl;
  explicit PeerTransport(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_TRANSPORT_H_
