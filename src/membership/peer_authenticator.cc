// Authentication of connecting VMs.
#include "membership/peer_authenticator.h"

#include <vector>

#include "base/log.h"

namespace baobabrun {
namespace {

constexpr char kZapAddress[] = "inproc://zeromq.zap.01";
constexpr std::size_t kPublicKeyBytes = 32;
// At least this long between two log lines about rejected peers, since a
// rejected peer keeps reconnecting.
constexpr seconds kLogInterval{10};
constexpr char kRefused[] = "400";
constexpr char kAccepted[] = "200";

// Indices of a request's frames in the order that ZeroMQ's RFC 27 defines.
constexpr std::size_t kRequestIdFrame = 1;
constexpr std::size_t kAddressFrame = 3;
constexpr std::size_t kMechanismFrame = 5;
constexpr std::size_t kCredentialsFrame = 6;
constexpr std::size_t kRequestFrames = 7;

std::vector<std::string> ReceiveFrames(zmq::socket_t& socket) {
  std::vector<std::string> frames;
  zmq::message_t frame;
  do {
    if (!socket.recv(frame, zmq::recv_flags::dontwait)) {
      break;
    }
    frames.push_back(frame.to_string());
  } while (frame.more());
  return frames;
}

void SendFrames(zmq::socket_t& socket, const std::vector<std::string>& frames) {
  for (std::size_t n = 0; n < frames.size(); ++n) {
    const bool last = n + 1 == frames.size();
    (void)socket.send(zmq::buffer(frames[n]),
                      last ? zmq::send_flags::none : zmq::send_flags::sndmore);
  }
}

}  // namespace

PeerAuthenticator::PeerAuthenticator(zmq::context_t& context)
    : socket_(context, zmq::socket_type::rep) {
  socket_.set(zmq::sockopt::linger, 0);
  socket_.bind(kZapAddress);
}

void PeerAuthenticator::Allow(const VmId& vm, const std::string& public_key) {
  std::erase_if(allowed_, [&vm](const auto& it) { return it.second == vm; });
  unsigned char binary[kPublicKeyBytes];
  if (zmq_z85_decode(binary, public_key.c_str()) != nullptr) {
    allowed_[{reinterpret_cast<char*>(binary), sizeof(binary)}] = vm;
  }
}

VmId PeerAuthenticator::Authenticate(std::string_view mechanism,
                                     std::string_view credentials) const {
  if (mechanism != "CURVE") {
    return {};
  }
  const auto it = allowed_.find(std::string(credentials));
  return it == allowed_.end() ? VmId() : it->second;
}

void PeerAuthenticator::RecordRefusal(const std::string& address) {
  ++refused_;
  const auto now = clock_.Now();
  if (now >= next_log_) {
    next_log_ = now + kLogInterval;
    Log(Event::kPeerRejected, "rejected the peer at {}: its key isn't listed",
        address);
  }
}

bool PeerAuthenticator::AnswerOneRequest() {
  const auto request = ReceiveFrames(socket_);
  if (request.empty()) {
    return false;
  }
  const bool whole = request.size() == kRequestFrames;
  const auto vm =
      whole ? Authenticate(request[kMechanismFrame], request[kCredentialsFrame])
            : VmId();
  if (vm.empty()) {
    RecordRefusal(request.size() > kAddressFrame ? request[kAddressFrame]
                                                 : "?");
  }
  const auto id = request.size() > kRequestIdFrame ? request[kRequestIdFrame]
                                                   : std::string();
  SendFrames(socket_, {"1.0", id, vm.empty() ? kRefused : kAccepted,
                       vm.empty() ? "unknown key" : "OK", vm.value(), ""});
  return true;
}

void PeerAuthenticator::AnswerRequests() {
  while (AnswerOneRequest()) {
  }
}

}  // namespace baobabrun
