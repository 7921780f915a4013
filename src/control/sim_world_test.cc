// The network, disks and crashes of the simulated fleet.
#include "control/sim_world_test.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace baobabrun {
namespace {

constexpr std::int64_t kDriftPpm = 50'000;
constexpr Duration kHeartbeat = milliseconds(20);
constexpr Duration kElectionTimeout = milliseconds(200);
constexpr LogIndex kSnapshotEntries = 12;
constexpr LogIndex kKeptEntries = 4;
constexpr std::size_t kTraceLines = 120;

std::string Describe(const ReplicaPayload& payload) {
  struct Describer {
    std::string operator()(const VoteRequest& it) const {
      return fmt::format("vote? term {} pre {} last {}/{}", it.term, it.pre,
                         it.last_term, it.last_index);
    }
    std::string operator()(const VoteResponse& it) const {
      return fmt::format("vote term {} pre {} granted {}", it.term, it.pre,
                         it.granted);
    }
    std::string operator()(const AppendRequest& it) const {
      return fmt::format("append term {} after {}/{} entries {} commit {}",
                         it.term, it.previous_term, it.previous_index,
                         it.entries.size(), it.commit);
    }
    std::string operator()(const AppendResponse& it) const {
      return fmt::format("appended term {} matched {} index {}", it.term,
                         it.matched, it.index);
    }
    std::string operator()(const SnapshotRequest& it) const {
      return fmt::format("snapshot term {} index {}", it.term, it.meta.index);
    }
    std::string operator()(const CampaignNow& it) const {
      return fmt::format("campaign now, term {}", it.term);
    }
    std::string operator()(const CommitQuery& /*it*/) const {
      return "committed?";
    }
    std::string operator()(const CommitReport& it) const {
      return fmt::format("committed {}/{} trusted {}", it.term, it.index,
                         it.trusted);
    }
  };
  return std::visit(Describer(), payload);
}

}  // namespace

SimWorld::SimWorld(SimOptions options)
    : options_(options), random_(options.seed), faulty_(options.faults) {
  for (int i = 0; i < options.replicas + options.spares; ++i) {
    auto node = std::make_unique<Node>();
    node->id = VmId(fmt::format("vm-{}", i));
    node->drift_ppm =
        static_cast<std::int64_t>(RandomBelow(2 * kDriftPpm + 1)) - kDriftPpm;
    node->offset = milliseconds(RandomBelow(1'000'000));
    nodes_.push_back(std::move(node));
  }
  for (auto& it : nodes_) {
    Start(*it);
  }
}

Instant SimWorld::LocalTime(const Node& node) const {
  constexpr std::int64_t kMillion = 1'000'000;
  const auto elapsed = (now_ - Instant(seconds(1000))).count();
  return Instant(seconds(1000)) + node.offset +
         Duration(elapsed + elapsed / kMillion * node.drift_ppm);
}

SimWorld::Node* SimWorld::FindNode(const VmId& id) {
  for (auto& it : nodes_) {
    if (it->id == id) {
      return it.get();
    }
  }
  return nullptr;
}

SimWorld::Node& SimWorld::PickNode() {
  return *nodes_[RandomBelow(nodes_.size())];
}

void SimWorld::AddTraceLine(std::string line) {
  const auto ms = (now_ - Instant(seconds(1000))) / milliseconds(1);
  trace_.push_back(fmt::format("{} ms: {}", ms, std::move(line)));
  if (trace_.size() > kTraceLines) {
    trace_.pop_front();
  }
}

std::string SimWorld::Trace() const {
  std::string text;
  for (const auto& it : trace_) {
    text += it + "\n";
  }
  return text;
}

void SimWorld::Fail(const std::string& what) const {
  throw std::runtime_error(what);
}

void SimWorld::Run(Duration time) {
  const Instant end = now_ + time;
  while (now_ < end) {
    Step();
  }
}

void SimWorld::SetDiskFull(std::size_t replica, bool full) {
  nodes_.at(replica)->disk.full = full;
  AddTraceLine(fmt::format("disk of {} {}", nodes_[replica]->id.value(),
                           full ? "is full" : "has room"));
}

