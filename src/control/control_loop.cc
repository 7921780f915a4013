// Runs a VM's replica and forwards the VM's proposals to the leader.
#include "control/control_loop.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/hash.h"
#include "base/log.h"
#include "control/control_error.h"
#include "control/log_codec.h"

namespace baobabrun {
namespace {

constexpr std::size_t kRingCapacity = 8192;
constexpr Duration kMaxWait = milliseconds(500);
constexpr Duration kReopenInterval = seconds(1);
// How many election timeouts a replica waits at its start for a majority to
// confirm its stored state.
constexpr int kConfirmationTimeouts = 2;
// A replica without a leader is logged after this many election timeouts, and
// then at this interval.
constexpr int kLeaderWarningTimeouts = 3;
constexpr Duration kLeaderWarningInterval = seconds(1);

// Unix time in milliseconds. Used only for the retention of at-most-once
// records.
std::int64_t WallClockMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

// Sets a random operation id if there is none: without an id, a retry could be
// committed a second time.
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

ControlLoop::ControlLoop(ControlOptions options)
    : options_(std::move(options)),
      ring_(kRingCapacity),
      client_(options_.replicas, options_.election_timeout / 2),
      server_([this](const VmId& to, const ProposalResponse& response) {
        SendResponse(to, response);
      }),
      last_request_(RandomNumber()) {}

Status ControlLoop::Open() {
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
  options.confirmation_timeout =
      kConfirmationTimeouts * options_.election_timeout;
  const auto& initial = options_.replicas;
  if (options_.may_bootstrap && std::find(initial.begin(), initial.end(),
                                          options_.self) != initial.end()) {
    options.initial_replicas = initial;
  }
  auto host = ReplicaHost::Open(std::move(options), *disk_, Hooks(),
                                std::mt19937_64(RandomNumber()), now_);
  if (!host.ok()) {
    return Error{host.error().code,
                 options_.data_dir.string() + ": " + host.error().message};
  }
  host_ = std::move(host.value());
  led_at_ = now_;
  LogOpened();
  host_->Sync(now_);
  return Ok();
}

Status ControlLoop::StartThread() {
  UpdateStatus();
  auto thread = DutyThread::Start("control", [this] { Loop(); });
  if (!thread.ok()) {
    return thread.error();
  }
  thread_ = std::move(thread.value());
  return Ok();
}

void ControlLoop::Loop() {
  while (!stopping_) {
    auto events = ring_.Drain(WaitTime());
    now_ = clock_.Now();
    for (auto& it : events) {
      std::visit([this](auto& event) { Handle(event); }, it);
    }
    RunClient();
    RunReplica();
    RunClient();
    UpdateStatus();
  }
  Shutdown();
}

Duration ControlLoop::WaitTime() const {
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
  // The minimum wait keeps the loop from spinning while a tick is due that has
  // nothing to do.
  constexpr Duration kMinWait = std::chrono::microseconds(100);
  return std::max<Duration>(next - clock_.Now(), kMinWait);
}

void ControlLoop::Handle(PeerMessage& message) {
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

void ControlLoop::Handle(LocalProposal& proposal) {
  EnsureOperationId(proposal.proposal);
  done_[++last_request_] = std::move(proposal.done);
  client_.Start(last_request_, std::move(proposal.proposal), proposal.deadline,
                now_);
}

void ControlLoop::HandleProposalMessage(const VmId& from,
                                        const ProposalMessage& message) {
  if (const auto* response = std::get_if<ProposalResponse>(&message)) {
    client_.Receive(from, *response, now_);
  } else {
    HandleRequest(from, std::get<ProposalRequest>(message));
  }
}

void ControlLoop::HandleRequest(const VmId& from,
                                const ProposalRequest& request) {
  if (host_) {
    server_.Receive(*host_, from, request, WallClockMs(), now_);
    return;
  }
  SendResponse(from, Refusal(request, "this VM has no working replica"));
}

void ControlLoop::RunReplica() {
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
    server_.DropPending();
    reopen_at_ = now_ + kReopenInterval;
    return;
  }
  server_.Release(host_->replica().RecordedByMajority());
  LogMissingLeader();
  client_.SetKnownReplicas(host_->replica().leader(),
                           host_->replica().membership().voters);
}

void ControlLoop::LogOpened() const {
  const auto& replica = host_->replica();
  Log(Event::kControlLogOpened,
      {{"term", replica.term()},
       {"last_index", replica.log().last_index()},
       {"last_term", replica.log().last_term()},
       {"commit", replica.commit_index()},
       {"version", host_->machine().version().value()},
       {"trusted", replica.trusted()}},
      "the control log ends with entry {} of term {}; entries up to {} are "
      "recorded as committed",
      replica.log().last_index(), replica.log().last_term(),
      replica.commit_index());
}

void ControlLoop::LogMissingLeader() {
  const auto& replica = host_->replica();
  if (!replica.leader().empty() || replica.membership().voters.empty()) {
    led_at_ = now_;
    return;
  }
  const auto missing = now_ - led_at_;
  if (missing < kLeaderWarningTimeouts * options_.election_timeout ||
      now_ < next_leader_warning_) {
    return;
  }
  next_leader_warning_ = now_ + kLeaderWarningInterval;
  std::string voters;
  for (const auto& it : replica.membership().voters) {
    voters += (voters.empty() ? "" : ", ") + it.value() +
              (replica.votes().contains(it) ? " (granted)" : "");
  }
  Log(Event::kControlWithoutLeader,
      {{"ms", InMs(missing)},
       {"role", NameOf(replica.role())},
       {"term", replica.term()},
       {"last_index", replica.log().last_index()},
       {"last_term", replica.log().last_term()},
       {"commit", replica.commit_index()},
       {"trusted", replica.trusted()}},
      "this replica has known no leader for {} ms; votes in its newest "
      "election: {}",
      InMs(missing), voters);
}

void ControlLoop::ReopenIfDue() {
  if (!disk_failed_ || now_ < reopen_at_) {
    return;
  }
  disk_failed_ = false;
  const auto status = Open();
  if (!status.ok()) {
    Log(Event::kControlDiskFailed, "cannot reopen the control log's files: {}",
        status.error().message);
    host_.reset();
    disk_failed_ = true;
  }
  reopen_at_ = now_ + kReopenInterval;
}

void ControlLoop::RunClient() {
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

void ControlLoop::SendRequest(const VmId& to, const ProposalRequest& request) {
  if (to == options_.self) {
    HandleRequest(to, request);
  } else if (!Send(to, PeerTopic::kOperators, EncodeProposalMessage(request))) {
    client_.Receive(to, Refusal(request, "the leader can't be reached"), now_);
  }
}

void ControlLoop::Finish(const FinishProposal& action) {
  const auto found = done_.find(action.request);
  const auto done = std::move(found->second);
  done_.erase(found);
  done(action.result);
}

void ControlLoop::SendResponse(const VmId& to,
                               const ProposalResponse& response) {
  if (to == options_.self) {
    client_.Receive(to, response, now_);
  } else {
    Send(to, PeerTopic::kOperators, EncodeProposalMessage(response));
  }
}

bool ControlLoop::Send(const VmId& to, PeerTopic topic, std::string payload) {
  return options_.send({options_.self, to, topic, std::move(payload)});
}

void ControlLoop::OnLeadership(bool leader, Term term) {
  if (leader) {
    Log(Event::kControlLeads, "this VM leads the control log in term {}", term);
  } else {
    Log(Event::kControlSteppedDown,
        "this VM no longer leads the control log in term {}", term);
    server_.DropUnreleased();
  }
  if (options_.on_leadership) {
    options_.on_leadership(leader, term);
  }
}

void ControlLoop::OnDiskFailed(const Error& error) {
  Log(Event::kControlDiskFailed, "the control log's disk failed: {}",
      error.message);
  disk_failed_ = true;
}

ReplicaHooks ControlLoop::Hooks() {
  ReplicaHooks hooks;
  hooks.send = [this](const ReplicaMessage& message) {
    Send(message.to, PeerTopic::kControl,
         EncodeReplicaPayload(message.payload));
  };
  hooks.applied = [this](const LogEntry& entry, const Applied& applied) {
    // While the files are opened there is no host yet, and nothing is pending.
    server_.OnApplied(entry, applied, host_ ? host_->last_change() : 0);
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

void ControlLoop::UpdateStatus() {
  ControlStatus status;
  status.disk_failed = disk_failed_;
  if (host_) {
    const auto& replica = host_->replica();
    status.leader = replica.leader();
    status.term = replica.term();
    status.lease_end = replica.LeaseEnd(clock_.Now());
    status.learner = replica.membership().learner;
    status.commit_index = replica.commit_index();
    status.replicas = replica.MatchIndexes();
  }
  const std::lock_guard lock(status_mutex_);
  status_ = std::move(status);
}

void ControlLoop::Shutdown() {
  if (host_) {
    host_->TransferLeadership(now_);
    host_->Run(now_);
    host_->Sync(now_);
  }
  client_.Stop();
  RunClient();
  // Rejects proposals that were queued after the loop's last iteration.
  for (auto& it : ring_.Drain(Duration::zero())) {
    if (const auto* local = std::get_if<LocalProposal>(&it)) {
      ProposalResult result;
      result.outcome = ProposalOutcome::kNotAccepted;
      result.message = "this VM stops";
      local->done(result);
    }
  }
}

void ControlLoop::Propose(Proposal proposal,
                          Instant deadline,
                          const ProposalDone& done) {
  if (!ring_.TryPush(LocalProposal{std::move(proposal), deadline, done})) {
    ProposalResult result;
    result.outcome = ProposalOutcome::kNotAccepted;
    result.message = "this VM has too much to do, or stops";
    done(result);
  }
}

ControlStatus ControlLoop::GetStatus() const {
  const std::lock_guard lock(status_mutex_);
  auto status = status_;
  // The loop may have been blocked since it wrote the status, for example while
  // the whole machine was frozen, and another VM may be the leader by now. So
  // the lease is compared with the present time.
  status.has_lease = clock_.Now() < status.lease_end;
  return status;
}

void ControlLoop::Stop() {
  stopping_ = true;
  ring_.Close();
  thread_.reset();
}

}  // namespace baobabrun
