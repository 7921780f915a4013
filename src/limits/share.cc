// Keeps track of the base share, of lent and of borrowed portions.
#include "limits/share.h"

#include <algorithm>

namespace baobabrun {
namespace {

using Wide = __int128;

constexpr std::int64_t kMillion = 1'000'000;

// `amount` * `part` / `whole`, rounded down.
Micro Scale(Micro amount, Micro part, Micro whole) {
  return static_cast<Micro>(Wide{amount} * part / whole);
}

}  // namespace

Share::Share(Portion base, bool refills, std::int64_t drift_ppm, Instant now)
    : base_(base),
      refills_(refills),
      drift_ppm_(drift_ppm),
      bucket_(0, base.burst, now) {
  UpdateRate();
  if (!refills_) {
    bucket_.Fill();
  }
}

void Share::Advance(Instant now) {
  // Ends each loan at its own expiry time, so that refill before that time
  // counts at the rate that was in force.
  while (const auto next = NextExpiry()) {
    if (*next > now) {
      break;
    }
    bucket_.Advance(*next);
    for (auto it = borrowed_.begin(); it != borrowed_.end();) {
      const auto id = it->first;
      const bool ended = it->second.until <= *next;
      ++it;
      if (ended) {
        GiveBack(id, 0);
      }
    }
    for (auto it = lent_.begin(); it != lent_.end();) {
      if (it->second.until > *next) {
        ++it;
        continue;
      }
      const auto& portion = it->second.portion;
      bucket_.Reclaim(portion.burst, refills_ ? 0 : portion.burst);
      lent_rate_ -= portion.rate;
      it = lent_.erase(it);
    }
    UpdateRate();
  }
  bucket_.Advance(now);
}

void Share::SetBase(Portion base,
                    Portion old_total,
                    Portion new_total,
                    Instant now) {
  Advance(now);
  Micro borrowed_burst = 0;
  borrowed_rate_ = 0;
  for (auto& [id, lease] : borrowed_) {
    auto& portion = lease.portion;
    if (new_total.rate < old_total.rate) {
      portion.rate = Scale(portion.rate, new_total.rate, old_total.rate);
    }
    if (new_total.burst < old_total.burst) {
      portion.burst = Scale(portion.burst, new_total.burst, old_total.burst);
      portion.level = std::min(portion.level, portion.burst);
    }
    borrowed_rate_ += portion.rate;
    borrowed_burst += portion.burst;
  }
  const Micro growth = base.burst - base_.burst;
  base_ = base;
  bucket_.SetBurst(base_.burst + borrowed_burst);
  if (!refills_ && growth > 0) {
    bucket_.Fill();
  }
  UpdateRate();
}

Portion Share::Lend(LeaseId id,
                    const VmId& to,
                    Portion portion,
                    Instant until) {
  portion.rate = std::min(portion.rate, OwnRate());
  portion.burst = std::min(portion.burst, OwnBurst());
  portion.level = std::min({portion.level, portion.burst, bucket_.level()});
  if (portion.empty()) {
    return {};
  }
  bucket_.Lend(portion.burst, portion.level);
  lent_[id] = {to, portion, until};
  lent_rate_ += portion.rate;
  UpdateRate();
  return portion;
}

bool Share::Renew(LeaseId id, const VmId& borrower, Instant until) {
  const auto it = lent_.find(id);
  if (it == lent_.end() || it->second.borrower != borrower) {
    return false;
  }
  it->second.until = std::max(it->second.until, until);
  return true;
}

void Share::TakeBack(LeaseId id, const VmId& borrower, Micro level) {
  const auto it = lent_.find(id);
  if (it == lent_.end() || it->second.borrower != borrower) {
    return;
  }
  const auto portion = it->second.portion;
  lent_.erase(it);
  level = std::clamp<Micro>(level, 0, portion.burst);
  bucket_.Reclaim(portion.burst, refills_ ? level : portion.burst);
  lent_rate_ -= portion.rate;
  UpdateRate();
}

void Share::Borrow(LeaseId id,
                   const VmId& lender,
                   Portion portion,
                   Instant since,
                   Instant until) {
  BorrowedLease lease;
  lease.lender = lender;
  lease.portion = portion;
  lease.since = since;
  lease.until = until;
  borrowed_[id] = lease;
  bucket_.Borrow(portion.burst, portion.level);
  borrowed_rate_ += portion.rate;
  UpdateRate();
}

std::optional<Portion> Share::GiveBack(LeaseId id, Micro level) {
  const auto it = borrowed_.find(id);
  if (it == borrowed_.end()) {
    return std::nullopt;
  }
  Portion portion = it->second.portion;
  borrowed_.erase(it);
  const Micro remaining =
      std::max<Micro>(bucket_.Capacity() - portion.burst, 0);
  const Micro excess = std::max<Micro>(bucket_.level() - remaining, 0);
  portion.level =
      std::min({std::max(level, excess), portion.burst, bucket_.level()});
  bucket_.GiveBack(portion.burst, portion.level);
  borrowed_rate_ -= portion.rate;
  UpdateRate();
  return portion;
}

Micro Share::OwnRate() const {
  return std::max<Micro>(base_.rate - lent_rate_, 0);
}

Micro Share::OwnBurst() const {
  return std::max<Micro>(base_.burst - bucket_.lent_burst(), 0);
}

std::optional<Instant> Share::NextExpiry() const {
  std::optional<Instant> next;
  for (const auto& [id, it] : lent_) {
    next = next ? std::min(*next, it.until) : it.until;
  }
  for (const auto& [id, it] : borrowed_) {
    next = next ? std::min(*next, it.until) : it.until;
  }
  return next;
}

void Share::UpdateRate() {
  bucket_.SetRate(
      Scale(OwnRate() + borrowed_rate_, kMillion - drift_ppm_, kMillion));
}

}  // namespace baobabrun