void SimWorld::Step() {
  now_ += std::chrono::microseconds(100 + RandomBelow(4000));
  if (faulty_) {
    InjectFaults();
  }
  Deliver();
  for (auto& it : nodes_) {
    StepNode(*it);
  }
  StepClients();
  CheckLeases();
}

void SimWorld::Start(Node& node) {
  ReplicaHostOptions options;
  options.replica = {node.id, kHeartbeat, kElectionTimeout, kDriftPpm,
                     kKeptEntries};
  const auto index = static_cast<int>(
      std::find_if(nodes_.begin(), nodes_.end(),
                   [&](const auto& it) { return it.get() == &node; }) -
      nodes_.begin());
  const bool initial = index < options_.replicas && !node.disk_lost;
  for (int i = 0; i < options_.replicas && initial; ++i) {
    options.initial_replicas.push_back(nodes_[i]->id);
  }
  options.snapshot_entries = kSnapshotEntries;
  options.confirmation_timeout = std::chrono::hours(1);
  node.answered_before_start = highest_answered_;
  node.applied = 0;
  node.pending.clear();
  node.unreleased.clear();
  node.disk_failed = false;
  auto host = ReplicaHost::Open(options, node.disk, HooksFor(node),
                                std::mt19937_64(random_()), LocalTime(node));
  if (!host.ok()) {
    if (host.error().code == ControlError::kCorrupt) {
      Fail(node.id.value() + " can't start: " + host.error().message);
    }
    node.up_at = now_ + milliseconds(50);
    return;
  }
  AddTraceLine(node.id.value() + " starts");
  node.host = std::move(host.value());
  node.applied =
      node.host->machine().state()->version.value() == 0 ? 0 : node.applied;
  node.sync_pending = false;
}

void SimWorld::Crash(Node& node) {
  AddTraceLine(node.id.value() + " crashes");
  node.host.reset();
  node.disk.Crash(random_);
  node.up_at = now_ + milliseconds(RandomBelow(1500));
}

// Crashes `node` and empties its disk if all replicas are up and trusted: the
// log survives one lost disk at a time. A spare that isn't in use isn't
// trusted.
void SimWorld::MaybeLoseDisk(Node& node) {
  const bool all_trusted =
      std::all_of(nodes_.begin(), nodes_.end(), [](const auto& it) {
        const bool unused = it->host && !it->disk_lost &&
                            it->host->replica().log().last_index() == 0 &&
                            !it->host->replica().membership().IsVoter(it->id);
        return it->host && (unused || it->host->replica().trusted());
      });
  if (!all_trusted || !node.host->replica().trusted()) {
    return;
  }
  Crash(node);
  AddTraceLine(node.id.value() + " loses its disk");
  node.disk.files.clear();
  node.disk_lost = true;
  node.published = StateVersion();
  ++lost_disks_;
}

