// The control thread: messages, timers, disk.
#include "control/control_node.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "base/hash.h"
#include "base/log.h"
#include "base/ring.h"
#include "base/thread.h"
#include "control/control_error.h"
#include "control/disk.h"
#include "control/log_codec.h"
#include "control/proposal_client.h"
#include "control/proposal_server.h"
#include "control/replica_host.h"

namespace baobabrun {
namespace {

constexpr std::size_t kRingCapacity = 8192;
constexpr Duration kMaxWait = milliseconds(500);
constexpr Duration kReopenInterval = seconds(1);

struct LocalProposal {
  Proposal proposal;
  Instant deadline;
  ProposalDone done;
};
using ControlEvent = std::variant<PeerMessage, LocalProposal>;

// Milliseconds since 1970. Only serves the retention of records.
std::int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

// Without an id, a retry could be committed twice.
void EnsureOperationId(Proposal& proposal) {
  constexpr std::size_t kIdBytes = 16;
  std::string* id = nullptr;
  if (auto* change = std::get_if<ChangeProposal>(&proposal)) {
    id = &change->operation_id;
  } else if (auto* replace = std::get_if<ReplaceReplica>(&proposal)) {
    id = &replace->operation_id;
  }
  if (id != nullptr && id->empty()) {
    *id = ToHex(RandomBytes(kIdBytes));
  }
}

ProposalResponse Refusal(const ProposalRequest& request, std::string reason) {
  ProposalResponse response;
  response.request = request.request;
  response.attempt = request.attempt;
  response.result.outcome = ProposalOutcome::kNotAccepted;
  response.result.message = std::move(reason);
  return response;
}

}  // namespace

class ControlNode::Impl {
 public:
  explicit Impl(ControlOptions options)
      : options_(std::move(options)),
        ring_(kRingCapacity),
        client_(options_.replicas, options_.election_timeout / 2),
        server_([this](const VmId& to, const ProposalResponse& response) {
          SendResponse(to, response);
        }),
        last_request_(RandomNumber()) {}

  baobabrun::Status Open();
  baobabrun::Status StartThread();
  void Receive(PeerMessage message) { ring_.TryPush(std::move(message)); }
  void Propose(Proposal proposal, Instant deadline, const ProposalDone& done);
  ControlStatus GetStatus() const;
  void Stop();

 private:
  void Loop();
  Duration WaitTime() const;
  void Handle(PeerMessage& message);
  void Handle(LocalProposal& proposal);
  void HandleProposalMessage(const VmId& from, const ProposalMessage& message);
  void HandleRequest(const VmId& from, const ProposalRequest& request);
  void StepHost();
  void ReopenIfDue();
  void RunClient();
  void Finish(const FinishProposal& action);
  void SendResponse(const VmId& to, const ProposalResponse& response);
  void SendRequest(const VmId& to, const ProposalRequest& request);
  bool Send(const VmId& to, PeerTopic topic, std::string payload);
  void OnLeadership(bool leader, Term term);
  void OnDiskFailed(const Error& error);
  ReplicaHooks Hooks();
  void UpdateStatus();
  void Shutdown();

  const ControlOptions options_;
  const SystemClock clock_;
  Ring<ControlEvent> ring_;
  std::atomic<bool> stopping_{false};

  // Used by the node's thread only, from here on.
  std::unique_ptr<Disk> disk_;
  std::unique_ptr<ReplicaHost> host_;  // null: no replica, or its disk failed
  bool disk_failed_ = false;
  Instant reopen_at_;
  ProposalClient client_;
  ProposalServer server_;
  std::uint64_t last_request_;
  std::map<std::uint64_t, ProposalDone> done_;
  Instant now_;  // of this turn

  mutable std::mutex status_mutex_;
  ControlStatus status_;  // guarded by status_mutex_

