// At-most-once records: which calls that may not be repeated have started, and
// their outcomes. Part of the replicated state; time is that of the log's
// entries.
#ifndef CONTROL_ONCE_TABLE_H_
#define CONTROL_ONCE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "base/ids.h"
#include "base/time.h"
#include "control/proposal.h"

namespace baobabrun {

struct OnceLimits {
  // Records are kept this long and never dropped before: a call whose record is
  // gone could run again.
  std::chrono::milliseconds retention = std::chrono::hours(24);
  // For each organisation. At the limit its new calls are refused.
  std::size_t max_records = 10'000;
  // For each organisation. The oldest stored answers give way; their records
  // stay.
  std::size_t max_body_bytes = std::size_t{4} << 20;
};

class OnceTable {
 public:
  struct Record {
    OnceBegin begin;
    std::int64_t time_ms = 0;  // when it began
    std::optional<OnceEnd> end;
  };

  explicit OnceTable(OnceLimits limits) : limits_(limits) {}

  ProposalResult Begin(const OnceBegin& begin, std::int64_t time_ms);
  ProposalResult End(const OnceEnd& end);

  // Records from the oldest on, for snapshots.
  std::vector<Record> Records() const;
  // Adds a record of a snapshot; called from the oldest on.
  void Restore(Record record);

 private:
  using Key = std::pair<OrganisationId, std::string>;
  struct Usage {
    std::size_t records = 0;
    std::size_t body_bytes = 0;
    // Keys with a stored body, by the time of their end.
    std::deque<std::string> with_body;
  };

  void Expire(std::int64_t time_ms);
  void DropBody(Record& record);
  void StoreBody(const Key& key, Record& record);

  OnceLimits limits_;
  std::map<Key, Record> records_;
  std::deque<Key> by_age_;  // the keys of records_, oldest first
  std::map<OrganisationId, Usage> usage_;
};

}  // namespace baobabrun

#endif  // CONTROL_ONCE_TABLE_H_
