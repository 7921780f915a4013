// Organisations' rates and bursts over all VMs.
//
// The control leader keeps one bucket an organisation and entries ask it for
// each call's cost. A fixed part is left to the entries, each of which has a
// reserve of its own: while no leader can be asked, an entry lives on that, and
// before, on what would overflow there. So the bound holds whatever is cut off:
//
//   leader: (rate x window + burst) x (1 + overage) x (1 - reserved part)
//   all reserves: the same x reserved part, and the slack
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

// What the bound allows beyond the contract.
struct QuotaBound {
  double overage = 0;
  std::int64_t slack = 0;
};

// The leader's side.
class QuotaLedger {
 public:
  explicit QuotaLedger(QuotaBound bound) : bound_(bound) {}

  // This VM took over. Buckets start empty, since the leader before may have
  // given out all there was.
  void Lead(Instant now);
  void SetManifest(ManifestViewPtr manifest, Instant now);
  QuotaAnswer Answer(const QuotaAsk& ask, Instant now);

 private:
  const QuotaBound bound_;
  ManifestViewPtr manifest_;  // null before the first
  std::map<OrganisationId, TokenBucket> buckets_;
};

// An entry's part of the bound.
class QuotaReserve {
 public:
  explicit QuotaReserve(QuotaBound bound) : bound_(bound) {}

  // Entries that share the reserves. Never falls: an entry that is out of
  // sight may still use its part.
  void SetSharers(std::size_t sharers, Instant now);
  void SetManifest(ManifestViewPtr manifest, Instant now);
  // Takes `cost` only if enough stays for a time without a leader.
  bool TakeSpare(const OrganisationId& organisation,
                 std::int64_t cost,
                 Instant now);
  bool Take(const OrganisationId& organisation, std::int64_t cost, Instant now);
  // When Take would succeed; a bound for what can't be told.
  Duration Wait(const OrganisationId& organisation,
                std::int64_t cost,
                Instant now) const;

 private:
  void Resize(Instant now);

  const QuotaBound bound_;
  std::size_t sharers_ = 1;
  ManifestViewPtr manifest_;  // null before the first
  std::map<OrganisationId, TokenBucket> buckets_;
};

}  // namespace baobabrun

#endif  // GATEWAY_QUOTA_H_
