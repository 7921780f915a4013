// The thread that sends and receives messages between VMs.
#include "membership/peer_transport.h"

#include <fmt/core.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <utility>
#include <zmq.hpp>

#include "base/log.h"
#include "base/ring.h"
#include "base/thread.h"
#include "membership/membership_error.h"
#include "membership/peer_authenticator.h"
#include "membership/peer_delay.h"
#include "membership/peer_outbox.h"
#include "membership/peer_socket.h"
#include "membership/peer_transport.pb.h"

namespace baobabrun {
namespace {

constexpr std::size_t kUpdateQueueCapacity = 1'024;
// Maximum number of messages received per loop iteration, so that receiving
// doesn't starve sending. PeerOutbox bounds what is sent per iteration.
constexpr int kReceiveBatch = 256;
constexpr milliseconds kRetryInterval{10};
// No machine's monotonic clock gets this far.
constexpr std::uint64_t kMaxSentUs = 1'000'000'000'000'000;
constexpr milliseconds kIdleInterval{1'000};
constexpr char kZapDomain[] = "peers";
constexpr char kUserId[] = "User-Id";

std::uint64_t ToMicroseconds(Instant time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          time.time_since_epoch())
          .count());
}

Instant FromMicroseconds(std::uint64_t us) {
  return Instant(std::chrono::microseconds(us));
}

PeerOutboxOptions OutboxOptions(const PeerOptions& options) {
  PeerOutboxOptions outbox;
  outbox.bulk_bytes_per_second = options.bulk_bytes_per_second;
  return outbox;
}

// Wakes the transport's poll from other threads.
class Waker {
 public:
  Waker() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}
  ~Waker() { close(fd_); }
  Waker(const Waker&) = delete;
  Waker& operator=(const Waker&) = delete;

  void Wake() const { (void)eventfd_write(fd_, 1); }
  void Clear() const {
    eventfd_t n = 0;
    (void)eventfd_read(fd_, &n);
  }
  int fd() const { return fd_; }

 private:
  const int fd_;
};

}  // namespace

class PeerTransport::Impl {
 public:
  Impl(PeerOptions options,
       CurveKeys keys,
       std::function<void(PeerMessage message)> on_message);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  Status Start();
  bool Send(PeerMessage message);
  void UpdatePeer(PeerSettings peer);
  const Address& bound() const { return bound_; }
  PeerTraffic traffic() const;

 private:
  struct Counters {
    std::atomic<std::uint64_t> sent = 0;
    std::atomic<std::uint64_t> sent_bytes = 0;
    std::atomic<std::uint64_t> sent_bulk_bytes = 0;
    struct OfTopic {
      std::atomic<std::uint64_t> messages = 0;
      std::atomic<std::uint64_t> bytes = 0;
    };
    std::array<OfTopic, kPeerTopics> sent_of;  // by the topic's number less one
    std::atomic<std::uint64_t> received = 0;
    std::atomic<std::uint64_t> received_bytes = 0;
    std::atomic<std::uint64_t> dropped = 0;
    std::atomic<std::uint64_t> rejected = 0;
    std::atomic<std::uint64_t> overflowed = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> connections = 0;
    std::atomic<std::uint64_t> waiting = 0;
  };

  // Takes what `message` needs of `part`; false if there is no room.
  bool TakeMemory(PeerMessage& message, MemoryPart part) const;
  bool encrypted() const { return !keys_.secret_key.empty(); }
  void Bind();
  void Run();
  void Poll();
  void ApplyPeerUpdates();
  void ApplyPeerUpdate(const PeerSettings& peer);
  void SendQueued();
  void SendOne(PeerMessage message);
  PeerConnection* ConnectionTo(const VmId& vm);
  void Flush();
  void CloseIdle();
  void ReceiveBatch();
  void Receive(zmq::message_t frame);
  // Whether `envelope` is addressed to this VM and, with CURVE, the key that
  // opened the connection of `frame` belongs to the VM in `from`.
  bool SenderIsVerified(zmq::message_t& frame,
                        const wire::Envelope& envelope) const;

  const PeerOptions options_;
  const CurveKeys keys_;  // empty without encryption
  const std::function<void(PeerMessage message)> on_message_;
  Address bound_;
  Waker waker_;
  PeerOutbox to_send_;
  Ring<PeerSettings> updates_;
  Counters counters_;
  SystemClock clock_;
  PeerDelayMeter delays_;

