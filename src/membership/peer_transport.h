// Carries messages between VMs: ZeroMQ over TCP on a thread of its own, with
// heartbeats that find silent connections, and CURVE where keys are set.
//
// Each VM listens on one socket and opens a one-way connection to every VM it
// has something to say to. Nothing here blocks a sender: what finds no room, or
// no connection within a second, is dropped and counted.
#ifndef MEMBERSHIP_PEER_TRANSPORT_H_
#define MEMBERSHIP_PEER_TRANSPORT_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "membership/peer_message.h"
#include "settings/process_settings.h"

namespace baobabrun {

struct PeerOptions {
  VmId self;
  Address listen;  // port 0: any free one
  // Where the other VMs listen. With CURVE, a VM without a public key here
  // can't be reached and can't reach this one.
  std::vector<PeerSettings> fleet;
  std::filesystem::path curve_secret_file;  // empty: not encrypted
};

// Counts since the start; each only grows.
struct PeerTraffic {
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received = 0;
  std::uint64_t received_bytes = 0;
  std::uint64_t dropped = 0;   // own messages: no room or no connection
  std::uint64_t rejected = 0;  // others' messages: malformed or not genuine
  std::uint64_t refused = 0;   // connections of peers without a listed key
};

class PeerTransport {
 public:
  // `on_message` is called on the transport's thread and mustn't block.
  // Errors: MembershipError.
  static Result<std::unique_ptr<PeerTransport>> Start(
      PeerOptions options,
      std::function<void(PeerMessage message)> on_message);
  // Ends the thread. `on_message` isn't called any more afterwards.
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Queues `message` for sending; its `from` is filled in. Returns false if it
  // was dropped at once: no room, or too large.
  bool Send(PeerMessage message);

  // Adds a VM, or gives it another address or key.
  void UpdatePeer(PeerSettings peer);

  // The address in use, with the port that the system gave.
  const Address& bound() const;
  PeerTraffic traffic() const;

 private:
  class Impl;
  explicit PeerTransport(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace baobabrun

#endif  // MEMBERSHIP_PEER_TRANSPORT_H_
