// Quota decisions of control VMs and entries.
#include "gateway/quota.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

// Fraction of the bound that is used. A call granted in one window may be sent,
// and counted, in the next, and the sums of leader and entry differ by up to a
// slot.
constexpr double kUsedPart = 0.95;
// Fraction of the used bound that is reserved for entries without a pace.
constexpr double kReservedPart = 0.06;
// An entry that hasn't sent a message for this long counts as out of contact.
constexpr Duration kContactTimeout = milliseconds(900);
// Retry delay if no better one can be computed.
constexpr Duration kUnknownWait = seconds(1);

std::int64_t Part(double part, std::int64_t limit) {
  return static_cast<std::int64_t>(part * static_cast<double>(limit));
}

}  // namespace

std::int64_t WindowLimit(const ManifestOrganisation& organisation,
                         const QuotaBound& bound) {
  if (organisation.rate == 0) {
    return 0;
  }
  const std::chrono::duration<double> window = bound.window;
  const auto contract =
      static_cast<double>(organisation.rate) * window.count() +
      static_cast<double>(organisation.burst);
  return static_cast<std::int64_t>(
      kUsedPart *
      (contract * (1 + bound.overage) + static_cast<double>(bound.slack)));
}

void QuotaLedger::Start(const QuotaUses& stored, Instant now) {
  started_ = now;
  for (const auto& [entry, report] : stored) {
    stored_.insert(entry);
    for (const auto& it : report.taken) {
      auto& use = uses_[it.organisation]
                      .try_emplace(entry, bound_.window)
                      .first->second;
      AddUnasked(use, it.amount, now);
    }
  }
}

QuotaUses QuotaLedger::Uses(Instant now) const {
  QuotaUses out;
  for (const auto& it : entries_) {
    out[it];
  }
  for (const auto& [organisation, uses] : uses_) {
    for (const auto& [entry, use] : uses) {
      const auto amount = use.granted.Sum(now);
      if (amount > 0) {
        out[entry].taken.push_back({organisation, amount});
      }
    }
  }
  return out;
}

void QuotaLedger::RecordContact(const VmId& entry, Instant now) {
  last_contact_[entry] = now;
  for (auto& [organisation, uses] : uses_) {
    const auto it = uses.find(entry);
    if (it != uses.end()) {
      it->second.at_contact = it->second.granted.Sum(now);
    }
  }
}

bool QuotaLedger::MissesUsage(Instant now) const {
  return now < started_ + bound_.window &&
         std::any_of(entries_.begin(), entries_.end(), [this](const auto& it) {
           return !last_contact_.contains(it);
         });
}

void QuotaLedger::AddUnasked(EntryUse& use, std::int64_t taken, Instant now) {
  const auto unknown = taken - use.granted.Sum(now);
  if (unknown > 0) {
    use.granted.Add(unknown, now);
  }
}

std::int64_t QuotaLedger::UseOf(const VmId& entry,
                                const OrganisationId& organisation,
                                Instant now) const {
  const auto uses = uses_.find(organisation);
  if (uses == uses_.end()) {
    return 0;
  }
  const auto it = uses->second.find(entry);
  if (it == uses->second.end()) {
    return 0;
  }
  const auto granted = it->second.granted.Sum(now);
  const auto contact = last_contact_.find(entry);
  if (contact != last_contact_.end() &&
      now - contact->second < kContactTimeout) {
    // The entry may have lost contact right after its last message, and go on
    // at its pace since then.
    return std::max(granted, it->second.at_contact);
  }
  const bool capped =
      now < it->second.cap_sent + bound_.window + kContactTimeout;
  return std::max(
      {granted, it->second.at_contact, capped ? it->second.sent_cap : 0});
}