  zmq::context_t context_{1};
  std::optional<PeerAuthenticator> authenticator_;  // set if encrypted
  zmq::socket_t inbox_;
  std::map<VmId, PeerSettings> peers_;
  // Each is opened when the first message to the VM is sent.
  std::map<VmId, PeerConnection> connections_;
  Instant next_close_;  // when to look for idle connections
  std::unique_ptr<DutyThread> thread_;
};

PeerTransport::Impl::Impl(PeerOptions options,
                          CurveKeys keys,
                          std::function<void(PeerMessage message)> on_message)
    : options_(std::move(options)),
      keys_(std::move(keys)),
      on_message_(std::move(on_message)),
      to_send_(OutboxOptions(options_), [this] { waker_.Wake(); }),
      updates_(kUpdateQueueCapacity, [this] { waker_.Wake(); }),
      inbox_(context_, zmq::socket_type::pull) {}

PeerTransport::Impl::~Impl() {
  to_send_.Close();
  thread_.reset();
}

void PeerTransport::Impl::Bind() {
  if (encrypted()) {
    authenticator_.emplace(context_);
    inbox_.set(zmq::sockopt::curve_server, true);
    inbox_.set(zmq::sockopt::zap_domain, kZapDomain);
  }
  SetPeerSocketOptions(inbox_, keys_);
  inbox_.bind("tcp://" + ToString(options_.listen));
  const auto endpoint = inbox_.get(zmq::sockopt::last_endpoint);
  const auto address =
      ParseAddress(std::string_view(endpoint).substr(sizeof("tcp://") - 1));
  if (address.ok()) {
    bound_ = address.value();
  }
}

Status PeerTransport::Impl::Start() {
  try {
    Bind();
  } catch (const zmq::error_t& e) {
    return Error{MembershipError::kBind,
                 fmt::format("cannot listen for peers on {}: {}",
                             ToString(options_.listen), e.what())};
  }
  for (const auto& it : options_.fleet) {
    ApplyPeerUpdate(it);
  }
  auto thread = DutyThread::Start("peers", [this] { Run(); });
  if (!thread.ok()) {
    return Error{MembershipError::kThread, thread.error().message};
  }
  thread_ = std::move(thread.value());
  return Ok();
}

// Bulk messages leave half of the part to urgent ones. An urgent message that
// is larger than the part is let in, and counts as half of it, if that half is
// free: whatever is committed must reach all VMs, one such message at a time.
bool PeerTransport::Impl::TakeMemory(PeerMessage& message,
                                     MemoryPart part) const {
  if (options_.budget == nullptr) {
    return true;
  }
  const auto bytes = message.payload.size() + sizeof(PeerMessage);
  const auto half = options_.budget->BoundOf(part) / 2;
  const bool bulk = message.priority == PeerPriority::kBulk;
  if (bulk && options_.budget->Held(part) + bytes > half) {
    return false;
  }
  MemoryLease lease(options_.budget, part);
  const bool alone = !bulk && bytes > half;
  if (alone && options_.budget->Held(part) >= half) {
    return false;
  }
  if (!lease.Grow(alone ? half : bytes)) {
    return false;
  }
  message.lease = std::make_shared<const MemoryLease>(std::move(lease));
  return true;
}

bool PeerTransport::Impl::Send(PeerMessage message) {
  message.sent = clock_.Now();
  if (message.payload.size() <= kMaxPeerMessageBytes &&
      TakeMemory(message, MemoryPart::kPeers) &&
      to_send_.Push(std::move(message))) {
    return true;
  }
  ++counters_.dropped;
  return false;
}

void PeerTransport::Impl::UpdatePeer(PeerSettings peer) {
  updates_.TryPush(std::move(peer));
}

