// Options common to all sockets between VMs, and the outgoing connection to one
// VM. Included by .cc files of this module only, since it needs ZeroMQ.
#ifndef MEMBERSHIP_PEER_SOCKET_H_
#define MEMBERSHIP_PEER_SOCKET_H_

#include <deque>
#include <memory>
#include <string>
#include <zmq.hpp>

#include "base/memory_budget.h"
#include "base/time.h"
#include "membership/curve_keys.h"
#include "membership/peer_message.h"
#include "settings/process_settings.h"

namespace baobabrun {

// Sets TCP keepalive and limits. Unless `keys` is empty, also turns on CURVE
// with `keys` as this side's key pair.
void SetPeerSocketOptions(zmq::socket_t& socket, const CurveKeys& keys);

// Interval of the heartbeats that the sending side of a connection sends. A
// connection on which nothing arrives for three intervals, not even the answer
// to a heartbeat, is closed by either side; the sending side opens it again.
// Only one side sends them, since they are most of what an idle VM does.
struct PeerHeartbeats {
  // To and from control VMs: what VMs must agree on goes over these.
  static constexpr milliseconds kControl{500};
  static constexpr milliseconds kOther{1'000};
};

// The one-way connection to one VM. Used on the transport's thread only.
class PeerConnection {
 public:
  // What may wait for one VM. Estimates for a VM that is slow leave room for
  // those for others.
  static constexpr std::size_t kMaxUrgentBytes = std::size_t{4} << 20;
  static constexpr std::size_t kMaxBulkBytes = std::size_t{256} << 10;

  PeerConnection(zmq::context_t& context,
                 PeerSettings peer,
                 CurveKeys keys,
                 milliseconds heartbeat,
                 Instant now);

  // Sends `envelope`, or queues it until there is a connection that takes it;
  // urgent ones are sent first.
  // `lease` is held while it is queued; that of a large one until it was sent.
  // Returns the number of messages dropped.
  std::size_t SendOrQueue(std::string envelope,
                          PeerPriority priority,
                          std::shared_ptr<const MemoryLease> lease,
                          Instant now);
  // Retries the queued messages and drops those queued for too long. Returns
  // the number of messages dropped.
  std::size_t Flush(Instant now);
  bool waiting() const {
    return !urgent_.envelopes.empty() || !bulk_.envelopes.empty();
  }
  void* handle() { return socket_.handle(); }
  std::size_t queued_messages() const {
    return urgent_.envelopes.size() + bulk_.envelopes.size();
  }
  // When a message was last sent or queued.
  Instant last_used() const { return last_used_; }

 private:
  struct QueuedEnvelope {
    std::shared_ptr<std::string> bytes;
    Instant since;
    std::shared_ptr<const MemoryLease> lease;
  };
  void Open(Instant now);
  // Bounded by number, bytes and age, though one message always finds room.
  struct Queue {
    const std::size_t max_bytes;
    const Duration max_age;
    std::deque<QueuedEnvelope> envelopes = {};  // oldest first
    std::size_t bytes = 0;
  };
  std::size_t FlushQueue(Queue& queue, Instant now);
  bool TrySend(QueuedEnvelope& it);

  zmq::context_t& context_;
  const PeerSettings peer_;
  const CurveKeys keys_;
  const milliseconds heartbeat_;
  zmq::socket_t socket_;
  Instant opened_;
  Instant last_used_;
  Instant taken_;  // when the socket last took a message
  Queue urgent_{kMaxUrgentBytes, seconds(5)};
  Queue bulk_{kMaxBulkBytes, seconds(1)};
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_SOCKET_H_
