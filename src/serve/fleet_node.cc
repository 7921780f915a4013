// Routes messages between VMs, and runs membership and state replication on the
// fleet thread.
#include "serve/fleet_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "serve/serve_error.h"

namespace baobabrun {
namespace {

constexpr std::size_t kRingCapacity = 16'384;
// Minimum time between two proposals to commit withdrawals that took effect
// before the log committed them.
constexpr Duration kProposeInterval = seconds(1);
// How long after a commit the leader queries the VMs that haven't confirmed it,
// and how long after that it logs which still haven't.
constexpr Duration kConfirmationTimeout = milliseconds(500);
constexpr std::size_t kMaxListedVms = 20;

// Returns an incarnation that is larger than that of any earlier run of the
// process, provided that the machine's clock is not set back.
Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::vector<VmId> ReplicasOf(const ProcessSettings& settings) {
  std::vector<VmId> replicas;
  for (const auto& it : settings.fleet) {
    if (it.control && it.vm != settings.vm) {
      replicas.push_back(it.vm);
    }
  }
  if (settings.control) {
    replicas.push_back(settings.vm);
  }
  std::sort(replicas.begin(), replicas.end());
  return replicas;
}

// Returns the ids of the seed VMs. In a fleet with discovery, a VM's id is its
// peer address.
std::vector<VmId> SeedIds(const ProcessSettings& settings) {
  std::vector<VmId> seeds;
  for (const auto& it : settings.seeds) {
    seeds.emplace_back(ToString({it.host, settings.peers.port}));
  }
  std::sort(seeds.begin(), seeds.end());
  return seeds;
}

// Returns the ids of `vms` for a log line, or "none".
std::string ListVms(const std::vector<VmId>& vms) {
  std::string list;
  for (std::size_t n = 0; n < std::min(vms.size(), kMaxListedVms); ++n) {
    list += (n == 0 ? "" : ", ") + vms[n].value();
  }
  if (vms.size() > kMaxListedVms) {
    list += ", ...";
  }
  return list.empty() ? "none" : list;
}

void LogMalformed(const VmId& from, const Error& error) {
  Log(Event::kPeerMessageMalformed, "a message from vm {} can't be read: {}",
      from.value(), error.message);
}

// Copies of the state leave half of the part to other messages. One that is
// larger than that half is sent alone.
bool HasRoomForState(const MemoryBudget& budget, std::size_t bytes) {
  const auto held = budget.Held(MemoryPart::kPeers);
  const auto most = budget.BoundOf(MemoryPart::kPeers) / 2;
  return bytes <= most ? held + bytes <= most : held <= most / 2;
}

void LogSentState(const OutgoingStateMessage& out, std::size_t bytes) {
  const auto& message = out.message;
  if (message.kind != StateMessageKind::kPush) {
    return;
  }
  Log(Event::kStateSent,
      {{"to", out.to.value()},
       {"version", message.version.value()},
       {"changes", message.changes.size()},
       {"bytes", bytes}},
      "state version {} goes to vm {} as {} in {} bytes",
      message.version.value(), out.to.value(),
      message.state != nullptr
          ? "a whole"
          : fmt::format("{} changes", message.changes.size()),
      bytes);
}

PeerSettings PeerSettingsOf(const VmRecord& record) {
  PeerSettings peer;
  peer.vm = record.vm;
  peer.zone = record.zone;
  peer.region = record.region;
  peer.control = record.control;
  if (const auto address = ParseAddress(record.vm.value()); address.ok()) {
    peer.address = address.value();
  }
  return peer;
}

}  // namespace

namespace {

// Sets 2n+1 replicas for n disk losses that the control group must survive, so
// that a majority of the replicas remains.
ReplicaPlannerOptions PlannerOptions(const ProcessSettings& settings) {
  ReplicaPlannerOptions options;
  options.target_replicas =
      2 * static_cast<std::size_t>(settings.gateway.lost_disks) + 1;
  return options;
}

}  // namespace

FleetNode::FleetNode(const ProcessSettings& settings,
                     FleetNodeHooks hooks,
                     const MemoryBudgetPtr& budget)
    : self_(settings.vm),
      zone_(settings.zone),
      hooks_(std::move(hooks)),
      tick_(settings.heartbeat / 5),
      events_(kRingCapacity),
      planner_(PlannerOptions(settings)) {
  const auto now = clock_.Now();
  MembershipOptions members{settings.vm,     settings.zone,
                            settings.region, NewIncarnation(),
                            settings.fleet,  settings.heartbeat};
  membership_ = std::make_unique<FleetMembership>(
      std::move(members), std::mt19937_64(RandomNumber()), now);
  StateReplicatorOptions replicator;
  replicator.self = settings.vm;
  replicator.zone = settings.zone;
  replicator.region = settings.region;
  replicator.fleet = settings.fleet;
  replicator.alive = [this](const VmId& vm) {
    return membership_->StateOf(vm) != MemberState::kGone;
  };
  if (budget != nullptr) {
    replicator.has_room = [budget](std::size_t bytes) {
      return HasRoomForState(*budget, bytes);
    };
  }
  replicator_ = std::make_unique<StateReplicator>(
      std::move(replicator), nullptr, std::vector<KeyId>(), now);
  if (settings.gateway.enabled) {
    directory_ = std::make_unique<Directory>(
        VmRecord{settings.vm, settings.zone, settings.region, settings.control,
                 IsSet(settings.callers)},
        SeedIds(settings), std::mt19937_64(RandomNumber()), now);
  }
}

Result<std::unique_ptr<FleetNode>> FleetNode::Start(
    const ProcessSettings& settings,
    FleetNodeHooks hooks,
    MemoryBudgetPtr budget) {
  std::unique_ptr<FleetNode> node(
      new FleetNode(settings, std::move(hooks), budget));
  auto status = node->StartTransport(settings, std::move(budget));
  if (status.ok()) {
    status = node->StartControl(settings);
  }
  if (!status.ok()) {
    return status.error();
  }
  auto* self = node.get();
  auto thread = DutyThread::Start("fleet", [self] { self->Run(); });
  if (!thread.ok()) {
    return thread.error();
  }
  node->thread_ = std::move(thread.value());
  return node;
}

Status FleetNode::StartTransport(const ProcessSettings& settings,
                                 MemoryBudgetPtr budget) {
  PeerOptions options{settings.vm, settings.peers, settings.fleet,
                      settings.curve_secret_file};
  options.control = settings.control;
  options.bulk_bytes_per_second = BulkBytesPerSecond(settings);
  options.budget = std::move(budget);
  auto transport = PeerTransport::Start(
      std::move(options),
      [this](PeerMessage message) { Route(std::move(message)); });
  if (!transport.ok()) {
    return Error{ServeError::kCannotStart, transport.error().message};
  }
  transport_ = std::move(transport.value());
  if (directory_ != nullptr) {
    for (const auto& it : directory_->seeds()) {
      VmRecord seed;
      seed.vm = it;
      transport_->UpdatePeer(PeerSettingsOf(seed));
    }
  }
  return Ok();
}

Status FleetNode::StartControl(const ProcessSettings& settings) {
  const bool found = directory_ != nullptr;
  auto replicas = found ? SeedIds(settings) : ReplicasOf(settings);
  if (replicas.empty() || (found && !settings.control)) {
    return Ok();
  }
  ControlOptions options;
  options.may_bootstrap = !found || settings.bootstrap;
  options.self = settings.vm;
  options.replicas = std::move(replicas);
  options.replica = settings.control;
  options.data_dir = settings.data_dir;
  options.clock_drift_ppm = settings.clock_drift_ppm;
  options.election_timeout = settings.election_timeout;
  options.send = [this](PeerMessage message) {
    return transport_->Send(std::move(message));
  };
  options.on_state = [this](FleetStatePtr state, const ChangeSet& changes) {
    SetCommitted({std::move(state), changes});
  };
  auto control = ControlNode::Start(std::move(options));
  if (!control.ok()) {
    return Error{ServeError::kCannotStart, control.error().message};
  }
  control_ = std::move(control.value());
  control_running_ = true;
  return Ok();
}

FleetNode::~FleetNode() {
  Stop();
}

void FleetNode::Stop() {
  if (stopped_.exchange(true)) {
    return;
  }
  if (control_ != nullptr) {
    control_->Stop();
  }
  events_.Close();
  thread_.reset();
  if (membership_ != nullptr && transport_ != nullptr) {
    std::lock_guard lock(mutex_);
    Perform(membership_->Leave());
  }
  control_running_ = false;
}

void FleetNode::Route(PeerMessage message) {
  switch (message.topic) {
    case PeerTopic::kControl:
    case PeerTopic::kOperators:
      if (control_running_) {
        control_->Receive(std::move(message));
      }
      break;
    case PeerTopic::kMembership:
    case PeerTopic::kState:
    case PeerTopic::kDiscovery:
      events_.TryPush(std::move(message));
      break;
    case PeerTopic::kLimits:
    case PeerTopic::kPlacement:
    case PeerTopic::kOnce:
    case PeerTopic::kEndpoints:
    case PeerTopic::kRegistry:
      hooks_.on_message(std::move(message));
      break;
  }
}

void FleetNode::Run() {
  while (!events_.closed()) {
    auto events = events_.Drain(tick_);
    std::lock_guard lock(mutex_);
    ApplyCommitted();
    for (auto& it : events) {
      std::visit([this](auto& event) { Handle(event); }, it);
    }
    Tick();
  }
}

void FleetNode::Handle(PeerMessage& event) {
  const auto now = clock_.Now();
  delay_log_.Record(event, now);
  if (event.topic == PeerTopic::kMembership) {
    const auto message = DecodeGossip(event.payload);
    if (message.ok()) {
      Perform(membership_->Receive(event.from, message.value(), now));
    } else {
      LogMalformed(event.from, message.error());
    }
    return;
  }
  if (event.topic == PeerTopic::kDiscovery) {
    const auto message = DecodeDirectory(event.payload);
    if (!message.ok()) {
      LogMalformed(event.from, message.error());
    } else if (directory_ != nullptr) {
      Perform(directory_->Receive(event.from, message.value(), now));
    }
    return;
  }
  const auto message = DecodeStateMessage(event.payload);
  if (message.ok()) {
    Perform(replicator_->Receive(event.from, message.value(), now));
  } else {
    LogMalformed(event.from, message.error());
  }
}

void FleetNode::Handle(const Wake& /*event*/) {}

void FleetNode::SetCommitted(Committed committed) {
  committed_.Set(std::move(committed));
  // If the ring is full, the thread is awake.
  events_.TryPush(Wake());
}

void FleetNode::ApplyCommitted() {
  auto committed = committed_.Take();
  if (!committed) {
    return;
  }
  if (!confirmation_) {
    confirmation_ = {committed->state->version,
                     clock_.Now() + kConfirmationTimeout};
  }
  Perform(replicator_->Committed(committed->changes,
                                 std::move(committed->state), clock_.Now()));
}

void FleetNode::Handle(const WithdrawKeys& event) {
  Perform(replicator_->Withdraw(event.keys, clock_.Now()));
}

void FleetNode::Tick() {
  const auto now = clock_.Now();
  membership_->SetLocalVersion(replicator_->version(),
                               replicator_->withdrawn_digest());
  Perform(membership_->Tick(now));
  Perform(replicator_->Tick(now));
  if (directory_ != nullptr) {
    Perform(directory_->Tick(now));
    MaintainControlReplicas();
  }
  ProposeEarlyWithdrawals();
  CheckConfirmation();
  PublishView();
}

void FleetNode::Perform(const MembershipActions& actions) {
  for (const auto& it : actions.send) {
    transport_->Send(
        {self_, it.to, PeerTopic::kMembership, EncodeGossip(it.message)});
  }
  for (const auto& it : actions.changes) {
    Log(Event::kMemberChanged, "vm {} is {}", it.vm.value(), NameOf(it.state));
  }
  for (const auto& it : actions.peer_versions) {
    Perform(replicator_->OnPeerVersion(it, clock_.Now()));
  }
}

void FleetNode::Add(const VmRecord& record) {
  const auto peer = PeerSettingsOf(record);
  transport_->UpdatePeer(peer);
  membership_->Add(peer, clock_.Now());
  replicator_->Add(peer);
  Log(Event::kVmFound, "vm {} in zone {}{}{}", record.vm.value(),
      record.zone.value(), record.control ? ", control" : "",
      record.entry ? ", entry" : "");
}

void FleetNode::Perform(const DirectoryActions& actions) {
  for (const auto& it : actions.added) {
    Add(it);
  }
  for (const auto& it : actions.send) {
    transport_->Send(
        {self_, it.to, PeerTopic::kDiscovery, EncodeDirectory(it.message)});
  }
  if (!actions.added.empty() && hooks_.on_directory) {
    hooks_.on_directory(*directory_);
  }
}

// If this VM is the control leader, replaces replicas that are gone and adds
// replicas until the control group has its target size.
void FleetNode::MaintainControlReplicas() {
  if (control_ == nullptr) {
    return;
  }
  const auto status = control_->Status();
  if (!status.has_lease) {
    return;
  }
  const auto now = clock_.Now();
  std::vector<ReplicaCandidate> candidates = {
      {self_, zone_, true, Duration::zero()}};
  for (const auto& it : directory_->Others()) {
    if (!it.control) {
      continue;
    }
    const auto state = membership_->StateOf(it.vm);
    const bool gone = state == MemberState::kGone;
    candidates.push_back(
        {it.vm, it.zone, state == MemberState::kAlive,
         gone ? membership_->StateAge(it.vm, now) : Duration::zero()});
  }
  std::vector<VmId> voters;
  for (const auto& [vm, index] : status.replicas) {
    if (vm != status.learner) {
      voters.push_back(vm);
    }
  }
  auto plan = planner_.Plan(voters, status.learner, candidates, now);
  if (plan) {
    Log(Event::kReplicaReplaced, "vm {} becomes a replica {}{}",
        plan->add.value(),
        plan->remove.empty() ? "in addition to the others"
                             : "instead of lost vm ",
        plan->remove.value());
    control_->Propose(std::move(*plan), now + kProposeInterval,
                      [](const ProposalResult&) {});
  }
}

void FleetNode::Perform(const StateReplicatorActions& actions) {
  for (const auto& it : actions.send) {
    auto payload = EncodeStateMessage(it.message);
    LogSentState(it, payload.size());
    transport_->Send({self_, it.to, PeerTopic::kState, std::move(payload)});
  }
  if (!actions.withdrawn.empty()) {
    hooks_.on_withdrawn(actions.withdrawn);
  }
  if (actions.in_force != nullptr) {
    const auto down = replicator_->DownVms();
    Log(Event::kStateReceived,
        {{"version", actions.in_force->version.value()},
         {"from", actions.source.value()},
         {"sent_to", actions.send.size()},
         {"down", down.size()}},
        "state version {} {}{}, is passed on to {} VMs; these seem down: {}",
        actions.in_force->version.value(),
        actions.source.empty() ? "was committed here" : "came from vm ",
        actions.source.value(), actions.send.size(), ListVms(down));
    hooks_.on_state(actions.in_force, replicator_->weights().All());
  }
}

// A withdrawal made on a VM that couldn't reach a leader takes effect before it
// is committed. The leader proposes it as soon as it knows of it.
void FleetNode::ProposeEarlyWithdrawals() {
  const auto now = clock_.Now();
  const auto early = replicator_->WithdrawalsToPropose(now);
  if (early.empty() || now < next_proposal_ || control_ == nullptr ||
      !control_->Status().has_lease) {
    return;
  }
  next_proposal_ = now + kProposeInterval;
  ChangeProposal proposal;
  for (const auto& it : early) {
    proposal.changes.emplace_back(WithdrawKey{it});
  }
  control_->Propose(std::move(proposal), now + kProposeInterval,
                    [](const ProposalResult&) {});
}

// A VM that is behind requests the state when it is queried, so the query also
// makes up for a lost message.
void FleetNode::CheckConfirmation() {
  const auto now = clock_.Now();
  if (!confirmation_ || now < confirmation_->due) {
    return;
  }
  const auto version = confirmation_->version;
  const auto unconfirmed = replicator_->Unconfirmed(version);
  const bool leads = control_ != nullptr && control_->Status().has_lease;
  if (leads && !unconfirmed.empty() && !confirmation_->queried) {
    confirmation_->queried = true;
    confirmation_->due = now + kConfirmationTimeout;
    Perform(replicator_->Query(version));
    return;
  }
  if (leads && !unconfirmed.empty()) {
    Log(Event::kStateUnconfirmed,
        {{"version", version.value()}, {"vms", unconfirmed.size()}},
        "{} VMs have not confirmed state version {}: {}", unconfirmed.size(),
        version.value(), ListVms(unconfirmed));
  }
  confirmation_.reset();
  if (replicator_->version() > version) {
    confirmation_ = {replicator_->version(), now + kConfirmationTimeout};
  }
}

void FleetNode::PublishView() {
  const auto now = clock_.Now();
  FleetView view{membership_->Members(), membership_->ZoneIsolated(now),
                 replicator_->Ready(now)};
  if (view.members == view_.members &&
      view.zone_isolated == view_.zone_isolated && view.ready == view_.ready) {
    return;
  }
  view_ = view;
  hooks_.on_view(view);
}

void FleetNode::SetInitialState(FleetStatePtr state) {
  SetCommitted({std::move(state), {}});
}

bool FleetNode::Send(PeerMessage message) {
  return !stopped_ && transport_->Send(std::move(message));
}

void FleetNode::Propose(Proposal proposal,
                        Instant deadline,
                        const ProposalDone& done) {
  if (control_ == nullptr || stopped_) {
    done({ProposalOutcome::kNotAccepted, StateVersion(),
          "this VM has no control group", std::nullopt});
    return;
  }
  control_->Propose(std::move(proposal), deadline, done);
}

void FleetNode::Withdraw(std::vector<KeyId> keys) {
  events_.TryPush(WithdrawKeys{std::move(keys)});
}

std::vector<VmId> FleetNode::Unconfirmed(StateVersion version) {
  std::lock_guard lock(mutex_);
  Perform(replicator_->Query(version));
  return replicator_->Unconfirmed(version);
}

std::vector<VmId> FleetNode::UnconfirmedWithdrawals() const {
  std::lock_guard lock(mutex_);
  return replicator_->UnconfirmedWithdrawals();
}

ControlStatus FleetNode::control_status() const {
  return control_ == nullptr ? ControlStatus() : control_->Status();
}

FleetView FleetNode::view() const {
  std::lock_guard lock(mutex_);
  return view_;
}

}  // namespace baobabrun
