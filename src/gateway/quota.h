// Quotas of organisations over all VMs. Within any window of time, an
// organisation is granted at most (rate x window + burst) x (1 + overage) +
// slack, even while some VMs can't reach others.
//
// The control leader counts what each entry was granted within the window, and
// entries ask it for each call's cost. With each answer it tells the entry its
// cap: what the entry may consume within a window if it loses contact with the
// leader, which is what it was granted plus its share of what is left. While an
// entry is out of contact, the leader counts this cap for it, so that both
// sides together keep the bound. After a window without contact, the entry is
// limited to its pace, which is the consumption that it last reported. A small
// part of the bound is reserved for entries that have no pace.
//
// Entries report their consumption to all control VMs, so that a new leader
// knows it. A leader that has only just started doesn't, and tells entries to
// decide by their pace.
#ifndef GATEWAY_QUOTA_H_
#define GATEWAY_QUOTA_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/gateway_message.h"
#include "gateway/sliding_sum.h"
#include "manifest/manifest.h"

namespace baobabrun {

// The allowance beyond an organisation's contract, and the window for which the
// bound holds.
struct QuotaBound {
  Duration window = seconds(10);
  double overage = 0;
  std::int64_t slack = 0;
};

// Returns the most that all VMs together may grant `organisation` in a window;
// zero if it has no limit.
std::int64_t WindowLimit(const ManifestOrganisation& organisation,
                         const QuotaBound& bound);

// The control VM's side. Only the leader is asked.
class QuotaLedger {
 public:
  explicit QuotaLedger(QuotaBound bound) : bound_(bound) {}

  // Called once at process start. `stored` is what entries consumed before, as
  // far as this VM knew; it counts for one window from now on.
  void Start(const QuotaUses& stored, Instant now);
  // Returns what each entry consumed within the last window.
  QuotaUses Uses(Instant now) const;
  void SetManifest(ManifestViewPtr manifest) {
    manifest_ = std::move(manifest);
  }
  // All entries of the fleet.
  void SetEntries(std::vector<VmId> entries) { entries_ = std::move(entries); }
  QuotaAnswer Answer(const VmId& entry, const QuotaAsk& ask, Instant now);
  void Receive(const VmId& entry, const QuotaReport& report, Instant now);

 private:
  struct EntryUse {
    explicit EntryUse(Duration window) : granted(window) {}

    SlidingSum granted;
    // Granted in the window before the leader last had contact with the entry.
    std::int64_t at_contact = 0;
    std::int64_t sent_cap = 0;  // sent with the newest answer
    Instant cap_sent;
  };
  // Whether the consumption of some entry isn't known, since this VM has only
  // just started.
  bool MissesUsage(Instant now) const;
  // Upper bound of what the entry consumed within the window.
  std::int64_t UseOf(const VmId& entry,
                     const OrganisationId& organisation,
                     Instant now) const;
  void RecordContact(const VmId& entry, Instant now);
  // Adds what the entry consumed without asking, which is the excess of `taken`
  // over the grants.
  static void AddUnasked(EntryUse& use, std::int64_t taken, Instant now);

  const QuotaBound bound_;
  ManifestViewPtr manifest_;  // null before the first
  std::vector<VmId> entries_;
  Instant started_;
  std::map<VmId, Instant> last_contact_;  // when each entry last sent a message
  // Entries whose consumption was stored on disk.
  std::set<VmId> stored_;
  std::map<OrganisationId, std::map<VmId, EntryUse>> uses_;
};

// The entry's side.
class LocalQuota {
 public:
  explicit LocalQuota(QuotaBound bound) : bound_(bound) {}

  // Sets the number of entries of the fleet. It never decreases, since an entry
  // that can't be seen may still use its share.
  void SetSharers(std::size_t sharers);
  void SetManifest(ManifestViewPtr manifest) {
    manifest_ = std::move(manifest);
  }
  // The leader granted `cost` and sent `cap`, in answer to a request made at
  // `asked`.
  void Granted(const OrganisationId& organisation,
               std::int64_t cost,
               std::int64_t cap,
               Instant asked,
               Instant now);
  // Consumes the cost without asking the leader, if the pace or cap of this VM
  // allows it. Returns whether it does.
  bool TakeLocally(const OrganisationId& organisation,
                   std::int64_t cost,
                   Instant now);
  // Returns after which time TakeLocally would succeed if nothing else is
  // consumed.
  Duration Wait(const OrganisationId& organisation,
                std::int64_t cost,
                Instant now) const;
  std::int64_t Taken(const OrganisationId& organisation, Instant now) const;
  // Returns what this VM consumed within the last window, to be sent to a
  // leader that is reachable. From now on, its pace is this amount.
  QuotaReport Report(Instant now);

 private:
  struct Use {
    explicit Use(Duration window) : taken(window) {}

    SlidingSum taken;
    // At most what the leader counts for this VM: the consumption in the window
    // before the last report or grant.
    std::int64_t pace = 0;
    // As sent by the leader; valid for a window from `capped`.
    std::int64_t cap = 0;
    Instant capped;
  };
  std::int64_t CapOf(const OrganisationId& organisation, Instant now) const;
  Use& UseOf(const OrganisationId& organisation);

  const QuotaBound bound_;
  std::size_t sharers_ = 1;
  ManifestViewPtr manifest_;  // null before the first
  std::map<OrganisationId, Use> uses_;
};

}  // namespace baobabrun

#endif  // GATEWAY_QUOTA_H_
