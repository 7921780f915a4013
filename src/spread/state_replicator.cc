// Replication of committed state and of key withdrawals to all VMs.
#include "spread/state_replicator.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "control/codec.h"

namespace baobabrun {
namespace {

// Number of change sets kept for VMs that are a few versions behind.
constexpr std::size_t kMaxHistory = 256;
// After this long without an answer, kAsk is sent to another VM. A VM that is
// asked answers at once that it will send what is lacking, which takes longer.
constexpr milliseconds kAskTimeout{100};
constexpr milliseconds kTransferTimeout{500};
// A push that isn't confirmed within this time, and the time that its bytes
// take over a slow link, counts as lost.
constexpr milliseconds kPushTimeout{250};
constexpr std::size_t kSlowLinkBytesPerMs = 1'000;
// Several pushes are composed at once only up to this size together.
constexpr std::size_t kMaxPushBatchBytes = std::size_t{1} << 20;
// Minimum time between two lists of withdrawals to the same VM.
constexpr milliseconds kWithdrawalsInterval{200};
// How long a starting VM waits for reports of newer versions before it serves,
// and the limit of its wait for a newer version that was reported.
constexpr milliseconds kSettleTime{300};
constexpr milliseconds kCatchUpTime{2'000};

// How long the leader leaves the operator's own proposal of a withdrawal to be
// committed before it proposes the withdrawal itself.
constexpr milliseconds kProposeDelay{1'000};

std::uint64_t DigestOf(const KeyId& key) {
  return FastHash(key.value());
}

}  // namespace

StateReplicator::StateReplicator(StateReplicatorOptions options,
                                 FleetStatePtr state,
                                 const std::vector<KeyId>& withdrawn,
                                 Instant now)
    : options_(std::move(options)), started_(now) {
  for (const auto& it : options_.fleet) {
    Add(it);
  }
  StateReplicatorActions unused;
  if (state != nullptr) {
    AdvanceState(std::move(state), now);
    committed_ = version();
    RecordCommittedWithdrawals(unused);
  }
  RecordWithdrawals(withdrawn, now, unused);
}

void StateReplicator::Add(const PeerSettings& peer) {
  if (peer.vm != options_.self) {
    peers_[peer.vm].settings = peer;
  }
}

StateVersion StateReplicator::version() const {
  return state_ == nullptr ? StateVersion() : state_->version;
}

std::vector<KeyId> StateReplicator::EarlyWithdrawals() const {
  std::vector<KeyId> keys;
  keys.reserve(early_.size());
  for (const auto& [key, since] : early_) {
    keys.push_back(key);
  }
  return keys;
}

std::vector<KeyId> StateReplicator::WithdrawalsToPropose(Instant now) const {
  std::vector<KeyId> due;
  if (state_ == nullptr || early_.empty()) {
    return due;
  }
  for (const auto& it : state_->declarations.keys) {
    const auto early = early_.find(it.key);
    if (early != early_.end() && now >= early->second + kProposeDelay) {
      due.push_back(it.key);
    }
  }
  return due;
}

bool StateReplicator::Ready(Instant now) const {
  if (state_ == nullptr) {
    return false;
  }
  if (peers_.empty() || now >= started_ + kCatchUpTime) {
    return true;
  }
  const bool behind = std::any_of(
      peers_.begin(), peers_.end(),
      [this](const auto& it) { return it.second.version > version(); });
  return !behind && now >= started_ + kSettleTime;
}

void StateReplicator::AdvanceState(FleetStatePtr state, Instant now) {
  if (state_ != nullptr && state->version <= state_->version) {
    return;
  }
  state_ = std::move(state);
  state_bytes_ = EncodedSize(*state_);
  for (const auto& it : state_->named_weights) {
    if (!weights_.Knows(it)) {
      weights_.Add({it.model, it.weights, now}, now);
    }
  }
}

void StateReplicator::RecordAges(const std::vector<WeightsAge>& ages,
                                 Instant now) {
  for (const auto& it : ages) {
    weights_.Add({it.model, it.weights, now - it.age}, now);
  }
}

StateReplicatorActions StateReplicator::Committed(const ChangeSet& changes,
                                                  FleetStatePtr state,
                                                  Instant now) {
  StateReplicatorActions actions;
  const auto base = version();
  const auto previous = std::exchange(committed_, state->version);
  if (state->version <= base) {
    return actions;
  }
  // Without the changes that led to this version the history would have a gap.
  // If a peer's state came in between, `changes` contain those of that state.
  const bool next = state->version.value() == base.value() + 1;
  const auto version = state->version;
  AdvanceState(std::move(state), now);
  if (next && previous == base && !changes.empty()) {
    AppendHistory(version, changes);
  } else {
    ClearHistory();
  }
  RecordCommittedWithdrawals(actions);
  actions.in_force = state_;
  Forward(nullptr, base, now, actions);
  return actions;
}

StateReplicatorActions StateReplicator::Withdraw(const std::vector<KeyId>& keys,
                                                 Instant now) {
  StateReplicatorActions actions;
  RecordWithdrawals(keys, now, actions);
  return actions;
}

StateReplicatorActions StateReplicator::Tick(Instant now) {
  StateReplicatorActions actions;
  const auto ahead = std::find_if(
      peers_.begin(), peers_.end(),
      [this](const auto& it) { return it.second.version > version(); });
  if (ahead != peers_.end()) {
    AskIfBehind(ahead->first, ahead->second.version, now, actions);
  }
  SendPushes(now, actions);
  return actions;
}

StateReplicatorActions StateReplicator::OnPeerVersion(
    const PeerStateVersion& heard,
    Instant now) {
  StateReplicatorActions actions;
  const auto peer = peers_.find(heard.vm);
  if (peer == peers_.end()) {
    return actions;
  }
  RecordPeer(heard.vm, heard.version, heard.withdrawn_digest, now);
  AskIfBehind(heard.vm, heard.version, now, actions);
  CompareWithdrawals(peer->second, now, actions);
  SendPushes(now, actions);
  return actions;
}

void StateReplicator::RecordPeer(const VmId& vm,
                                 StateVersion version,
                                 std::uint64_t digest,
                                 Instant now) {
  auto& peer = peers_.at(vm);
  peer.heard_at = now;
  // A VM that restarted without a disk may report a lower version than before.
  peer.version = version;
  peer.withdrawn_digest = digest;
  peer.heard = true;
}

void StateReplicator::AskIfBehind(const VmId& vm,
                                  StateVersion version,
                                  Instant now,
                                  StateReplicatorActions& actions) {
  const auto timeout = ask_accepted_ ? kTransferTimeout : kAskTimeout;
  const bool waiting = asked_ && now - *asked_ < timeout;
  if (version <= this->version() || waiting) {
    return;
  }
  asked_ = now;
  asked_vm_ = ChoosePeerToAsk(vm);
  ask_accepted_ = false;
  actions.send.push_back({asked_vm_, Compose(StateMessageKind::kAsk)});
}

// The first two go to control VMs that are ahead, or else the first to `vm`.
// Since messages may be lost, later ones go in turn to all VMs that are ahead.
VmId StateReplicator::ChoosePeerToAsk(const VmId& vm) {
  std::vector<VmId> control;
  std::vector<VmId> others;
  for (const auto& [name, it] : peers_) {
    if (it.version > version()) {
      (it.settings.control && Alive(name) ? control : others).push_back(name);
    }
  }
  const auto n = asks_sent_++;
  const bool ask_control = n < 2 || n % 2 == 1 || others.empty();
  if (!control.empty() && ask_control) {
    // VMs that are behind at once spread over the control VMs.
    return control[(FastHash(options_.self.value()) + n) % control.size()];
  }
  return n == 0 || others.empty() ? vm : others[n % others.size()];
}

void StateReplicator::CompareWithdrawals(Peer& peer,
                                         Instant now,
                                         StateReplicatorActions& actions) {
  if (early_.empty() || peer.withdrawn_digest == withdrawn_digest_ ||
      now - peer.withdrawals_sent < kWithdrawalsInterval) {
    return;
  }
  peer.withdrawals_sent = now;
  auto message = Compose(StateMessageKind::kWithdraw);
  message.withdrawn = EarlyWithdrawals();
  actions.send.push_back({peer.settings.vm, std::move(message)});
}

StateReplicatorActions StateReplicator::Receive(const VmId& from,
                                                const StateMessage& message,
                                                Instant now) {
  StateReplicatorActions actions;
  const auto peer = peers_.find(from);
  if (peer == peers_.end()) {
    return actions;
  }
  RecordPeer(from, message.version, message.withdrawn_digest, now);
  RecordWithdrawals(message.withdrawn, now, actions);
  const auto base = version();
  const bool asks =
      message.kind == StateMessageKind::kAsk && message.version < base;
  if (asks) {
    OnAsk(peer->second, message.version, now);
  } else if (message.kind == StateMessageKind::kVersion && from == asked_vm_) {
    ask_accepted_ = true;
  } else if (message.kind == StateMessageKind::kPush) {
    RecordAges(message.weights_ages, now);
    ApplyChanges(message, now);
    if (message.state != nullptr && message.state->version > version()) {
      ClearHistory();
      AdvanceState(message.state, now);
    }
  }
  if (asks || message.kind == StateMessageKind::kQuery ||
      message.kind == StateMessageKind::kPush) {
    actions.send.push_back({from, Compose(StateMessageKind::kVersion)});
  }
  if (version() > base) {
    asked_.reset();
    asks_sent_ = 0;
    RecordCommittedWithdrawals(actions);
    actions.in_force = state_;
    actions.source = from;
    Forward(&peer->second.settings, base, now, actions);
  }
  AskIfBehind(from, message.version, now, actions);
  SendPushes(now, actions);
  return actions;
}

void StateReplicator::ApplyChanges(const StateMessage& message, Instant now) {
  auto reached = message.first_change;
  for (const auto& it : message.changes) {
    if (state_ != nullptr && reached.value() == state_->version.value() + 1) {
      auto next = Apply(*state_, it);
      if (!next.ok()) {
        return;
      }
      AdvanceState(std::make_shared<FleetState>(std::move(next.value())), now);
      AppendHistory(reached, it);
    }
    reached = StateVersion(reached.value() + 1);
  }
}

void StateReplicator::AppendHistory(StateVersion version,
                                    const ChangeSet& changes) {
  history_.push_back({version, changes, EncodedSize(changes)});
  history_bytes_ += history_.back().bytes;
  while (!history_.empty() &&
         (history_.size() > kMaxHistory || history_bytes_ > state_bytes_)) {
    history_bytes_ -= history_.front().bytes;
    history_.pop_front();
  }
}

void StateReplicator::ClearHistory() {
  history_.clear();
  history_bytes_ = 0;
}

void StateReplicator::RecordCommittedWithdrawals(
    StateReplicatorActions& actions) {
  for (const auto& it : state_->declarations.keys) {
    if (!it.withdrawn) {
      continue;
    }
    early_.erase(it.key);
    if (withdrawn_.insert(it.key).second) {
      withdrawn_digest_ ^= DigestOf(it.key);
      actions.withdrawn.push_back(it.key);
    }
  }
}

void StateReplicator::RecordWithdrawals(const std::vector<KeyId>& keys,
                                        Instant now,
                                        StateReplicatorActions& actions) {
  std::vector<KeyId> fresh;
  for (const auto& it : keys) {
    if (withdrawn_.insert(it).second) {
      withdrawn_digest_ ^= DigestOf(it);
      early_.emplace(it, now);
      fresh.push_back(it);
    }
  }
  if (fresh.empty()) {
    return;
  }
  actions.withdrawn.insert(actions.withdrawn.end(), fresh.begin(), fresh.end());
  auto message = Compose(StateMessageKind::kWithdraw);
  message.withdrawn = std::move(fresh);
  for (const auto& group :
       {ZonePeers(), OnePeerPerZone(), OnePeerPerRegion()}) {
    for (const auto& vm : group) {
      actions.send.push_back({vm, message});
    }
  }
}

void StateReplicator::Forward(const PeerSettings* source,
                              StateVersion base,
                              Instant now,
                              StateReplicatorActions& actions) {
  std::vector<VmId> targets;
  const auto add = [&targets](const std::vector<VmId>& group) {
    targets.insert(targets.end(), group.begin(), group.end());
  };
  if (source == nullptr) {
    add(OnePeerPerRegion());
  }
  if (source == nullptr || source->region != options_.region) {
    add(OnePeerPerZone());
  }
  if (source == nullptr || source->zone != options_.zone) {
    add(ZonePeers());
  }
  for (const auto& vm : targets) {
    auto& peer = peers_.at(vm);
    if (peer.version < version()) {
      AwaitPush(peer, base);
    }
  }
  SendPushes(now, actions);
}

void StateReplicator::AwaitPush(Peer& peer, StateVersion base) {
  if (!peer.waiting) {
    peer.waiting = true;
    peer.base = base;
    waiting_.push_back(peer.settings.vm);
  }
}

// An ask that was answered a moment ago crossed the answer on its way.
void StateReplicator::OnAsk(Peer& peer, StateVersion base, Instant now) {
  if (peer.answered == base && now < peer.push_expires) {
    return;
  }
  AwaitPush(peer, base);
  peer.asked = true;
  peer.base = base;
}

bool StateReplicator::MayPush(const Peer& peer, Instant now) {
  if (peer.asked || peer.version >= peer.pushed) {
    return true;
  }
  // The last push wasn't confirmed. A VM that is frozen or cut off is sent
  // nothing until it is heard again.
  return now >= peer.push_expires && peer.heard_at > peer.pushed_at;
}

bool StateReplicator::HasRoom(std::size_t batch, std::size_t bytes) const {
  if (batch > 0 && batch + bytes > kMaxPushBatchBytes) {
    return false;
  }
  return !options_.has_room || options_.has_room(batch + bytes);
}

void StateReplicator::SendPushes(Instant now, StateReplicatorActions& actions) {
  std::size_t batch = 0;
  bool full = false;
  std::deque<VmId> later;
  for (auto& vm : std::exchange(waiting_, {})) {
    auto& peer = peers_.at(vm);
    if (peer.version >= version()) {
      peer.waiting = false;
      peer.asked = false;
      continue;
    }
    const auto bytes = PushSize(peer.base);
    full |= !HasRoom(batch, bytes);
    if (full || !MayPush(peer, now)) {
      later.push_back(std::move(vm));
      continue;
    }
    batch += bytes;
    actions.send.push_back({vm, ComposePush(peer.base, now)});
    peer.waiting = false;
    peer.answered.reset();
    if (std::exchange(peer.asked, false)) {
      peer.answered = peer.base;
    }
    peer.pushed = version();
    peer.pushed_at = now;
    peer.push_expires =
        now + kPushTimeout +
        milliseconds(static_cast<std::int64_t>(bytes / kSlowLinkBytesPerMs));
  }
  waiting_ = std::move(later);
}

bool StateReplicator::Alive(const VmId& vm) const {
  return !options_.alive || options_.alive(vm);
}

std::vector<VmId> StateReplicator::OnePeerPerGroup(
    const std::function<std::string(const PeerSettings&)>& group_of) const {
  // Ordered by whether the VM seems down, then whether it has calls to pass on
  // over the same link, then by hash.
  using Rank = std::tuple<bool, bool, std::uint64_t, VmId>;
  std::map<std::string, Rank> best;
  for (const auto& [vm, it] : peers_) {
    const auto group = group_of(it.settings);
    if (group.empty()) {
      continue;
    }
    const Rank rank{!Alive(vm), !it.settings.control,
                    FastHash(options_.self.value() + "/" + vm.value()), vm};
    const auto [slot, added] = best.emplace(group, rank);
    slot->second = std::min(slot->second, rank);
  }
  std::vector<VmId> chosen;
  chosen.reserve(best.size());
  for (const auto& [group, rank] : best) {
    chosen.push_back(std::get<VmId>(rank));
  }
  return chosen;
}

// Includes VMs that seem down: a VM whose heartbeats are late is up and needs
// the message like the others.
std::vector<VmId> StateReplicator::ZonePeers() const {
  std::vector<VmId> peers;
  for (const auto& [vm, it] : peers_) {
    if (it.settings.zone == options_.zone) {
      peers.push_back(vm);
    }
  }
  return peers;
}

std::vector<VmId> StateReplicator::OnePeerPerZone() const {
  return OnePeerPerGroup([this](const PeerSettings& it) {
    const bool other = it.region == options_.region && it.zone != options_.zone;
    return other ? it.zone.value() : std::string();
  });
}

std::vector<VmId> StateReplicator::OnePeerPerRegion() const {
  return OnePeerPerGroup([this](const PeerSettings& it) {
    return it.region == options_.region ? std::string() : it.region.value();
  });
}

StateMessage StateReplicator::Compose(StateMessageKind kind) const {
  StateMessage message;
  message.kind = kind;
  message.version = version();
  message.withdrawn_digest = withdrawn_digest_;
  return message;
}

std::optional<std::size_t> StateReplicator::ChangesSize(
    StateVersion base) const {
  const bool covered = base != StateVersion() && !history_.empty() &&
                       history_.front().version.value() <= base.value() + 1;
  if (!covered) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  for (const auto& it : history_) {
    bytes += it.version > base ? it.bytes : 0;
  }
  return bytes < state_bytes_ ? std::optional(bytes) : std::nullopt;
}

std::size_t StateReplicator::PushSize(StateVersion base) const {
  return ChangesSize(base).value_or(state_bytes_);
}

StateMessage StateReplicator::ComposePush(StateVersion base,
                                          Instant now) const {
  auto message = Compose(StateMessageKind::kPush);
  for (const auto& it : weights_.All()) {
    message.weights_ages.push_back({it.model, it.weights, now - it.named});
  }
  if (!ChangesSize(base)) {
    message.state = state_;
    return message;
  }
  message.first_change = StateVersion(base.value() + 1);
  for (const auto& it : history_) {
    if (it.version > base) {
      message.changes.push_back(it.changes);
    }
  }
  return message;
}

StateReplicatorActions StateReplicator::Query(StateVersion version) const {
  StateReplicatorActions actions;
  for (const auto& vm : Unconfirmed(version)) {
    actions.send.push_back({vm, Compose(StateMessageKind::kQuery)});
  }
  return actions;
}

std::vector<VmId> StateReplicator::Unconfirmed(StateVersion version) const {
  std::vector<VmId> behind;
  for (const auto& [vm, it] : peers_) {
    if (it.version < version) {
      behind.push_back(vm);
    }
  }
  return behind;
}

std::vector<VmId> StateReplicator::DownVms() const {
  std::vector<VmId> down;
  for (const auto& [vm, it] : peers_) {
    if (!Alive(vm)) {
      down.push_back(vm);
    }
  }
  return down;
}

std::vector<VmId> StateReplicator::UnconfirmedWithdrawals() const {
  std::vector<VmId> differing;
  for (const auto& [vm, it] : peers_) {
    if (!it.heard || it.withdrawn_digest != withdrawn_digest_) {
      differing.push_back(vm);
    }
  }
  return differing;
}

}  // namespace baobabrun
