// Log entries in memory, and memberships.
#include "control/entry_log.h"

#include <algorithm>
#include <utility>

namespace baobabrun {

bool Membership::IsVoter(const VmId& vm) const {
  return std::find(voters.begin(), voters.end(), vm) != voters.end();
}

std::vector<VmId> Membership::Replicas() const {
  auto replicas = voters;
  if (!learner.empty()) {
    replicas.push_back(learner);
  }
  return replicas;
}

EntryLog::EntryLog(SnapshotMeta base, std::vector<LogEntry> entries) {
  Reset(std::move(base));
  for (auto& it : entries) {
    Append(std::move(it));
  }
}

Term EntryLog::last_term() const {
  return entries_.empty() ? base_.term : entries_.back().term;
}

std::optional<Term> EntryLog::TermAt(LogIndex index) const {
  if (index == base_.index) {
    return base_.term;
  }
  if (index == 0) {
    return 0;
  }
  if (index < base_.index || index > last_index()) {
    return std::nullopt;
  }
  return At(index).term;
}

const LogEntry& EntryLog::At(LogIndex index) const {
  return entries_.at(index - base_.index - 1);
}

std::vector<LogEntry> EntryLog::Slice(LogIndex from,
                                      std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex i = from; i <= last_index(); ++i) {
    bytes += At(i).payload.size();
    if (!slice.empty() && bytes > max_bytes) {
      break;
    }
    slice.push_back(At(i));
  }
  return slice;
}

LogIndex EntryLog::IndexBefore(LogIndex last, std::size_t max_bytes) const {
  std::size_t bytes = 0;
  auto index = std::min(last, last_index());
  for (; index > base_.index; --index) {
    bytes += At(index).payload.size();
    if (bytes > max_bytes) {
      break;
    }
  }
  return index;
}

void EntryLog::Append(LogEntry entry) {
  if (entry.membership) {
    memberships_.emplace_back(entry.index, *entry.membership);
  }
  entries_.push_back(std::move(entry));
}

void EntryLog::TruncateFrom(LogIndex from) {
  while (last_index() >= from && !entries_.empty()) {
    entries_.pop_back();
  }
  while (memberships_.size() > 1 && memberships_.back().first >= from) {
    memberships_.pop_back();
  }
}

void EntryLog::Compact(LogIndex index) {
  if (index <= base_.index || index > last_index()) {
    return;
  }
  base_.term = At(index).term;
  base_.membership = MembershipAt(index);
  entries_.erase(
      entries_.begin(),
      entries_.begin() + static_cast<std::ptrdiff_t>(index - base_.index));
  base_.index = index;
  while (memberships_.size() > 1 && memberships_[1].first <= index) {
    memberships_.erase(memberships_.begin());
  }
}

void EntryLog::Reset(SnapshotMeta base) {
  base_ = std::move(base);
  entries_.clear();
  memberships_.clear();
  memberships_.emplace_back(base_.index, base_.membership);
}

const Membership& EntryLog::MembershipAt(LogIndex index) const {
  const Membership* found = &memberships_.front().second;
  for (const auto& it : memberships_) {
    if (it.first <= index) {
      found = &it.second;
    }
  }
  return *found;
}

}  // namespace baobabrun
