// Organisations' quotas over all VMs: within any window of time, an
// organisation gets (rate x window + burst) x (1 + overage) + slack, whatever
// is cut off.
//
// The control leader counts what each entry was granted within the window, and
// entries ask it for each call's cost. With each answer it tells the entry what
// it may take within a window if it loses the leader: what it has, and its part
// of what is left. While the entry is out of touch the leader counts just that
// for it, so both sides together keep the bound. Later, an entry goes on at the
// pace that it last told. A small part of the bound is left to entries that had
// no pace.
//
// Entries tell all control VMs what they take, so a new leader knows it. One
// that started only just doesn't, and sends entries to their pace.
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

// What the bound allows beyond the contract, and for which window it holds.
struct QuotaBound {
  Duration window = seconds(10);
  double overage = 0;
  std::int64_t slack = 0;
};

// The most that all VMs together may grant `organisation` in a window; zero if
// it has no limit.
std::int64_t WindowLimit(const ManifestOrganisation& organisation,
                         const QuotaBound& bound);

// A control VM's side; only the leader is asked.
class QuotaLedger {
 public:
  explicit QuotaLedger(QuotaBound bound) : bound_(bound) {}

  // The process started. `stored` is what entries had taken before, as far as
  // this VM knew; it counts for a window from now on.
  void Start(const QuotaUses& stored, Instant now);
  // What each entry took within the last window.
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
    // In the window before the leader last heard of the entry.
    std::int64_t at_contact = 0;
    std::int64_t told_cap = 0;  // with the newest answer
    Instant told;
  };
  // Whether the use of some entry isn't known, since this VM started only just.
  bool Blind(Instant now) const;
  // What the entry may have taken within the window.
  std::int64_t UseOf(const VmId& entry,
                     const OrganisationId& organisation,
                     Instant now) const;
  void Touch(const VmId& entry, Instant now);
  // Counts what the entry took without asking.
  static void Learn(EntryUse& use, std::int64_t taken, Instant now);

  const QuotaBound bound_;
  ManifestViewPtr manifest_;  // null before the first
  std::vector<VmId> entries_;
  Instant started_;
  std::map<VmId, Instant> heard_;  // entries, when they last told anything
  std::set<VmId> stored_;          // entries whose use was on the disk
  std::map<OrganisationId, std::map<VmId, EntryUse>> uses_;
};

// An entry's side.
class QuotaPurse {
 public:
  explicit QuotaPurse(QuotaBound bound) : bound_(bound) {}

  // Entries of the fleet. Never falls: one that is out of sight still has its
  // part.
  void SetSharers(std::size_t sharers);
  void SetManifest(ManifestViewPtr manifest) {
    manifest_ = std::move(manifest);
  }
  // The leader granted this, and told `cap`, when it was asked at `asked`.
  void Granted(const OrganisationId& organisation,
               std::int64_t cost,
               std::int64_t cap,
               Instant asked,
               Instant now);
  // Without a leader: takes the cost if this VM's pace allows it.
  bool TakeAlone(const OrganisationId& organisation,
                 std::int64_t cost,
                 Instant now);
  // When TakeAlone would succeed, if nothing is taken before.
  Duration Wait(const OrganisationId& organisation,
                std::int64_t cost,
                Instant now) const;
  std::int64_t Taken(const OrganisationId& organisation, Instant now) const;
  // What this VM took within the last window, to be told to a leader that is
  // heard. From now on its pace is no more than that.
  QuotaReport Report(Instant now);

 private:
  struct Use {
    explicit Use(Duration window) : taken(window) {}

    SlidingSum taken;
    // At most what the leader counts for this VM: in the window before the last
    // report or grant.
    std::int64_t pace = 0;
    std::int64_t cap = 0;  // as the leader told it, for a window from `capped`
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