PeerTraffic PeerTransport::Impl::traffic() const {
  PeerTraffic traffic;
  traffic.sent = counters_.sent;
  traffic.sent_bytes = counters_.sent_bytes;
  traffic.sent_bulk_bytes = counters_.sent_bulk_bytes;
  for (std::size_t n = 0; n < kPeerTopics; ++n) {
    const auto& it = counters_.sent_of[n];
    if (it.messages > 0) {
      traffic.sent_of[static_cast<PeerTopic>(n + 1)] = {it.messages, it.bytes};
    }
  }
  traffic.received = counters_.received;
  traffic.received_bytes = counters_.received_bytes;
  traffic.dropped = counters_.dropped;
  traffic.rejected = counters_.rejected;
  traffic.overflowed = counters_.overflowed;
  traffic.refused = counters_.refused;
  traffic.connections = counters_.connections;
  traffic.waiting = counters_.waiting;
  return traffic;
}

void PeerTransport::Impl::Run() {
  while (!to_send_.closed()) {
    try {
      Poll();
      ApplyPeerUpdates();
      SendQueued();
      Flush();
      CloseIdle();
      ReceiveBatch();
    } catch (const zmq::error_t& e) {
      Log(Event::kPeerSocketFailed, "{}", e.what());
    }
  }
}

void PeerTransport::Impl::Poll() {
  const bool waiting =
      std::any_of(connections_.begin(), connections_.end(),
                  [](const auto& it) { return it.second.waiting(); });
  std::vector<zmq::pollitem_t> items = {
      {inbox_.handle(), 0, ZMQ_POLLIN, 0},
      {nullptr, waker_.fd(), ZMQ_POLLIN, 0},
  };
  if (authenticator_) {
    items.push_back({authenticator_->socket().handle(), 0, ZMQ_POLLIN, 0});
  }
  for (auto& [vm, connection] : connections_) {
    if (connection.waiting()) {
      items.push_back({connection.handle(), 0, ZMQ_POLLOUT, 0});
    }
  }
  auto timeout = waiting ? kRetryInterval : kIdleInterval;
  if (to_send_.waiting()) {
    timeout =
        std::min(timeout, std::chrono::ceil<milliseconds>(to_send_.WaitTime()));
  }
  zmq::poll(items, timeout);
  waker_.Clear();
  if (authenticator_) {
    authenticator_->AnswerRequests();
    counters_.refused = authenticator_->refused();
  }
}

void PeerTransport::Impl::ApplyPeerUpdates() {
  for (const auto& it : updates_.Drain(Duration::zero())) {
    ApplyPeerUpdate(it);
  }
}

void PeerTransport::Impl::ApplyPeerUpdate(const PeerSettings& peer) {
  if (authenticator_ && !peer.public_key.empty()) {
    authenticator_->Allow(peer.vm, peer.public_key);
  }
  connections_.erase(peer.vm);
  peers_.insert_or_assign(peer.vm, peer);
}

void PeerTransport::Impl::SendQueued() {
  auto batch = to_send_.Take(clock_.Now());
  counters_.dropped += batch.dropped;
  for (auto& it : batch.messages) {
    SendOne(std::move(it));
  }
}

PeerConnection* PeerTransport::Impl::ConnectionTo(const VmId& vm) {
  const auto connection = connections_.find(vm);
  if (connection != connections_.end()) {
    return &connection->second;
  }
  const auto peer = peers_.find(vm);
  if (peer == peers_.end() ||
      (encrypted() && peer->second.public_key.empty())) {
    return nullptr;
  }
  const auto heartbeat = options_.control || peer->second.control
                             ? PeerHeartbeats::kControl
                             : PeerHeartbeats::kOther;
  return &connections_
              .try_emplace(vm, context_, peer->second, keys_, heartbeat,
                           clock_.Now())
              .first->second;
}

void PeerTransport::Impl::SendOne(PeerMessage message) {
  auto* connection = ConnectionTo(message.to);
  if (connection == nullptr) {
    ++counters_.dropped;
    return;
  }
  wire::Envelope envelope;
  envelope.set_from(options_.self.value());
  envelope.set_to(message.to.value());
  envelope.set_topic(static_cast<std::uint32_t>(message.topic));
  envelope.set_payload(std::move(message.payload));
  envelope.set_sent_us(ToMicroseconds(message.sent));
  envelope.set_bulk(message.priority == PeerPriority::kBulk);
  auto buf = envelope.SerializeAsString();
  ++counters_.sent;
  counters_.sent_bytes += buf.size();
  if (message.priority == PeerPriority::kBulk) {
    counters_.sent_bulk_bytes += buf.size();
  }
  auto& of_topic =
      counters_.sent_of.at(static_cast<std::size_t>(message.topic) - 1);
  ++of_topic.messages;
  of_topic.bytes += buf.size();
  counters_.dropped += connection->SendOrQueue(
      std::move(buf), message.priority, std::move(message.lease), clock_.Now());
}