void SimWorld::StepNode(Node& node) {
  if (!node.host) {
    if (now_ >= node.up_at) {
      Start(node);
    }
    return;
  }
  const Instant local = LocalTime(node);
  if (local >= node.host->replica().next_tick()) {
    node.host->Tick(local);
  }
  node.host->Run(local);
  if (node.host->needs_sync() && !node.sync_pending) {
    node.sync_pending = true;
    node.sync_at = now_ + std::chrono::microseconds(RandomBelow(15'000));
  }
  if (node.sync_pending && now_ >= node.sync_at) {
    node.sync_pending = false;
    node.host->Sync(local);
  }
  ReleaseAnswers(node);
  if (node.disk_failed) {
    // The process keeps running and reopens its files later.
    AddTraceLine(node.id.value() + " lost its disk");
    node.host.reset();
    node.up_at = now_ + milliseconds(RandomBelow(500));
  }
}

void SimWorld::InjectFaults() {
  Node& node = PickNode();
  if (FaultOnceIn(400) && node.host) {
    Crash(node);
  }
  if (FaultOnceIn(600)) {
    MaybeLoseDisk(node);
  }
  if (FaultOnceIn(500)) {
    node.disk.full = true;
  }
  if (FaultOnceIn(500)) {
    node.disk.fail_sync = true;
  }
  if (RandomBelow(50) == 0) {
    node.disk.full = false;
    node.disk.fail_sync = false;
  }
  if (FaultOnceIn(150)) {
    const auto until = now_ + milliseconds(RandomBelow(1200));
    const Node& other = PickNode();
    blocked_links_[{node.id, other.id}] = until;
    AddTraceLine(
        fmt::format("cut {} -> {}", node.id.value(), other.id.value()));
  }
  if (FaultOnceIn(500)) {  // loses messages in both directions
    CutOff(node, milliseconds(RandomBelow(1500)));
  }
  if (FaultOnceIn(250)) {
    IsolateLeader();
  }
  if (!leader_to_isolate_.empty() && now_ >= isolate_at_) {
    CutOff(*FindNode(leader_to_isolate_), milliseconds(400));
    leader_to_isolate_ = VmId();
  }
  if (FaultOnceIn(600) && node.host) {
    AddTraceLine(node.id.value() + " hands over");
    node.host->TransferLeadership(LocalTime(node));
  }
}

// Blocks the leader's messages first to one replica and later to all. The
// first replica may start an election while the leader still has its lease.
void SimWorld::IsolateLeader() {
  for (const auto& it : nodes_) {
    if (it->host && it->host->replica().IsLeader()) {
      const Node& unreachable = PickNode();
      blocked_links_[{it->id, unreachable.id}] = now_ + milliseconds(600);
      leader_to_isolate_ = it->id;
      isolate_at_ = now_ + milliseconds(100 + RandomBelow(400));
      AddTraceLine(
          fmt::format("cut {} -> {}", it->id.value(), unreachable.id.value()));
      return;
    }
  }
}

void SimWorld::CutOff(const Node& node, Duration time) {
  for (const auto& it : nodes_) {
    blocked_links_[{node.id, it->id}] = now_ + time;
    blocked_links_[{it->id, node.id}] = now_ + time;
  }
  AddTraceLine("cut off " + node.id.value());
}

void SimWorld::Enqueue(const ReplicaMessage& message) {
  const auto cut = blocked_links_.find({message.from, message.to});
  if (cut != blocked_links_.end() && now_ < cut->second) {
    return;
  }
  if (FaultOnceIn(25)) {
    return;
  }
  const int copies = FaultOnceIn(20) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    // Some messages arrive late and out of order.
    const auto bound = FaultOnceIn(30) ? 800'000 : 8'000;
    const auto delay = std::chrono::microseconds(200 + RandomBelow(bound));
    in_flight_.push_back({now_ + delay, message});
  }
}

void SimWorld::Deliver() {
  std::vector<InFlightMessage> due;
  std::erase_if(in_flight_, [&](InFlightMessage& it) {
    if (it.at > now_) {
      return false;
    }
    due.push_back(std::move(it));
    return true;
  });
  std::shuffle(due.begin(), due.end(), random_);
  for (const auto& it : due) {
    Node* node = FindNode(it.message.to);
    if (node == nullptr || !node->host) {
      continue;
    }
    AddTraceLine(fmt::format("{} -> {}: {}", it.message.from.value(),
                             it.message.to.value(),
                             Describe(it.message.payload)));
    node->host->Receive(it.message, LocalTime(*node));
    node->host->Run(LocalTime(*node));
  }
}

void SimWorld::HealAndCheck() {
  faulty_ = false;
  blocked_links_.clear();
  for (auto& it : nodes_) {
    it->disk.full = false;
    it->disk.fail_sync = false;
    it->up_at = now_;
  }
  constexpr Duration kConvergenceBound = seconds(20);
  const Instant end = now_ + kConvergenceBound;
  while (!HasConverged()) {
    if (now_ > end) {
      Fail("the replicas did not agree after all faults ended");
    }
    Step();
  }
  CheckFinalState();
}

}  // namespace baobabrun
