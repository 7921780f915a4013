// Decides which VMs may connect where traffic is encrypted: only holders of a
// key that the fleet lists. Answers ZeroMQ's authentication requests (ZAP).
// Included by .cc files of this slice only, since it needs ZeroMQ.
#ifndef MEMBERSHIP_PEER_GATE_H_
#define MEMBERSHIP_PEER_GATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <zmq.hpp>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

class PeerGate {
 public:
  // Must exist before any socket that it guards is bound.
  explicit PeerGate(zmq::context_t& context);

  // Lets `vm` in by `public_key` (Z85), and by no earlier key.
  void Allow(const VmId& vm, const std::string& public_key);
  // Answers the requests that wait. Call when `socket()` is readable.
  void Serve();
  zmq::socket_t& socket() { return socket_; }
  // Connections refused so far.
  std::uint64_t refused() const { return refused_; }

 private:
  // The VM that holds the key of a request, or none.
  VmId Judge(std::string_view mechanism, std::string_view credentials) const;
  bool ServeOne();
  void NoteRefusal(const std::string& address);

  zmq::socket_t socket_;
  std::map<std::string, VmId> allowed_;  // by binary public key
  const SystemClock clock_;
  Instant next_log_;
  std::uint64_t refused_ = 0;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_GATE_H_
