// Quotas over all VMs.
#include "gateway/quota.h"

#include <algorithm>
#include <utility>

namespace baobabrun {
namespace {

// Part of each rate and burst that entries keep for times without a leader.
constexpr double kReservedPart = 0.35;
// Of the slack, what reserves may hold; the rest covers calls that were sent
// in one window and run in the next.
constexpr double kReservedSlack = 0.9;
// Part of a full reserve that isn't spent while a leader can be asked.
constexpr double kKeptPart = 0.5;
constexpr Duration kUnknownWait = seconds(1);

}  // namespace

void QuotaLedger::Lead(Instant now) {
  buckets_.clear();
  SetManifest(manifest_, now);
}

void QuotaLedger::SetManifest(ManifestViewPtr manifest, Instant now) {
  manifest_ = std::move(manifest);
  if (manifest_ == nullptr) {
    return;
  }
  const auto& organisations = manifest_->manifest().organisations;
  std::erase_if(buckets_, [this](const auto& it) {
    const auto* organisation = manifest_->Find(it.first);
    return organisation == nullptr || organisation->rate == 0;
  });
  for (const auto& it : organisations) {
    if (it.rate == 0) {
      continue;
    }
    const auto part = (1 - kReservedPart) * (1 + bound_.overage);
    const auto rate = part * static_cast<double>(it.rate);
    const auto burst = part * static_cast<double>(it.burst);
    const auto [bucket, added] =
        buckets_.try_emplace(it.organisation, TokenBucket(rate, burst, 0, now));
    if (!added) {
      bucket->second.Resize(rate, burst, now);
    }
  }
}

QuotaAnswer QuotaLedger::Answer(const QuotaAsk& ask, Instant now) {
  const auto bucket = buckets_.find(ask.organisation);
  const auto cost = static_cast<double>(ask.cost);
  if (bucket == buckets_.end() || bucket->second.TakeOrOwe(cost, now)) {
    return {ask.serial, true, Duration::zero()};
  }
  return {ask.serial, false, bucket->second.Wait(cost, now)};
}

void QuotaReserve::SetSharers(std::size_t sharers, Instant now) {
  if (sharers > sharers_) {
    sharers_ = sharers;
    Resize(now);
  }
}

void QuotaReserve::SetManifest(ManifestViewPtr manifest, Instant now) {
  manifest_ = std::move(manifest);
  Resize(now);
}

void QuotaReserve::Resize(Instant now) {
  if (manifest_ == nullptr) {
    return;
  }
  std::erase_if(buckets_, [this](const auto& it) {
    return manifest_->Find(it.first) == nullptr;
  });
  const auto sharers = static_cast<double>(sharers_);
  const auto slack = kReservedSlack * static_cast<double>(bound_.slack);
  const auto part = kReservedPart * (1 + bound_.overage);
  for (const auto& it : manifest_->manifest().organisations) {
    const auto rate = part * static_cast<double>(it.rate) / sharers;
    const auto size = (part * static_cast<double>(it.burst) + slack) / sharers;
    const auto [bucket, added] = buckets_.try_emplace(
        it.organisation, TokenBucket(rate, size, size, now));
    if (!added) {
      bucket->second.Resize(rate, size, now);
    }
  }
}

bool QuotaReserve::TakeSpare(const OrganisationId& organisation,
                             std::int64_t cost,
                             Instant now) {
  const auto bucket = buckets_.find(organisation);
  return bucket != buckets_.end() &&
         bucket->second.TakeAbove(static_cast<double>(cost), kKeptPart, now);
}

bool QuotaReserve::Take(const OrganisationId& organisation,
                        std::int64_t cost,
                        Instant now) {
  const auto bucket = buckets_.find(organisation);
  return bucket != buckets_.end() &&
         bucket->second.Take(static_cast<double>(cost), now);
}

Duration QuotaReserve::Wait(const OrganisationId& organisation,
                            std::int64_t cost,
                            Instant now) const {
  const auto bucket = buckets_.find(organisation);
  return bucket == buckets_.end()
             ? kUnknownWait
             : bucket->second.Wait(static_cast<double>(cost), now);
}

}  // namespace baobabrun
