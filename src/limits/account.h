// One VM's dealings with one limit of one contract: when it asks other VMs for
// a part of their shares, what it lends them, and when it gives back. Whether
// the fleet keeps the contract rests on Share alone; this class only decides
// how well the shares follow the demand.
#ifndef LIMITS_ACCOUNT_H_
#define LIMITS_ACCOUNT_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "limits/messages.h"
#include "limits/share.h"

namespace baobabrun {

// How often demand is measured and loans are looked after.
constexpr Duration kLimitsTick = milliseconds(250);

// What all accounts of a VM have in common.
struct LendingContext {
  Duration lease;           // as the borrower counts it
  Duration lender_lease;    // the same and the clock drift margin
  Duration gather_timeout;  // an ask not answered for so long has failed
  std::uint64_t next_id;    // of asks and leases; starts at random
  // VMs to ask, the nearest first.
  std::vector<VmId> peers;
  // Called when `peer` didn't answer an ask in time. Returns whether it is
  // given up for now.
  std::function<bool(const VmId& peer, Instant now)> on_silent;
  LimitsOutbox outbox;
};

// Stands in for all loans that an earlier life of this VM may have given.
inline const LeaseId kQuarantineLease{0};

class Account {
 public:
  Account(LimitSubject subject,
          Share share,
          Portion total,
          LendingContext* context);

  Share& share() { return share_; }
  const Share& share() const { return share_; }
  Bucket& bucket() { return share_.bucket(); }
  const Portion& total() const { return total_; }
  void SetTotal(Portion base, Portion total, Instant now);

  // Charges asked for since, served or not; a refund counts against it.
  void NoteDemand(Micro amount) { offered_ += amount; }
  // The sum that requests wait for, and what the first of them needs.
  void SetWaiting(Micro amount, Micro first) {
    waiting_ = amount;
    first_ = first;
  }

  // Asks peers if what is waiting, or soon needed, isn't there.
  void Seek(Instant now);
  // True while answers to asks are still due.
  bool seeking() const;
  // True while asking again may bring what is missing: other VMs that need
  // tokens at the same moment may have some over a little later.
  bool MayFind() const;
  // The time until `amount` can be taken after `ahead` was, by own refill and
  // what peers said that they don't need; Duration::max() for never.
  Duration WaitFor(Micro amount, Micro ahead) const;

  void OnAsk(const VmId& from, const AskMessage& message, Instant now);
  void OnGrant(const VmId& from, const GrantMessage& message, Instant now);
  void OnRenew(const VmId& from, const RenewMessage& message, Instant now);
  void OnRenewed(const VmId& from, const RenewedMessage& message, Instant now);
  void OnReturn(const VmId& from, const ReturnMessage& message, Instant now);

  // Forgets all dealings with `peer`, which started anew.
  void OnHello(const VmId& peer, Instant now);
  // No loan by an earlier life of this VM is outstanding.
  void EndQuarantine(Instant now);

  // Ends loans that ran out and asks that were not answered.
  void Advance(Instant now);
  // Measures demand; renews, returns and asks for loans. Once a kLimitsTick.
  void Tick(Instant now);
  // The next instant at which Advance or Seek has something to do.
  std::optional<Instant> NextEvent() const;

 private:
  struct PendingAsk {
    VmId peer;
    Instant sent;  // first, which is what its loan counts from
    int tries = 1;
    AskMessage message;
  };
  using PendingAsks = std::map<std::uint64_t, PendingAsk>;
  // An answer kept for when its ask comes again.
  struct Answer {
    VmId to;
    Instant at;
    GrantMessage message;
  };

  bool Refills() const { return subject_.kind != LimitKind::kSlots; }
  Micro Missing() const;
  Micro MissingToFirst() const;
  Micro Reserve() const;
  // What could be lent to a VM whose first request lacks `missing`.
  Portion Spare(Micro missing) const;
  void AskForMissing(const std::vector<VmId>& peers, Instant now);
  void AskPeers(const std::vector<VmId>& peers,
                const AskMessage& whole,
                Instant now);
  PendingAsks::iterator EndAsk(PendingAsks::iterator it, Micro gift);
  const Answer* FindAnswer(const VmId& to, std::uint64_t ask, Instant now);
  Portion LoanFor(const Portion& wanted, const Portion& spare) const;
  GrantMessage MakeGrant(const VmId& from,
                         const AskMessage& message,
                         Instant now);
  void EndRound(Instant now);
  bool StillNeeded(const BorrowedLease& lease, Instant now) const;
  Micro Repay(LeaseId id, Micro level);
  void RepayLoans(Micro wanted);
  void LookAfterLoans(Instant now);
  void SeekRate(Instant now);
  void Balance(Instant now);

  const LimitSubject subject_;
  Share share_;
  Portion total_;
  LendingContext* context_;

  Micro offered_ = 0;  // since the last tick; negative after refunds
  Micro demand_ = 0;   // a second, averaged
  Micro waiting_ = 0;
  Micro first_ = 0;  // of waiting_

  // bucket().granted() holds what is lent and the gifts in pending_.
  PendingAsks pending_;
  std::deque<Answer> answers_;    // oldest first, none older than a lease
  std::vector<VmId> with_spare_;  // of this round, peers that have more
  // What peers reported in the last round and in that under way, in sum.
  struct PeerReports {
    Micro missing = 0;
    Micro refill = 0;
  };
  PeerReports peer_reports_;
  PeerReports round_reports_;
  // Before these, asking again would only repeat a no.
  Instant dry_until_;
  int dry_rounds_ = 0;  // in succession
  Duration dry_backoff_;
  Instant rate_dry_until_;
  Instant balance_after_;
  Duration balance_backoff_;
};

}  // namespace baobabrun

#endif  // LIMITS_ACCOUNT_H_
