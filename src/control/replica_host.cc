// Executes a replica's actions.
#include "control/replica_host.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace baobabrun {
namespace {

// Returns the state machine as of the stored snapshot.
Result<FleetStateMachine> RestoreMachine(const StoredSnapshot& snapshot,
                                         const StateMachineLimits& limits) {
  if (snapshot.meta.index == 0) {
    return FleetStateMachine(limits);
  }
  return FleetStateMachine::FromSnapshot(snapshot.data, limits);
}

}  // namespace

Result<std::unique_ptr<ReplicaHost>> ReplicaHost::Open(
    ReplicaHostOptions options,
    Disk& disk,
    ReplicaHooks hooks,
    std::mt19937_64 random,
    Instant now) {
  Membership initial;
  initial.voters = options.initial_replicas;
  auto store = LogStore::Open(disk, initial);
  if (!store.ok()) {
    return store.error();
  }
  auto machine = RestoreMachine(store.value()->snapshot(), options.limits);
  if (!machine.ok()) {
    return machine.error();
  }
  std::unique_ptr<ReplicaHost> host(new ReplicaHost(
      std::move(options), std::move(store.value()), std::move(machine.value()),
      std::move(hooks), random, now));
  host->Replay();
  return host;
}

ReplicaHost::ReplicaHost(ReplicaHostOptions options,
                         std::unique_ptr<LogStore> store,
                         FleetStateMachine machine,
                         ReplicaHooks hooks,
                         std::mt19937_64 random,
                         Instant now)
    : options_(std::move(options)),
      store_(std::move(store)),
      machine_(std::move(machine)),
      hooks_(std::move(hooks)),
      replica_(options_.replica, store_->TakeStoredState(), random, now),
      publish_at_(now + options_.confirmation_timeout),
      last_change_(store_->snapshot().meta.index) {}

// Applies the entries that the files record as committed. Only the last state
// is published, as the ones before it are older than the state that was
// published before the restart.
void ReplicaHost::Replay() {
  replaying_ = true;
  ExecuteActions();
  replaying_ = false;
  unpublished_ = machine_.version().value() > 0;
  versions_skipped_ = unpublished_;
}

void ReplicaHost::Receive(const ReplicaMessage& message, Instant now) {
  replica_.Receive(message, now);
}

void ReplicaHost::Tick(Instant now) {
  replica_.Tick(now);
}

ReplicaHost::ProposeResult ReplicaHost::Propose(const Proposal& proposal,
                                                std::int64_t time_ms,
                                                Instant now) {
  ProposalResult refused;
  refused.outcome = ProposalOutcome::kNotAccepted;
  refused.message = "this VM is not the leader";
  if (!replica_.IsLeader()) {
    return refused;
  }
  if (const auto* replace = std::get_if<ReplaceReplica>(&proposal)) {
    return ProposeReplacement(*replace, now);
  }
  const auto index = replica_.Propose(EncodeProposalEntry(proposal, time_ms));
  return LogPosition{replica_.term(), *index};
}

ReplicaHost::ProposeResult ReplicaHost::ProposeReplacement(
    const ReplaceReplica& proposal,
    Instant now) {
  if (auto stored = machine_.FindOperation(proposal.operation_id)) {
    return *stored;
  }
  const auto index = replica_.ProposeReplacement(proposal.remove, proposal.add,
                                                 proposal.operation_id);
  if (index.ok()) {
    return LogPosition{replica_.term(), index.value()};
  }
  // If an earlier attempt may not be applied yet, or another replacement is in
  // progress, a later attempt may succeed, so the outcome is kNotAccepted.
  const auto& log = replica_.log();
  // Without a lease another leader may have committed newer entries, so the
  // outcome isn't final.
  const bool settled =
      replica_.HasLease(now) &&
      log.TermAt(replica_.applied_index()) == replica_.term() &&
      log.membership_index() <= replica_.applied_index() &&
      log.membership().leaving.empty();
  ProposalResult refused;
  refused.outcome =
      settled ? ProposalOutcome::kInvalid : ProposalOutcome::kNotAccepted;
  refused.version = machine_.version();
  refused.message = index.error().message;
  return refused;
}

void ReplicaHost::TransferLeadership(Instant now) {
  replica_.TransferLeadership(now);
}

void ReplicaHost::Run(Instant now) {
  replica_.Flush(now);
  ExecuteActions();
  may_publish_ |= replica_.confirmed() || now >= publish_at_;
  if (!unrecorded_) {
    replica_.Recorded(replica_.applied_index(), false);
  }
  if (!replica_.failed()) {
    const auto status = MaybeTakeSnapshot();
    if (!status.ok()) {
      Fail(status.error());
    }
  }
}