  std::unique_ptr<DutyThread> thread_;
};

Status ControlNode::Impl::Open() {
  now_ = clock_.Now();
  if (!options_.replica) {
    return Ok();
  }
  if (!disk_) {
    auto disk = OpenSystemDisk(options_.data_dir);
    if (!disk.ok()) {
      return disk.error();
    }
    disk_ = std::move(disk.value());
  }
  ReplicaHostOptions options;
  options.replica.self = options_.self;
  options.replica.heartbeat = options_.heartbeat;
  options.replica.election_timeout = options_.election_timeout;
  options.replica.clock_drift_ppm = options_.clock_drift_ppm;
  const auto& initial = options_.replicas;
  if (std::find(initial.begin(), initial.end(), options_.self) !=
      initial.end()) {
    options.initial_replicas = initial;
  }
  auto host = ReplicaHost::Open(std::move(options), *disk_, Hooks(),
                                std::mt19937_64(RandomNumber()), now_);
  if (!host.ok()) {
    return Error{host.error().code,
                 options_.data_dir.string() + ": " + host.error().message};
  }
  host_ = std::move(host.value());
  host_->Sync(now_);
  return Ok();
}

Status ControlNode::Impl::StartThread() {
  UpdateStatus();
  auto thread = DutyThread::Start("control", [this] { Loop(); });
  if (!thread.ok()) {
    return thread.error();
  }
  thread_ = std::move(thread.value());
  return Ok();
}

void ControlNode::Impl::Loop() {
  while (!stopping_) {
    auto events = ring_.Drain(WaitTime());
    now_ = clock_.Now();
    for (auto& it : events) {
      std::visit([this](auto& event) { Handle(event); }, it);
    }
    RunClient();
    StepHost();
    RunClient();
    UpdateStatus();
  }
  Shutdown();
}

Duration ControlNode::Impl::WaitTime() const {
  if (host_ && host_->needs_sync()) {
    return Duration::zero();
  }
  Instant next = std::min(client_.next_tick(), now_ + kMaxWait);
  if (host_) {
    next = std::min(next, host_->replica().next_tick());
  }
  if (disk_failed_) {
    next = std::min(next, reopen_at_);
  }
  // At least some time passes, so that a tick that is due but has nothing to do
  // doesn't spin.
  constexpr Duration kMinWait = std::chrono::microseconds(100);
  return std::max<Duration>(next - clock_.Now(), kMinWait);
}

void ControlNode::Impl::Handle(PeerMessage& message) {
  if (message.topic == PeerTopic::kOperators) {
    const auto decoded = DecodeProposalMessage(message.payload);
    if (decoded.ok()) {
      HandleProposalMessage(message.from, decoded.value());
    }
    return;
  }
  if (!host_ || message.topic != PeerTopic::kControl) {
    return;
  }
  auto payload = DecodeReplicaPayload(message.payload);
  if (payload.ok()) {
    host_->Receive({message.from, message.to, std::move(payload.value())},
                   now_);
  }
}

void ControlNode::Impl::Handle(LocalProposal& proposal) {
  EnsureOperationId(proposal.proposal);
  done_[++last_request_] = std::move(proposal.done);
  client_.Start(last_request_, std::move(proposal.proposal), proposal.deadline,
                now_);
}

void ControlNode::Impl::HandleProposalMessage(const VmId& from,
                                              const ProposalMessage& message) {
  if (const auto* response = std::get_if<ProposalResponse>(&message)) {
    client_.Receive(from, *response, now_);
  } else {
    HandleRequest(from, std::get<ProposalRequest>(message));
  }
}

void ControlNode::Impl::HandleRequest(const VmId& from,
                                      const ProposalRequest& request) {
  if (host_) {
    server_.Receive(*host_, from, request, WallClockMs(), now_);
    return;
  }
  SendResponse(from, Refusal(request, "this VM has no working replica"));
}

void ControlNode::Impl::StepHost() {
  ReopenIfDue();
  if (!host_) {
    return;
  }
  if (now_ >= host_->replica().next_tick()) {
    host_->Tick(now_);
  }
  host_->Run(now_);
  if (host_->needs_sync()) {
    host_->Sync(clock_.Now());
  }
  if (disk_failed_) {
    host_.reset();
    server_.Forget();
    reopen_at_ = now_ + kReopenInterval;
    return;
  }
  client_.Learn(host_->replica().leader(),
                host_->replica().membership().voters);
}

void ControlNode::Impl::ReopenIfDue() {
  if (!disk_failed_ || now_ < reopen_at_) {
    return;
  }
  disk_failed_ = false;
  const auto status = Open();
  if (!status.ok()) {
    Log(Event::kControlDiskFailed, "control files can't be opened again: {}",
        status.error().message);
    host_.reset();
    disk_failed_ = true;
  }
  reopen_at_ = now_ + kReopenInterval;
}

void ControlNode::Impl::RunClient() {
  client_.Tick(now_);
  for (auto actions = client_.TakeActions(); !actions.empty();
       actions = client_.TakeActions()) {
    for (auto& it : actions) {
      if (auto* send = std::get_if<SendProposal>(&it)) {
        SendRequest(send->to, send->request);
      } else {
        Finish(std::get<FinishProposal>(it));
      }
    }
  }
}

void ControlNode::Impl::SendRequest(const VmId& to,
                                    const ProposalRequest& request) {
  if (to == options_.self) {
    HandleRequest(to, request);
  } else if (!Send(to, PeerTopic::kOperators, EncodeProposalMessage(request))) {
    client_.Receive(to, Refusal(request, "the leader can't be reached"), now_);
  }
}

void ControlNode::Impl::Finish(const FinishProposal& action) {
  const auto found = done_.find(action.request);
  const auto done = std::move(found->second);
  done_.erase(found);
  done(action.result);
}

void ControlNode::Impl::SendResponse(const VmId& to,
                                     const ProposalResponse& response) {
  if (to == options_.self) {
    client_.Receive(to, response, now_);
  } else {
    Send(to, PeerTopic::kOperators, EncodeProposalMessage(response));
  }
}

bool ControlNode::Impl::Send(const VmId& to,
                             PeerTopic topic,
                             std::string payload) {
  return options_.send({options_.self, to, topic, std::move(payload)});
}

void ControlNode::Impl::OnLeadership(bool leader, Term term) {
  if (leader) {
    Log(Event::kControlLeads, "this VM leads the control log in term {}", term);
  } else {
    Log(Event::kControlSteppedDown,
        "this VM no longer leads the control log in term {}", term);
  }
  if (options_.on_leadership) {
    options_.on_leadership(leader, term);
  }
}

void ControlNode::Impl::OnDiskFailed(const Error& error) {
  Log(Event::kControlDiskFailed, "control log: {}", error.message);
  disk_failed_ = true;
}

ReplicaHooks ControlNode::Impl::Hooks() {
  ReplicaHooks hooks;
  hooks.send = [this](const ReplicaMessage& message) {
    Send(message.to, PeerTopic::kControl,
         EncodeReplicaPayload(message.payload));
  };
  hooks.applied = [this](const LogEntry& entry, const Applied& applied) {
    server_.OnApplied(entry, applied);
  };
  hooks.state = [this](FleetStatePtr state, const ChangeSet& changes) {
    if (options_.on_state) {
      options_.on_state(std::move(state), changes);
    }
  };
  hooks.leadership = [this](bool leader, Term term) {
    OnLeadership(leader, term);
  };
  hooks.disk_failed = [this](const Error& error) { OnDiskFailed(error); };
  return hooks;
}

void ControlNode::Impl::UpdateStatus() {
  ControlStatus status;
  status.disk_failed = disk_failed_;
  if (host_) {
    const auto& replica = host_->replica();
    status.leader = replica.leader();
    status.term = replica.term();
    status.has_lease = replica.HasLease(clock_.Now());
    status.commit_index = replica.commit_index();
    status.replicas = replica.Matches();
  }
  const std::lock_guard lock(status_mutex_);
  status_ = std::move(status);
}

void ControlNode::Impl::Shutdown() {
  if (host_) {
    host_->TransferLeadership(now_);
    host_->Run(now_);
    host_->Sync(now_);
  }
  client_.Stop();
  RunClient();
  // Proposals that came too late for the loop.
  for (auto& it : ring_.Drain(Duration::zero())) {
    if (const auto* local = std::get_if<LocalProposal>(&it)) {
      ProposalResult result;
      result.outcome = ProposalOutcome::kNotAccepted;
      result.message = "this VM stops";
      local->done(result);
    }
  }
}

void ControlNode::Impl::Propose(Proposal proposal,
                                Instant deadline,
                                const ProposalDone& done) {
  if (!ring_.TryPush(LocalProposal{std::move(proposal), deadline, done})) {
    ProposalResult result;
    result.outcome = ProposalOutcome::kNotAccepted;
    result.message = "this VM has too much to do, or stops";
    done(result);
  }
}

ControlStatus ControlNode::Impl::GetStatus() const {
  const std::lock_guard lock(status_mutex_);
  return status_;
}

void ControlNode::Impl::Stop() {
  stopping_ = true;
  ring_.Close();
  thread_.reset();
}

Result<std::unique_ptr<ControlNode>> ControlNode::Start(
    ControlOptions options) {
  if (options.self.empty() || !options.send ||
      (options.replica && options.data_dir.empty()) ||
      options.heartbeat <= Duration::zero() ||
      options.election_timeout < 3 * options.heartbeat) {
    return Error{ControlError::kBadOptions,
                 "control needs its VM's id, a way to send, a data folder on "
                 "replicas, and an election timeout of some heartbeats"};
  }
  auto impl = std::make_unique<Impl>(std::move(options));
  auto status = impl->Open();
  if (status.ok()) {
    status = impl->StartThread();
  }
  if (!status.ok()) {
    return status.error();
  }
  return std::unique_ptr<ControlNode>(new ControlNode(std::move(impl)));
}

ControlNode::ControlNode(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

ControlNode::~ControlNode() {
  Stop();
}

void ControlNode::Receive(PeerMessage message) {
  impl_->Receive(std::move(message));
}

void ControlNode::Propose(Proposal proposal,
                          Instant deadline,
                          const ProposalDone& done) {
  impl_->Propose(std::move(proposal), deadline, done);
}

ControlStatus ControlNode::Status() const {
  return impl_->GetStatus();
}

void ControlNode::Stop() {
  impl_->Stop();
}

}  // namespace baobabrun
