// Sockets between VMs.
#include "membership/peer_socket.h"

#include <utility>

namespace baobabrun {
namespace {

// A connection that carries nothing for the timeout, not even a heartbeat's
// answer, is closed and opened anew.
constexpr int kHeartbeatIntervalMs = 500;
constexpr int kHeartbeatTimeoutMs = 1'500;
constexpr int kConnectTimeoutMs = 400;
constexpr int kReconnectMs = 50;
constexpr int kReconnectMaxMs = 200;
constexpr int kKeepaliveIdleS = 5;
constexpr int kKeepaliveIntervalS = 1;
constexpr int kKeepaliveCount = 3;
constexpr int kQueuedMessages = 512;

// Bounds of what waits for a connection.
constexpr std::size_t kMaxWaiting = 256;
constexpr std::size_t kMaxWaitingBytes = std::size_t{4} << 20;
constexpr Duration kMaxWait = seconds(1);
// At least this long between two sockets for the same VM.
constexpr Duration kReopenInterval = seconds(1);

}  // namespace

void SetPeerSocketOptions(zmq::socket_t& socket, const CurveKeys& keys) {
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndhwm, kQueuedMessages);
  socket.set(zmq::sockopt::rcvhwm, kQueuedMessages);
  socket.set(zmq::sockopt::maxmsgsize,
             static_cast<std::int64_t>(kMaxPeerMessageBytes));
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.set(zmq::sockopt::heartbeat_ttl, kHeartbeatTimeoutMs);
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

PeerLink::PeerLink(zmq::context_t& context,
                   PeerSettings peer,
                   CurveKeys keys,
                   Instant now)
    : context_(context), peer_(std::move(peer)), keys_(std::move(keys)) {
  Open(now);
}

void PeerLink::Open(Instant now) {
  opened_ = now;
  socket_ = zmq::socket_t(context_, zmq::socket_type::push);
  SetPeerSocketOptions(socket_, keys_);
  // Messages wait here rather than in ZeroMQ, so that none grows old.
  socket_.set(zmq::sockopt::immediate, true);
  if (!keys_.secret_key.empty()) {
    socket_.set(zmq::sockopt::curve_serverkey, peer_.public_key);
  }
  socket_.connect("tcp://" + ToString(peer_.address));
}

bool PeerLink::TrySend(const std::string& envelope) {
  return socket_
      .send(zmq::const_buffer(envelope.data(), envelope.size()),
            zmq::send_flags::dontwait)
      .has_value();
}

std::size_t PeerLink::Offer(std::string envelope, Instant now) {
  const auto dropped = Flush(now);
  if (waiting_.empty() && TrySend(envelope)) {
    return dropped;
  }
  const auto bytes = waiting_bytes_ + envelope.size();
  if (waiting_.size() >= kMaxWaiting || bytes > kMaxWaitingBytes) {
    return dropped + 1;
  }
  waiting_bytes_ = bytes;
  waiting_.push_back({std::move(envelope), now});
  return dropped;
}

std::size_t PeerLink::Flush(Instant now) {
  std::size_t dropped = 0;
  while (!waiting_.empty()) {
    const auto& first = waiting_.front();
    const bool sent = TrySend(first.envelope);
    if (!sent && now - first.since <= kMaxWait) {
      break;
    }
    dropped += sent ? 0 : 1;
    waiting_bytes_ -= first.envelope.size();
    waiting_.pop_front();
  }
  // ZeroMQ never tries again once the other side refused this VM's key, which
  // may be listed there by now.
  if (dropped > 0 && now - opened_ >= kReopenInterval) {
    Open(now);
  }
  return dropped;
}

}  // namespace baobabrun
