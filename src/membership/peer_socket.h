// Options that all sockets between VMs share, and the outgoing connection to
// one VM. Included by .cc files of this slice only, since it needs ZeroMQ.
#ifndef MEMBERSHIP_PEER_SOCKET_H_
#define MEMBERSHIP_PEER_SOCKET_H_

#include <deque>
#include <string>
#include <zmq.hpp>

#include "base/time.h"
#include "membership/curve_keys.h"
#include "settings/process_settings.h"

namespace baobabrun {

// A message larger than this is neither sent nor taken.
constexpr std::size_t kMaxPeerMessageBytes = std::size_t{32} << 20;

// Sets heartbeats, keepalive and bounds; with keys, CURVE with `keys` as own.
void SetPeerSocketOptions(zmq::socket_t& socket, const CurveKeys& keys);

// The one-way connection to one VM. Used by the transport's thread only.
class PeerLink {
 public:
  PeerLink(zmq::context_t& context,
           PeerSettings peer,
           CurveKeys keys,
           Instant now);

  // Sends `envelope`, or keeps it until there is a connection. Returns the
  // number of messages dropped.
  std::size_t Offer(std::string envelope, Instant now);
  // Tries again to send what waits, and drops what waited too long. Returns
  // the number of messages dropped.
  std::size_t Flush(Instant now);
  bool waiting() const { return !waiting_.empty(); }

 private:
  struct Waiting {
    std::string envelope;
    Instant since;
  };
  void Open(Instant now);
  bool TrySend(const std::string& envelope);

  zmq::context_t& context_;
  const PeerSettings peer_;
  const CurveKeys keys_;
  zmq::socket_t socket_;
  Instant opened_;
  std::deque<Waiting> waiting_;    // oldest first, all within the bounds
  std::size_t waiting_bytes_ = 0;  // sum over waiting_
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_SOCKET_H_