QuotaAnswer QuotaLedger::Answer(const VmId& entry,
                                const QuotaAsk& ask,
                                Instant now) {
  const auto* organisation =
      manifest_ == nullptr ? nullptr : manifest_->Find(ask.organisation);
  const auto limit =
      organisation == nullptr ? 0 : WindowLimit(*organisation, bound_);
  if (limit == 0) {
    return {ask.serial, true, Duration::zero(), false, 0};
  }
  auto& uses = uses_[ask.organisation];
  auto& own = uses.try_emplace(entry, bound_.window).first->second;
  AddUnasked(own, ask.taken, now);
  RecordContact(entry, now);
  std::int64_t used = 0;
  for (const auto& it : entries_) {
    used +=
        it == entry ? own.granted.Sum(now) : UseOf(it, ask.organisation, now);
  }
  if (MissesUsage(now)) {
    QuotaAnswer answer;
    answer.serial = ask.serial;
    answer.alone = true;
    return answer;
  }
  const auto room = limit - Part(kReservedPart, limit) - used;
  if (ask.cost <= room) {
    own.granted.Add(ask.cost, now);
    own.at_contact = own.granted.Sum(now);
    own.sent_cap =
        own.at_contact +
        (room - ask.cost) / static_cast<std::int64_t>(
                                std::max<std::size_t>(entries_.size(), 1));
    own.cap_sent = now;
    return {ask.serial, true, Duration::zero(), false, own.sent_cap};
  }
  // Quota becomes free as grants of all entries leave the window. The shortest
  // wait among the entries estimates how soon.
  Duration wait = kUnknownWait;
  for (const auto& [vm, it] : uses) {
    const auto left = it.granted.Sum(now);
    if (left > 0) {
      wait = std::min(
          wait,
          it.granted.Wait(std::max<std::int64_t>(left - ask.cost, 0), now));
    }
  }
  return {ask.serial, false, wait, false, 0};
}

void QuotaLedger::Receive(const VmId& entry,
                          const QuotaReport& report,
                          Instant now) {
  for (const auto& it : report.taken) {
    auto& use =
        uses_[it.organisation].try_emplace(entry, bound_.window).first->second;
    AddUnasked(use, it.amount, now);
  }
  RecordContact(entry, now);
}

void LocalQuota::SetSharers(std::size_t sharers) {
  sharers_ = std::max(sharers_, sharers);
}

LocalQuota::Use& LocalQuota::UseOf(const OrganisationId& organisation) {
  return uses_.try_emplace(organisation, bound_.window).first->second;
}

void LocalQuota::Granted(const OrganisationId& organisation,
                         std::int64_t cost,
                         std::int64_t cap,
                         Instant asked,
                         Instant now) {
  auto& use = UseOf(organisation);
  use.taken.Add(cost, now);
  use.pace = use.taken.Sum(now);
  use.cap = cap;
  use.capped = asked;
}

std::int64_t LocalQuota::CapOf(const OrganisationId& organisation,
                               Instant now) const {
  const auto* it =
      manifest_ == nullptr ? nullptr : manifest_->Find(organisation);
  if (it == nullptr) {
    return 0;
  }
  const auto limit = WindowLimit(*it, bound_);
  const auto floor =
      Part(kReservedPart, limit) / static_cast<std::int64_t>(sharers_);
  const auto use = uses_.find(organisation);
  std::int64_t pace = 0;
  if (use != uses_.end()) {
    const bool capped = now < use->second.capped + bound_.window;
    pace = std::max(use->second.pace, capped ? use->second.cap : 0);
  }
  // If the limit was lowered below the pace, the new limit applies at once.
  return std::max(floor, std::min(pace, limit));
}

bool LocalQuota::TakeLocally(const OrganisationId& organisation,
                             std::int64_t cost,
                             Instant now) {
  auto& use = UseOf(organisation);
  if (use.taken.Sum(now) + cost > CapOf(organisation, now)) {
    return false;
  }
  use.taken.Add(cost, now);
  return true;
}

Duration LocalQuota::Wait(const OrganisationId& organisation,
                          std::int64_t cost,
                          Instant now) const {
  const auto use = uses_.find(organisation);
  const auto room = CapOf(organisation, now) - cost;
  if (use == uses_.end() || room < 0) {
    return kUnknownWait;
  }
  return use->second.taken.Wait(room, now);
}

std::int64_t LocalQuota::Taken(const OrganisationId& organisation,
                               Instant now) const {
  const auto use = uses_.find(organisation);
  return use == uses_.end() ? 0 : use->second.taken.Sum(now);
}

QuotaReport LocalQuota::Report(Instant now) {
  QuotaReport report;
  for (auto& [organisation, use] : uses_) {
    const auto amount = use.taken.Sum(now);
    use.pace = amount;
    if (amount > 0) {
      report.taken.push_back({organisation, amount});
    }
  }
  return report;
}

}  // namespace baobabrun
