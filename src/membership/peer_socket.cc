// Sockets for messages between VMs.
#include "membership/peer_socket.h"

#include <utility>

namespace baobabrun {
namespace {

constexpr int kHeartbeatsToTimeout = 3;
constexpr int kConnectTimeoutMs = 400;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 200;
constexpr int kKeepaliveIdleS = 5;
constexpr int kKeepaliveIntervalS = 1;
constexpr int kKeepaliveCount = 3;
// Messages that ZeroMQ holds for each connection. It knows no bound in bytes,
// so all others wait where MemoryBudget counts them.
constexpr int kZmqSendLimit = 8;
// Larger messages are counted until ZeroMQ has sent them, and aren't copied.
constexpr std::size_t kMaxCopiedBytes = std::size_t{16} << 10;
// A low limit on this side would often stop reading; libzmq 4.3.4 ends the
// process if a connection fails while reading is stopped.
constexpr int kZmqReceiveLimit = 512;

// Limits of the queue of messages that wait for a connection.
constexpr std::size_t kMaxQueuedMessages = 8'192;  // of each priority
// A message for a VM to which there is no connection is dropped after this
// time.
constexpr Duration kMaxConnectTime = seconds(1);
// Minimum time between opening two sockets for the same VM.
constexpr Duration kReopenInterval = seconds(1);

}  // namespace

void SetPeerSocketOptions(zmq::socket_t& socket, const CurveKeys& keys) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kZmqSendLimit);
  socket.set(zmq::sockopt::rcvhwm, kZmqReceiveLimit);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxPeerMessageBytes));
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kReconnectMaxMs);
  socket.set(zmq::sockopt::tcp_keepalive, 1);
  socket.set(zmq::sockopt::tcp_keepalive_idle, kKeepaliveIdleS);
  socket.set(zmq::sockopt::tcp_keepalive_intvl, kKeepaliveIntervalS);
  socket.set(zmq::sockopt::tcp_keepalive_cnt, kKeepaliveCount);
  if (!keys.secret_key.empty()) {
    socket.set(zmq::sockopt::curve_publickey, keys.public_key);
    socket.set(zmq::sockopt::curve_secretkey, keys.secret_key);
  }
}

PeerConnection::PeerConnection(zmq::context_t& context,
                               PeerSettings peer,
                               CurveKeys keys,
                               milliseconds heartbeat,
                               Instant now)
    : context_(context),
      peer_(std::move(peer)),
      keys_(std::move(keys)),
      heartbeat_(heartbeat) {
  Open(now);
}

void PeerConnection::Open(Instant now) {
  opened_ = now;
  socket_ = zmq::socket_t(context_, zmq::socket_type::push);
  SetPeerSocketOptions(socket_, keys_);
  const auto interval = static_cast<int>(heartbeat_.count());
  socket_.set(zmq::sockopt::heartbeat_ivl, interval);
  socket_.set(zmq::sockopt::heartbeat_timeout, kHeartbeatsToTimeout * interval);
  // The receiving side closes the connection if this passes without a
  // heartbeat.
  socket_.set(zmq::sockopt::heartbeat_ttl, kHeartbeatsToTimeout * interval);
  // With this option ZeroMQ queues messages on established connections only;
  // until then they wait in queue_, which drops them when they are too old.
  socket_.set(zmq::sockopt::immediate, true);
  if (!keys_.secret_key.empty()) {
    socket_.set(zmq::sockopt::curve_serverkey, peer_.public_key);
  }
  socket_.connect("tcp://" + ToString(peer_.address));
}

bool PeerConnection::TrySend(QueuedEnvelope& it) {
  auto& bytes = *it.bytes;
  if (bytes.size() <= kMaxCopiedBytes) {
    return socket_
        .send(zmq::const_buffer(bytes.data(), bytes.size()),
              zmq::send_flags::dontwait)
        .has_value();
  }
  // Owned by the message, on ZeroMQ's threads too.
  struct Held {
    std::shared_ptr<std::string> bytes;
    std::shared_ptr<const MemoryLease> lease;
  };
  zmq::message_t message(
      bytes.data(), bytes.size(),
      [](void* /*data*/, void* hint) { delete static_cast<Held*>(hint); },
      new Held{it.bytes, it.lease});
  return socket_.send(message, zmq::send_flags::dontwait).has_value();
}

std::size_t PeerConnection::SendOrQueue(
    std::string envelope,
    PeerPriority priority,
    std::shared_ptr<const MemoryLease> lease,
    Instant now) {
  last_used_ = now;
  const auto dropped = Flush(now);
  auto& queue = priority == PeerPriority::kBulk ? bulk_ : urgent_;
  QueuedEnvelope queued{std::make_shared<std::string>(std::move(envelope)), now,
                        std::move(lease)};
  if (!waiting() && TrySend(queued)) {
    taken_ = now;
    return dropped;
  }
  const auto bytes = queue.bytes + queued.bytes->size();
  if (!queue.envelopes.empty() &&
      (queue.envelopes.size() >= kMaxQueuedMessages ||
       bytes > queue.max_bytes)) {
    return dropped + 1;
  }
  queue.bytes = bytes;
  queue.envelopes.push_back(std::move(queued));
  return dropped;
}

std::size_t PeerConnection::FlushQueue(Queue& queue, Instant now) {
  std::size_t dropped = 0;
  while (!queue.envelopes.empty()) {
    auto& first = queue.envelopes.front();
    const bool sent = TrySend(first);
    if (sent) {
      taken_ = now;
    } else if (now - first.since <=
               (taken_ > opened_ ? queue.max_age : kMaxConnectTime)) {
      break;
    }
    dropped += sent ? 0 : 1;
    queue.bytes -= first.bytes->size();
    queue.envelopes.pop_front();
  }
  return dropped;
}

std::size_t PeerConnection::Flush(Instant now) {
  const auto dropped = FlushQueue(urgent_, now) + FlushQueue(bulk_, now);
  // ZeroMQ never reconnects once the other side has refused this VM's key. The
  // key may be listed there by now, so a new socket is opened if this one has
  // taken nothing for a while. A slow peer keeps its socket.
  if (dropped > 0 && now - opened_ >= kReopenInterval &&
      now - taken_ >= kReopenInterval) {
    Open(now);
  }
  return dropped;
}

}  // namespace baobabrun