void ReplicaHost::Sync(Instant now) {
  if (!needs_sync() || replica_.failed()) {
    return;
  }
  // The log file records the entries applied so far as committed, and this sync
  // makes that durable. Their state is published after it.
  const auto status = store_->Sync();
  if (!status.ok()) {
    Fail(status.error());
    return;
  }
  replica_.Recorded(replica_.applied_index(),
                    std::exchange(unrecorded_, false));
  MaybePublish();
  reported_ = written_;
  replica_.Synced(reported_, now);
  Run(now);
}

void ReplicaHost::ExecuteActions() {
  for (auto actions = replica_.TakeActions(); !actions.empty();
       actions = replica_.TakeActions()) {
    for (auto& action : actions) {
      const auto status =
          std::visit([this](auto& it) { return ExecuteAction(it); }, action);
      if (!status.ok()) {
        Fail(status.error());
        break;
      }
    }
  }
}

void ReplicaHost::Fail(const Error& error) {
  replica_.DiskFailed();
  hooks_.disk_failed(error);
  ExecuteActions();
}

Status ReplicaHost::ExecuteAction(SendMessage& action) {
  hooks_.send(std::move(action.message));
  return Ok();
}

Status ReplicaHost::ExecuteAction(const SaveHardState& action) {
  return store_->SaveHardState(action.hard_state);
}

Status ReplicaHost::ExecuteAction(const AppendToDisk& action) {
  written_ = action.sequence;
  return store_->Append(action.entries);
}

Status ReplicaHost::ExecuteAction(const SendSnapshot& action) {
  const auto& snapshot = store_->snapshot();
  hooks_.send({options_.replica.self, action.to,
               SnapshotRequest{action.term, snapshot.meta, snapshot.data,
                               action.sent}});
  return Ok();
}

Status ReplicaHost::ExecuteAction(InstallSnapshot& action) {
  auto machine = FleetStateMachine::FromSnapshot(action.data, options_.limits);
  if (!machine.ok()) {
    return machine.error();
  }
  auto rest = action.keep_entries ? EntriesAfter(action.meta.index)
                                  : std::vector<LogEntry>();
  const LogIndex index = action.meta.index;
  auto status = store_->SaveSnapshot(
      {std::move(action.meta), std::move(action.data)}, rest);
  if (!status.ok()) {
    return status;
  }
  machine_ = std::move(machine.value());
  replica_.Compacted(index);
  last_change_ = index;
  replica_.StateChanged(last_change_);
  unrecorded_ = true;
  unpublished_ = true;
  versions_skipped_ = true;
  return store_->AppendCommit(index);
}

Status ReplicaHost::ExecuteAction(const ApplyEntry& action) {
  auto applied = machine_.Apply(action.entry);
  if (!applied.ok()) {
    return applied.error();
  }
  if (!applied.value().changes.empty()) {
    last_change_ = action.entry.index;
    replica_.StateChanged(last_change_);
  }
  hooks_.applied(action.entry, applied.value());
  if (replaying_ || applied.value().changes.empty()) {
    return Ok();
  }
  unrecorded_ = true;
  unpublished_ = true;
  auto& changes = applied.value().changes;
  std::move(changes.begin(), changes.end(), std::back_inserter(changes_));
  return store_->AppendCommit(action.entry.index);
}

void ReplicaHost::MaybePublish() {
  if (!may_publish_ || !std::exchange(unpublished_, false)) {
    return;
  }
  const auto changes = std::exchange(changes_, {});
  const bool skipped = std::exchange(versions_skipped_, false);
  hooks_.state(machine_.state(), skipped ? ChangeSet() : changes);
}

Status ReplicaHost::ExecuteAction(const BecameLeader& action) {
  hooks_.leadership(true, action.term);
  return Ok();
}

Status ReplicaHost::ExecuteAction(const SteppedDown& action) {
  hooks_.leadership(false, action.term);
  return Ok();
}

// Must be called after all actions were executed, so that the log in memory and
// the log file hold the same entries.
Status ReplicaHost::MaybeTakeSnapshot() {
  const LogIndex applied = replica_.applied_index();
  const LogIndex covered = store_->snapshot().meta.index;
  const bool due = applied - covered >= options_.snapshot_entries ||
                   store_->log_bytes() >=
                       options_.snapshot_bytes + store_->snapshot().data.size();
  if (!due || applied == covered) {
    return Ok();
  }
  const auto& log = replica_.log();
  const SnapshotMeta meta{applied, log.TermAt(applied).value_or(0),
                          log.MembershipAt(applied)};
  auto status = store_->SaveSnapshot({meta, machine_.EncodeSnapshot()},
                                     EntriesAfter(applied));
  if (status.ok()) {
    replica_.Compacted(applied);
  }
  return status;
}

std::vector<LogEntry> ReplicaHost::EntriesAfter(LogIndex index) const {
  return replica_.log().Slice(index + 1, SIZE_MAX);
}

}  // namespace baobabrun