void PeerTransport::Impl::Flush() {
  const auto now = clock_.Now();
  std::size_t waiting = to_send_.size();
  for (auto& [vm, connection] : connections_) {
    counters_.dropped += connection.Flush(now);
    waiting += connection.queued_messages();
  }
  counters_.waiting = waiting;
}

void PeerTransport::Impl::CloseIdle() {
  const auto now = clock_.Now();
  if (now >= next_close_) {
    next_close_ = now + std::min<Duration>(options_.idle_time, kIdleInterval);
    std::erase_if(connections_, [&](const auto& it) {
      return !it.second.waiting() &&
             now - it.second.last_used() > options_.idle_time;
    });
  }
  counters_.connections = connections_.size();
}

void PeerTransport::Impl::ReceiveBatch() {
  for (int n = 0; n < kReceiveBatch; ++n) {
    zmq::message_t frame;
    if (!inbox_.recv(frame, zmq::recv_flags::dontwait)) {
      return;
    }
    Receive(std::move(frame));
  }
}

bool PeerTransport::Impl::SenderIsVerified(
    zmq::message_t& frame,
    const wire::Envelope& envelope) const {
  if (envelope.to() != options_.self.value() || envelope.from().empty()) {
    return false;
  }
  // With CURVE, the authenticator set the user id to the VM whose key opened
  // the connection.
  const char* user = encrypted() ? zmq_msg_gets(frame.handle(), kUserId)
                                 : envelope.from().c_str();
  return user != nullptr && envelope.from() == user;
}

void PeerTransport::Impl::Receive(zmq::message_t frame) {
  wire::Envelope envelope;
  const auto topic_name = [&envelope] {
    return NameOf(static_cast<PeerTopic>(envelope.topic()));
  };
  if (!envelope.ParseFromArray(frame.data(), static_cast<int>(frame.size())) ||
      !SenderIsVerified(frame, envelope) || topic_name() == "unknown") {
    ++counters_.rejected;
    return;
  }
  ++counters_.received;
  counters_.received_bytes += frame.size();
  PeerMessage message{VmId(envelope.from()), VmId(envelope.to()),
                      static_cast<PeerTopic>(envelope.topic()),
                      std::move(*envelope.mutable_payload())};
  message.received = clock_.Now();
  message.priority =
      envelope.bulk() ? PeerPriority::kBulk : PeerPriority::kUrgent;
  if (!TakeMemory(message, MemoryPart::kEvents)) {
    ++counters_.overflowed;
    return;
  }
  if (envelope.sent_us() != 0 && envelope.sent_us() <= kMaxSentUs) {
    message.sent = FromMicroseconds(envelope.sent_us());
    message.delay =
        delays_.Record(message.from, message.sent, message.received);
  }
  on_message_(std::move(message));
}

PeerTransport::PeerTransport(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PeerTransport::~PeerTransport() = default;

Result<std::unique_ptr<PeerTransport>> PeerTransport::Start(
    PeerOptions options,
    std::function<void(PeerMessage message)> on_message) {
  CurveKeys keys;
  if (!options.curve_secret_file.empty()) {
    auto read = ReadCurveKeys(options.curve_secret_file);
    if (!read.ok()) {
      return read.error();
    }
    keys = std::move(read.value());
  }
  auto impl = std::make_unique<Impl>(std::move(options), std::move(keys),
                                     std::move(on_message));
  const auto status = impl->Start();
  if (!status.ok()) {
    return status.error();
  }
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

bool PeerTransport::Send(PeerMessage message) {
  return impl_->Send(std::move(message));
}

void PeerTransport::UpdatePeer(PeerSettings peer) {
  impl_->UpdatePeer(std::move(peer));
}

const Address& PeerTransport::bound() const {
  return impl_->bound();
}

PeerTraffic PeerTransport::traffic() const {
  return impl_->traffic();
}

}  // namespace baobabrun
