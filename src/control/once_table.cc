// Keeps the at-most-once records.
#include "control/once_table.h"

#include <algorithm>
#include <vector>

namespace baobabrun {
namespace {

ProposalResult ResultOf(ProposalOutcome outcome, std::string message = {}) {
  ProposalResult result;
  result.outcome = outcome;
  result.message = std::move(message);
  return result;
}

// Returns the result for a call whose key already has a record.
ProposalResult ResultForExistingKey(const OnceTable::Record& record,
                                    const OnceBegin& begin) {
  if (record.begin.fingerprint != begin.fingerprint) {
    return ResultOf(ProposalOutcome::kOnceMismatch);
  }
  if (!record.end) {
    const bool resend =
        record.begin.vm == begin.vm && record.begin.attempt == begin.attempt;
    return ResultOf(resend ? ProposalOutcome::kOnceStarted
                           : ProposalOutcome::kOnceRunning);
  }
  if (!record.end->known) {
    return ResultOf(ProposalOutcome::kOnceOutcomeUnknown);
  }
  auto result = ResultOf(ProposalOutcome::kOnceStored);
  result.once = record.end;
  return result;
}

}  // namespace

ProposalResult OnceTable::Begin(const OnceBegin& begin, std::int64_t time_ms) {
  Expire(time_ms);
  const Key key(begin.organisation, begin.idempotency_key);
  const auto found = records_.find(key);
  if (found != records_.end()) {
    return ResultForExistingKey(found->second, begin);
  }
  if (usage_[begin.organisation].records >= limits_.max_records) {
    return ResultOf(ProposalOutcome::kInvalid,
                    "too many idempotency keys in use");
  }
  Restore({begin, time_ms, std::nullopt});
  return ResultOf(ProposalOutcome::kOnceStarted);
}

ProposalResult OnceTable::End(const OnceEnd& end) {
  const Key key(end.organisation, end.idempotency_key);
  const auto found = records_.find(key);
  if (found == records_.end()) {
    return ResultOf(ProposalOutcome::kInvalid, "no such call began");
  }
  Record& record = found->second;
  // The first outcome is kept, but a known outcome replaces an unknown one.
  if (!record.end || (!record.end->known && end.known)) {
    record.end = end;
    StoreBody(key, record);
  }
  return ResultOf(ProposalOutcome::kCommitted);
}

std::vector<OnceTable::Record> OnceTable::Records() const {
  std::vector<Record> records;
  records.reserve(keys_by_age_.size());
  for (const auto& it : keys_by_age_) {
    records.push_back(records_.at(it));
  }
  return records;
}

void OnceTable::Restore(Record record) {
  Key key(record.begin.organisation, record.begin.idempotency_key);
  ++usage_[key.first].records;
  keys_by_age_.push_back(key);
  auto& stored = records_[key] = std::move(record);
  if (stored.end) {
    StoreBody(key, stored);
  }
}

void OnceTable::Expire(std::int64_t time_ms) {
  while (!keys_by_age_.empty()) {
    const auto oldest = records_.find(keys_by_age_.front());
    if (oldest->second.time_ms + limits_.retention.count() > time_ms) {
      return;
    }
    DropBody(oldest->second);
    auto& usage = usage_[oldest->first.first];
    std::erase(usage.keys_with_body, oldest->first.second);
    --usage.records;
    records_.erase(oldest);
    keys_by_age_.pop_front();
  }
}

void OnceTable::DropBody(Record& record) {
  if (record.end && record.end->body_stored) {
    auto& usage = usage_[record.begin.organisation];
    usage.body_bytes -= record.end->body.size();
    record.end->body.clear();
    record.end->body_stored = false;
  }
}

void OnceTable::StoreBody(const Key& key, Record& record) {
  if (!record.end->body_stored) {
    return;
  }
  auto& usage = usage_[key.first];
  usage.body_bytes += record.end->body.size();
  usage.keys_with_body.push_back(key.second);
  while (usage.body_bytes > limits_.max_body_bytes) {
    DropBody(records_.at({key.first, usage.keys_with_body.front()}));
    usage.keys_with_body.pop_front();
  }
}

}  // namespace baobabrun
