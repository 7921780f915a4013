// The entries that a replica holds in memory: those after a base, which a
// snapshot covers.
#ifndef CONTROL_ENTRY_LOG_H_
#define CONTROL_ENTRY_LOG_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "control/log_entry.h"

namespace baobabrun {

class EntryLog {
 public:
  // `entries` follow `base` without a gap.
  EntryLog(SnapshotMeta base, std::vector<LogEntry> entries);

  LogIndex base_index() const { return base_.index; }
  LogIndex last_index() const { return base_.index + entries_.size(); }
  Term last_term() const;

  // Nothing if the entry is below the base or past the end. Index 0 has term 0.
  std::optional<Term> TermAt(LogIndex index) const;
  // `index` must lie after the base and not past the end.
  const LogEntry& At(LogIndex index) const;
  // Entries from `from` on, at least one if there is any, then as many as fit
  // in `max_bytes`.
  std::vector<LogEntry> Slice(LogIndex from, std::size_t max_bytes) const;

  // The entry's index must be last_index() + 1.
  void Append(LogEntry entry);
  // Drops `from` and all later entries.
  void TruncateFrom(LogIndex from);
  // Drops the entries up to and with `index`.
  void Compact(LogIndex index);
  // Drops everything; `base` is the new start.
  void Reset(SnapshotMeta base);

  // The newest membership in the log, committed or not.
  const Membership& membership() const { return memberships_.back().second; }
  LogIndex membership_index() const { return memberships_.back().first; }
  const Membership& MembershipAt(LogIndex index) const;

 private:
  SnapshotMeta base_;
  // entries_[i] has index base_.index + 1 + i.
  std::deque<LogEntry> entries_;
  // Memberships with the index of their entry, in log order; the first is the
  // one in force at the base. Never empty.
  std::vector<std::pair<LogIndex, Membership>> memberships_;
};

}  // namespace baobabrun

#endif  // CONTROL_ENTRY_LOG_H_
