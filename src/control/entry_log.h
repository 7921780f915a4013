// The log entries that a replica holds in memory. They start after a base
// index; a snapshot covers the entries up to the base.
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
  // `entries` must follow `base` without a gap.
  EntryLog(SnapshotMeta base, std::vector<LogEntry> entries);

  LogIndex base_index() const { return base_.index; }
  LogIndex last_index() const { return base_.index + entries_.size(); }
  Term last_term() const;

  // Returns nullopt if the entry is before the base or past the end. Index 0
  // has term 0.
  std::optional<Term> TermAt(LogIndex index) const;
  // `index` must lie after the base and not past the end.
  const LogEntry& At(LogIndex index) const;
  // Returns the entries from `from` on whose payloads fit in `max_bytes`, but
  // at least one if there is any.
  std::vector<LogEntry> Slice(LogIndex from, std::size_t max_bytes) const;

  // Returns the lowest index after which the entries up to `last` fit in
  // `max_bytes`; at least that of the base.
  LogIndex IndexBefore(LogIndex last, std::size_t max_bytes) const;

  // The entry's index must be last_index() + 1.
  void Append(LogEntry entry);
  // Drops `from` and all later entries.
  void TruncateFrom(LogIndex from);
  // Drops the entries up to and including `index`.
  void Compact(LogIndex index);
  // Drops all entries; the log continues after `base`.
  void Reset(SnapshotMeta base);

  // Returns the newest membership in the log, whether committed or not.
  const Membership& membership() const { return memberships_.back().second; }
  LogIndex membership_index() const { return memberships_.back().first; }
  const Membership& MembershipAt(LogIndex index) const;

 private:
  SnapshotMeta base_;
  // entries_[i] has index base_.index + 1 + i.
  std::deque<LogEntry> entries_;
  // Memberships with the index of their entry, in log order. The first is the
  // membership at the base, so the list is never empty.
  std::vector<std::pair<LogIndex, Membership>> memberships_;
};

}  // namespace baobabrun

#endif  // CONTROL_ENTRY_LOG_H_
