// One VM's share of one limit of a contract: a base share that follows from the
// committed contract alone, less what it lent to other VMs, plus what it
// borrowed from them. Over the fleet these add up to no more than the contract
// at every moment, whatever messages are lost, late or doubled:
//
//  - rate and bound move together with the tokens in them, and while a loan is
//    under way they belong to nobody;
//  - the borrower counts a loan from when it sent its request, the lender from
//    when it granted, plus the clock drift margin;
//  - a loan ends once, by its unique id: it comes back or runs out.
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

// A part of a limit: refill a second, bound, and tokens inside the bound.
struct Portion {
  Micro rate = 0;
  Micro burst = 0;
  Micro level = 0;  // at most burst

  bool empty() const { return rate == 0 && burst == 0; }
};

struct LentLease {
  VmId borrower;
  Portion portion;
  Instant until;  // the borrower has stopped by then, whatever its clock
};

struct BorrowedLease {
  VmId lender;
  Portion portion;  // as granted, cut when the contract is lowered
  Instant since;
  Instant until;          // not used from then on
  bool for_rate = false;  // asked for to get more refill, not just tokens
  // The last renewal sent, if any: its number and when.
  std::uint64_t renewal = 0;
  Instant renewal_sent;
};

class Share {
 public:
  // `drift_ppm`: refill runs slower by this, since the clock may run fast.
  // `refills`: false for limits that are given back in use, such as slots;
  // these start full, the others empty.
  Share(Portion base, bool refills, std::int64_t drift_ppm, Instant now);

  void Advance(Instant now);
  // Puts a changed contract in force. Loans out stay counted in full; loans in
  // are cut in proportion if the contract as a whole was lowered.
  void SetBase(Portion base, Portion old_total, Portion new_total, Instant now);

  // Lends at most `portion`; an empty result if there is nothing to lend.
  Portion Lend(LeaseId id, const VmId& to, Portion portion, Instant until);
  // Returns false if the loan has ended or is another VM's.
  bool Renew(LeaseId id, const VmId& borrower, Instant until);
  void TakeBack(LeaseId id, const VmId& borrower, Micro level);

  void Borrow(LeaseId id,
              const VmId& lender,
              Portion portion,
              Instant since,
              Instant until);
  // Ends a loan early. The result's level is what its lender gets back: at
  // least `level`, as far as there is so much and the loan's bound holds it.
  std::optional<Portion> GiveBack(LeaseId id, Micro level);
  std::map<LeaseId, BorrowedLease>& borrowed() { return borrowed_; }

  Bucket& bucket() { return bucket_; }
  const Bucket& bucket() const { return bucket_; }
  const Portion& base() const { return base_; }
  // What of the base share is not lent.
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
  // bucket_.granted() is the sum of bursts over lent_, and bucket_.burst() is
  // base_.burst plus the sum of bursts over borrowed_.
};

}  // namespace baobabrun

#endif  // LIMITS_SHARE_H_
