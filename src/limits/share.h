// One VM's share of one limit of a contract: a base share that follows from the
// committed contract alone, minus what is lent to other VMs, plus what is
// borrowed from them. Over the whole fleet the shares add up to no more than
// the contract at every moment, whatever messages are lost, delayed or
// duplicated:
//
//  - Rate and bound move together with the tokens in them. While a loan is in
//    transit, they belong to no VM.
//  - The borrower counts a loan's duration from when it sent its ask. The
//    lender counts it from when it granted the loan, and adds the clock drift
//    margin.
//  - A loan ends once, by its unique id: it is returned or it expires.
#ifndef LIMITS_SHARE_H_
#define LIMITS_SHARE_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/ids.h"
#include "base/time.h"
#include "limits/bucket.h"

namespace baobabrun {

using LeaseId = NumberId<struct LeaseTag>;

// A part of a limit: refill in micro-units a second, bound, and tokens inside
// the bound.
struct Portion {
  Micro rate = 0;
  Micro burst = 0;
  Micro level = 0;  // at most burst

  bool empty() const { return rate == 0 && burst == 0; }
};

struct LentLease {
  VmId borrower;
  Portion portion;
  // The borrower has stopped using the loan by then, whatever its clock shows.
  Instant until;
};

struct BorrowedLease {
  VmId lender;
  Portion portion;  // as granted; scaled down when the contract is lowered
  Instant since;
  Instant until;          // the loan isn't used from this time on
  bool for_rate = false;  // requested to get more refill, not just tokens
  // Number and send time of the last renewal sent; 0 if there was none.
  std::uint64_t renewal = 0;
  Instant renewal_sent;
};

class Share {
 public:
  // `drift_ppm`: refill is slowed by this much, since the clock may run fast.
  // `refills`: false for limits whose units come back after use, such as slots.
  // Those start full, the others empty.
  Share(Portion base, bool refills, std::int64_t drift_ppm, Instant now);

  void Advance(Instant now);
  // Applies a changed contract. Lent portions stay counted in full. Borrowed
  // portions are scaled down in proportion if the contract as a whole was
  // lowered.
  void SetBase(Portion base, Portion old_total, Portion new_total, Instant now);

  // Lends at most `portion` and returns what was lent, which is empty if there
  // is nothing to lend.
  Portion Lend(LeaseId id, const VmId& to, Portion portion, Instant until);
  // Returns false if the loan has ended or belongs to another borrower.
  bool Renew(LeaseId id, const VmId& borrower, Instant until);
  void TakeBack(LeaseId id, const VmId& borrower, Micro level);

  void Borrow(LeaseId id,
              const VmId& lender,
              Portion portion,
              Instant since,
              Instant until);
  // Ends a loan early. The result's level is what goes back to the lender: at
  // least `level`, as far as the bucket has that much and the loan's bound
  // allows it. Empty if there is no such loan.
  std::optional<Portion> GiveBack(LeaseId id, Micro level);
  std::map<LeaseId, BorrowedLease>& borrowed() { return borrowed_; }

  Bucket& bucket() { return bucket_; }
  const Bucket& bucket() const { return bucket_; }
  const Portion& base() const { return base_; }
  // The part of the base share that isn't lent.
  Micro OwnRate() const;
  Micro OwnBurst() const;
  Micro BorrowedRate() const { return borrowed_rate_; }
  const std::map<LeaseId, LentLease>& lent() const { return lent_; }
  std::optional<Instant> NextExpiry() const;

 private:
  void UpdateRate();

  Portion base_;
  bool refills_;
  std::int64_t drift_ppm_;
  Bucket bucket_;
  std::map<LeaseId, LentLease> lent_;
  std::map<LeaseId, BorrowedLease> borrowed_;
  Micro lent_rate_ = 0;      // sum over lent_
  Micro borrowed_rate_ = 0;  // sum over borrowed_
  // Invariant: bucket_.lent_burst() is the sum of bursts over lent_, and
  // bucket_.burst() is base_.burst plus the sum of bursts over borrowed_.
};

}  // namespace baobabrun

#endif  // LIMITS_SHARE_H_
