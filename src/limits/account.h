// One VM's account of one limit of one contract. It decides when to ask other
// VMs for a part of their shares, what to lend them, and when to return loans.
// Share alone guarantees that the fleet keeps the contract; this class only
// decides how well the shares follow the demand.
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

// Interval at which demand is measured and loans are renewed or returned.
constexpr Duration kLimitsTick = milliseconds(250);

// Data and callbacks that all accounts of a VM share.
struct LendingContext {
  Duration lease;         // duration of a loan, as the borrower counts it
  Duration lender_lease;  // `lease` plus the clock drift margin
  Duration ask_timeout;   // an ask without an answer for this long has failed
  std::uint64_t next_id;  // for asks and leases; starts at random
  // VMs to ask, nearest first.
  std::vector<VmId> peers;
  // Called when `peer` didn't answer an ask in time. Returns true if the peer
  // isn't to be asked for now.
  std::function<bool(const VmId& peer, Instant now)> on_ask_timeout;
  LimitsOutbox outbox;
};

// Represents all loans that an earlier incarnation of this VM may have granted.
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

  // Adds to the demand since the last tick: requested charges, whether or not
  // they were admitted. A refund is added as a negative amount.
  void AddDemand(Micro amount) { demand_this_tick_ += amount; }
  // Sets the sum of the charges that requests wait for, and the charge of the
  // first of them.
  void SetWaiting(Micro amount, Micro first) {
    waiting_ = amount;
    first_waiting_ = first;
  }

  // Asks peers for tokens if there are fewer than the waiting requests need.
  void AskIfMissing(Instant now);
  // Returns true while answers to asks are due, other than asks for spare
  // tokens.
  bool HasPendingAsks() const;
  // Returns true while asking again may bring what is missing: VMs that need
  // tokens now may have spare ones a little later.
  bool MayStillObtain() const;
  // Returns the time until `amount` can be taken after `ahead` has been taken,
  // from this VM's refill and from the refill that peers reported as unused.
  // Returns Duration::max() if that never happens.
  Duration WaitFor(Micro amount, Micro ahead) const;

  void OnAsk(const VmId& from, const AskMessage& message, Instant now);
  void OnGrant(const VmId& from, const GrantMessage& message, Instant now);
  void OnRenew(const VmId& from, const RenewMessage& message, Instant now);
  void OnRenewed(const VmId& from, const RenewedMessage& message, Instant now);
  void OnReturn(const VmId& from, const ReturnMessage& message, Instant now);

  // Ends all loans from `peer` and asks to it, since it has restarted.
  void OnHello(const VmId& peer, Instant now);
  // Called when no loan granted by an earlier incarnation of this VM is
  // outstanding.
  void EndQuarantine(Instant now);

  // Ends expired loans, and sends asks without an answer again or gives them
  // up.
  void Advance(Instant now);
  // Measures demand; renews, returns and asks for loans. Call every
  // kLimitsTick.
  void Tick(Instant now);
  // Returns the next time at which Advance or AskIfMissing has something to do.
  std::optional<Instant> NextEvent() const;

 private:
  struct PendingAsk {
    VmId peer;
    Instant sent;  // when first sent; the loan's duration counts from here
    int tries = 1;
    AskMessage message;
  };
  using PendingAsks = std::map<std::uint64_t, PendingAsk>;
  // A grant that was sent. It is kept to be sent again if the same ask arrives
  // again.
  struct SentGrant {
    VmId to;
    Instant at;
    GrantMessage message;
  };

  bool Refills() const { return subject_.kind != LimitKind::kSlots; }
  Micro Missing() const;
  Micro MissingToFirst() const;
  Micro Reserve() const;
  // Returns what can be lent to a VM whose first waiting request lacks
  // `missing`.
  Portion Spare(Micro missing) const;
  void AskForMissing(const std::vector<VmId>& peers, Instant now);
  void AskPeers(const std::vector<VmId>& peers,
                const AskMessage& whole,
                Instant now);
  PendingAsks::iterator EndAsk(PendingAsks::iterator it, Micro gift);
  const SentGrant* FindSentGrant(const VmId& to,
                                 std::uint64_t ask,
                                 Instant now);
  Portion LoanFor(const Portion& wanted, const Portion& spare) const;
  GrantMessage MakeGrant(const VmId& from,
                         const AskMessage& message,
                         Instant now);
  void EndRound(Instant now);
  bool StillNeeded(const BorrowedLease& lease, Instant now) const;
  Micro RepayLoan(LeaseId id, Micro level);
  void RepayLoans(Micro wanted);
  void MaintainLoans(Instant now);
  void AskForRate(Instant now);
  void Balance(Instant now);

  const LimitSubject subject_;
  Share share_;
  Portion total_;
  LendingContext* context_;

  Micro demand_this_tick_ = 0;  // negative after refunds
  Micro demand_ = 0;            // micro-units a second, averaged
  Micro waiting_ = 0;
  Micro first_waiting_ = 0;  // the first request's part of waiting_

  // bucket().lent_burst() counts what is lent and the room reserved for the
  // gifts in pending_.
  PendingAsks pending_;
  std::deque<SentGrant> sent_grants_;  // oldest first, none older than a lease
  // Peers that reported spare tokens in this round.
  std::vector<VmId> peers_with_spare_;
  // Sums of what peers reported in the last round and in the current round.
  struct PeerReports {
    Micro missing = 0;
    Micro refill = 0;
  };
  PeerReports peer_reports_;
  PeerReports round_reports_;
  // Times before which another ask would most likely find nothing.
  Instant next_round_;
  int failed_rounds_ = 0;  // consecutive
  Duration round_backoff_;
  Instant next_rate_ask_;
  Instant next_balance_;
  Duration balance_backoff_;
};

}  // namespace baobabrun

#endif  // LIMITS_ACCOUNT_H_
