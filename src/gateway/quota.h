// Organisations' rates and bursts over all VMs.
//
// The control leader keeps one bucket an organisation, with the contract's rate
// and burst, and entries ask it for each call's cost. While no leader can be
// asked, an entry lives on its reserve: a fixed part of what the bound allows
// beyond the contract. So the bound holds whatever is cut off:
//
//   leader: rate x window + burst
//   all reserves: (rate x window + burst) x overage + slack
#ifndef GATEWAY_QUOTA_H_
#define GATEWAY_QUOTA_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/gateway_message.h"
#include "gateway/token_bucket.h"
#include "manifest/manifest.h"

namespace baobabrun {

// The leader's side.
class QuotaLedger {
 public:
  // This VM took over. Buckets start empty, since the leader before may have
  // given out all there was.
  void Lead(Instant now);
  void SetManifest(ManifestViewPtr manifest, Instant now);
  QuotaAnswer Answer(const QuotaAsk& ask, Instant now);

 private:
  ManifestViewPtr manifest_;  // null before the first
  std::map<OrganisationId, TokenBucket> buckets_;
};

struct QuotaReserveOptions {
  double overage = 0;
  std::int64_t slack = 0;
};

// An entry's part of what the bound allows beyond the contract.
class QuotaReserve {
 public:
  explicit QuotaReserve(QuotaReserveOptions options) : options_(options) {}

  // Entries that share the reserves. Never falls: an entry that is out of
  // sight may still use its part.
  void SetSharers(std::size_t sharers, Instant now);
  void SetManifest(ManifestViewPtr manifest, Instant now);
  bool TryTake(const OrganisationId& organisation,
               std::int64_t cost,
               Instant now);
  // When TryTake would succeed; a bound for what can't be told.
  Duration Wait(const OrganisationId& organisation,
                std::int64_t cost,
                Instant now) const;

 private:
  void Resize(Instant now);

  const QuotaReserveOptions options_;
  std::size_t sharers_ = 1;
  ManifestViewPtr manifest_;  // null before the first
  std::map<OrganisationId, TokenBucket> buckets_;
};

}  // namespace baobabrun

#endif  // GATEWAY_QUOTA_H_
