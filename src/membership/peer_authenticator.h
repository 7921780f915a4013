// Authenticates connecting VMs where traffic is encrypted, by answering
// ZeroMQ's authentication requests (ZAP). Only VMs whose public key is listed
// may connect. Included by .cc files of this module only, since it needs
// ZeroMQ.
#ifndef MEMBERSHIP_PEER_AUTHENTICATOR_H_
#define MEMBERSHIP_PEER_AUTHENTICATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <zmq.hpp>

#include "base/ids.h"
#include "base/time.h"

namespace baobabrun {

class PeerAuthenticator {
 public:
  // Must be constructed before any socket whose connections it authenticates is
  // bound.
  explicit PeerAuthenticator(zmq::context_t& context);

  // Accepts connections of `vm` with `public_key` (Z85) and no longer with any
  // key that was listed for it before.
  void Allow(const VmId& vm, const std::string& public_key);
  // Answers all pending requests. Call it when `socket()` is readable.
  void AnswerRequests();
  zmq::socket_t& socket() { return socket_; }
  // The number of connections refused so far.
  std::uint64_t refused() const { return refused_; }

 private:
  // Returns the VM for which the key of a request is listed, or an empty id.
  VmId Authenticate(std::string_view mechanism,
                    std::string_view credentials) const;
  bool AnswerOneRequest();
  void RecordRefusal(const std::string& address);

  zmq::socket_t socket_;
  std::map<std::string, VmId> allowed_;  // keyed by binary public key
  const SystemClock clock_;
  Instant next_log_;
  std::uint64_t refused_ = 0;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_AUTHENTICATOR_H_
