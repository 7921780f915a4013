// At-most-once records: the calls that must not be repeated and have started,
// and their outcomes. The table is part of the replicated state; times are
// those of the log entries.
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
  // Records are kept for this time and never dropped earlier, because a call
  // without a record could run a second time.
  std::chrono::milliseconds retention = std::chrono::hours(24);
  // Limit for each organisation. At the limit, new calls are refused.
  std::size_t max_records = 10'000;
  // Limit for each organisation. Above the limit the oldest stored bodies are
  // dropped; their records are kept.
  std::size_t max_body_bytes = std::size_t{4} << 20;
};

class OnceTable {
 public:
  struct Record {
    OnceBegin begin;
    std::int64_t time_ms = 0;    // start of the call, as Unix time
    std::optional<OnceEnd> end;  // nullopt while the call is running
  };

  explicit OnceTable(OnceLimits limits) : limits_(limits) {}

  ProposalResult Begin(const OnceBegin& begin, std::int64_t time_ms);
  ProposalResult End(const OnceEnd& end);

  // Returns the records, oldest first, for a snapshot.
  std::vector<Record> Records() const;
  // Adds a record from a snapshot. Must be called with the oldest record first.
  void Restore(Record record);

 private:
  using Key = std::pair<OrganisationId, std::string>;
  struct Usage {
    std::size_t records = 0;
    std::size_t body_bytes = 0;
    // Keys with a stored body, in the order in which their calls ended.
    std::deque<std::string> keys_with_body;
  };

  void Expire(std::int64_t time_ms);
  void DropBody(Record& record);
  void StoreBody(const Key& key, Record& record);

  OnceLimits limits_;
  std::map<Key, Record> records_;
  std::deque<Key> keys_by_age_;  // the keys of records_, oldest first
  std::map<OrganisationId, Usage> usage_;
};

}  // namespace baobabrun

#endif  // CONTROL_ONCE_TABLE_H_
