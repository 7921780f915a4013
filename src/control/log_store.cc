// Reads and writes the replica's files.
#include "control/log_store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "control/control_error.h"
#include "control/frame.h"

namespace baobabrun {
namespace {

constexpr char kVoteFile[] = "vote";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kLogFile[] = "log";

// Returns the contents of a file with one record and an end frame, which shows
// that the file is complete.
std::string SingleRecordFile(std::string_view payload) {
  std::string bytes;
  AppendFrame(payload, 0, &bytes);
  AppendFrame("", bytes.size(), &bytes);
  return bytes;
}

std::string CommitRecord(LogIndex index) {
  LogEntry record;
  record.index = index;
  return EncodeEntry(record);
}

Error Corrupt(std::string message) {
  return {ControlError::kCorrupt, std::move(message)};
}

// Returns the payload of a file with a single record; nullopt if the file
// doesn't exist.
Result<std::optional<std::string>> ReadSingleRecordFile(
    Disk& disk,
    const std::string& name) {
  auto bytes = disk.Read(name);
  if (!bytes.ok()) {
    return bytes.error();
  }
  if (!bytes.value()) {
    return std::optional<std::string>();
  }
  const auto frames = ReadFrames(*bytes.value(), name);
  if (!frames.ok()) {
    return frames.error();
  }
  if (frames.value().size() != 1) {
    return Corrupt(fmt::format("file {} is damaged at offset 0", name));
  }
  return std::optional(std::string(frames.value().front()));
}

// Adds an entry to those read so far. It replaces the entries from its index
// on.
Status AppendOrReplace(LogEntry entry, std::vector<LogEntry>* entries) {
  while (!entries->empty() && entries->back().index >= entry.index) {
    entries->pop_back();
  }
  if (!entries->empty() && entries->back().index + 1 != entry.index) {
    return Corrupt(
        fmt::format("file {} lacks entry {}", kLogFile, entry.index - 1));
  }
  entries->push_back(std::move(entry));
  return Ok();
}

// Drops the entries that the snapshot covers. If the entry at the snapshot's
// index has another term, drops all entries: a crash may have left entries that
// an installed snapshot replaced.
Status DropCoveredEntries(const SnapshotMeta& meta,
                          std::vector<LogEntry>* entries) {
  const auto covered = [&meta](const LogEntry& it) {
    return it.index <= meta.index;
  };
  for (const auto& it : *entries) {
    if (it.index == meta.index && it.term != meta.term) {
      entries->clear();
      return Ok();
    }
  }
  std::erase_if(*entries, covered);
  if (!entries->empty() && entries->front().index != meta.index + 1) {
    return Corrupt(
        fmt::format("file {} lacks entry {}", kLogFile, meta.index + 1));
  }
  return Ok();
}

}  // namespace

Result<std::unique_ptr<LogStore>> LogStore::Open(Disk& disk,
                                                 const Membership& initial) {
  std::unique_ptr<LogStore> store(new LogStore(disk));
  const auto status = store->Load(initial);
  if (!status.ok()) {
    return status.error();
  }
  return store;
}

Status LogStore::Load(const Membership& initial) {
  auto status = LoadHardState();
  if (status.ok()) {
    status = LoadSnapshot(initial);
  }
  if (status.ok()) {
    status = LoadLog();
  }
  return status;
}

Status LogStore::LoadHardState() {
  const auto bytes = ReadSingleRecordFile(disk_, kVoteFile);
  if (!bytes.ok()) {
    return bytes.error();
  }
  if (!bytes.value()) {
    return Ok();
  }
  hard_state_existed_ = true;
  auto state = DecodeHardState(*bytes.value());
  if (!state.ok()) {
    return state.error();
  }
  stored_state_.hard_state = std::move(state.value());
  return Ok();
}

Status LogStore::LoadSnapshot(const Membership& initial) {
  const auto bytes = ReadSingleRecordFile(disk_, kSnapshotFile);
  if (!bytes.ok()) {
    return bytes.error();
  }
  if (!bytes.value()) {
    snapshot_.meta.membership = initial;
    stored_state_.snapshot = snapshot_.meta;
    return Ok();
  }
  auto snapshot = DecodeSnapshot(*bytes.value());
  if (!snapshot.ok()) {
    return snapshot.error();
  }
  snapshot_ = std::move(snapshot.value());
  stored_state_.snapshot = snapshot_.meta;
  return Ok();
}

Status LogStore::LoadLog() {
  const auto bytes = disk_.Read(kLogFile);
  if (!bytes.ok()) {
    return bytes.error();
  }
  if (!bytes.value() && hard_state_existed_) {
    return Corrupt(fmt::format("file {} is missing", kLogFile));
  }
  auto status = bytes.value() ? ParseLog(*bytes.value()) : Ok();
  if (status.ok()) {
    status = DropCoveredEntries(snapshot_.meta, &stored_state_.entries);
  }
  if (!status.ok()) {
    return status;
  }
  const LogIndex last = stored_state_.entries.empty()
                            ? snapshot_.meta.index
                            : stored_state_.entries.back().index;
  if (commit_ > last) {
    return Corrupt(
        fmt::format("file {} lacks committed entry {}", kLogFile, last + 1));
  }
  stored_state_.commit = commit_;
  // Rewriting makes the log durable even after a failed sync: the file system
  // may not report again that bytes were lost.
  return RewriteLog(stored_state_.entries);
}

Status LogStore::ParseLog(std::string_view bytes) {
  const auto frames = ReadFrames(bytes, kLogFile);
  if (!frames.ok()) {
    return frames.error();
  }
  for (const auto& it : frames.value()) {
    auto entry = DecodeEntry(it);
    if (!entry.ok()) {
      return entry.error();
    }
    if (entry.value().term == 0) {
      commit_ = std::max(commit_, entry.value().index);
      continue;
    }
    auto status =
        AppendOrReplace(std::move(entry.value()), &stored_state_.entries);
    if (!status.ok()) {
      return status;
    }
  }
  return Ok();
}

StoredReplicaState LogStore::TakeStoredState() {
  return std::exchange(stored_state_, {});
}

Status LogStore::SaveHardState(const HardState& state) {
  return disk_.Replace(kVoteFile, SingleRecordFile(EncodeHardState(state)));
}

Status LogStore::SaveSnapshot(StoredSnapshot snapshot,
                              const std::vector<LogEntry>& rest) {
  auto status =
      disk_.Replace(kSnapshotFile, SingleRecordFile(EncodeSnapshot(snapshot)));
  if (!status.ok()) {
    return status;
  }
  snapshot_ = std::move(snapshot);
  commit_ = std::max(commit_, snapshot_.meta.index);
  return RewriteLog(rest);
}

Status LogStore::RewriteLog(const std::vector<LogEntry>& entries) {
  std::string bytes;
  for (const auto& it : entries) {
    AppendFrame(EncodeEntry(it), 0, &bytes);
  }
  AppendFrame(CommitRecord(commit_), 0, &bytes);
  AppendFrame("", bytes.size(), &bytes);
  log_bytes_ = bytes.size();
  synced_bytes_ = bytes.size();
  return disk_.Replace(kLogFile, bytes);
}

Status LogStore::Append(const std::vector<LogEntry>& entries) {
  std::string bytes;
  for (const auto& it : entries) {
    AppendFrame(EncodeEntry(it), synced_bytes_, &bytes);
  }
  log_bytes_ += bytes.size();
  return disk_.Append(kLogFile, bytes);
}

Status LogStore::AppendCommit(LogIndex index) {
  commit_ = std::max(commit_, index);
  std::string bytes;
  AppendFrame(CommitRecord(commit_), synced_bytes_, &bytes);
  log_bytes_ += bytes.size();
  return disk_.Append(kLogFile, bytes);
}

Status LogStore::Sync() {
  auto status = disk_.Sync(kLogFile);
  if (status.ok()) {
    synced_bytes_ = log_bytes_;
  }
  return status;
}

}  // namespace baobabrun
