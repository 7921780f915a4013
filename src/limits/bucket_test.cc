// Property tests of the bucket's arithmetic and tests of shares.
#include "limits/bucket.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>

#include "limits/fleet_trial.h"
#include "limits/share.h"

namespace baobabrun {
namespace {

constexpr Instant kStart{seconds(1)};

// An open request, as the test tracks it.
struct OpenRequest {
  std::int64_t at;
  Micro charged;
  Micro spent;
};

class RandomOperations {
 public:
  explicit RandomOperations(std::uint64_t seed)
      : seed_(seed),
        random_(seed),
        rate_(Uniform(1, 5'000) * kMicro + Uniform(0, kMicro)),
        burst_(Uniform(100, 20'000) * kMicro),
        bucket_(rate_, burst_, kStart) {}

  void Run() {
    for (int i = 0; i < 2'000; ++i) {
      Step();
      CheckState();
    }
    for (const auto& [id, it] : open_) {
      // The most that the request may still use.
      uses_.push_back({it.at, it.charged});
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Label(), Micro{0},
                                 LargestOverrun(uses_, rate_, burst_));
  }

 private:
  std::int64_t Uniform(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(random_);
  }

  void Step() {
    now_ += Duration(Uniform(0, 400'000'000));
    bucket_.Advance(now_);
    switch (Uniform(0, 5)) {
      case 0:
      case 1:
        Take();
        break;
      case 2:
        Spend();
        break;
      case 3:
        Settle();
        break;
      case 4:
        LendOrReclaim();
        break;
      default:
        bucket_.Advance(now_ - Duration(Uniform(0, 1'000'000'000)));
        break;
    }
  }

  void Take() {
    const Micro amount = Uniform(1, burst_ / 3);
    const RequestId id(++last_);
    const bool enough = bucket_.level() >= amount;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Label(), enough, bucket_.Take(id, amount));
    if (enough) {
      open_[id] = {now_.time_since_epoch().count(), amount, 0};
    }
  }

  void Spend() {
    if (!open_.empty()) {
      auto& [id, it] = *open_.begin();
      it.spent = Uniform(it.spent, it.charged);
      bucket_.LimitRefund(id, it.charged - it.spent);
    }
  }

  void Settle() {
    if (open_.empty()) {
      return;
    }
    const auto it = std::next(open_.begin(),
                              Uniform(0, static_cast<int>(open_.size()) - 1));
    const Micro unused = it->second.charged - it->second.spent;
    CPPUNIT_ASSERT_MESSAGE(Label(),
                           bucket_.Settle(it->first, unused) <= unused);
    uses_.push_back({it->second.at, it->second.spent});
    open_.erase(it);
  }

  // Lends half the level, or reclaims a loan whole. A loan is either spent
  // elsewhere at once or stays lent until the next call.
  void LendOrReclaim() {
    if (lent_ > 0) {
      bucket_.Reclaim(lent_, lent_);
      lent_ = 0;
      return;
    }
    const Micro amount = bucket_.level() / 2;
    bucket_.Lend(amount, amount);
    if (Uniform(0, 1) == 0) {
      uses_.push_back({now_.time_since_epoch().count(), amount});
      bucket_.Reclaim(amount, 0);
    } else {
      lent_ = amount;
    }
  }

  void CheckState() {
    CPPUNIT_ASSERT_MESSAGE(Label(), bucket_.level() >= 0);
    CPPUNIT_ASSERT_MESSAGE(Label(), bucket_.refundable() >= 0);
    CPPUNIT_ASSERT_MESSAGE(Label(), bucket_.lent_burst() == lent_);
    CPPUNIT_ASSERT_MESSAGE(Label(), bucket_.level() + bucket_.lent_burst() +
                                            bucket_.refundable() <=
                                        burst_);
    CPPUNIT_ASSERT_MESSAGE(Label(), bucket_.refilled_until() == now_);
  }

  std::string Label() const {
    return "seed " + std::to_string(seed_) + " rate " + std::to_string(rate_) +
           " burst " + std::to_string(burst_) + " level " +
           std::to_string(bucket_.level()) + " granted " +
           std::to_string(bucket_.lent_burst()) + " refundable " +
           std::to_string(bucket_.refundable()) + " at " +
           std::to_string((now_ - kStart).count()) + " ns";
  }

  const std::uint64_t seed_;
  std::mt19937_64 random_;
  const Micro rate_;
  const Micro burst_;
  Bucket bucket_;
  Instant now_ = kStart;
  std::uint64_t last_ = 0;
  Micro lent_ = 0;
  std::map<RequestId, OpenRequest> open_;
  std::vector<UseRecord> uses_;
};

}  // namespace

class BucketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BucketTest);
  CPPUNIT_TEST(RandomOperationsNeverExceedTheBound);
  CPPUNIT_TEST(RefillLosesNoFractionOverTime);
  CPPUNIT_TEST(LargestAmountsDoNotOverflow);
  CPPUNIT_TEST(RefillTakesPrecedenceOverRefunds);
  CPPUNIT_TEST(RefillPaysDebtFirst);
  CPPUNIT_TEST(TimeUntilIsExact);
  CPPUNIT_TEST(LargestOverrunFindsExcess);
  CPPUNIT_TEST(LoanEndsOnlyOnce);
  CPPUNIT_TEST(LoweredContractKeepsLoansCounted);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RandomOperationsNeverExceedTheBound() {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      RandomOperations(seed).Run();
    }
  }

  void RefillLosesNoFractionOverTime() {
    constexpr Micro kRate = 333'333;  // a third of a token a second
    Bucket bucket(kRate, ToMicro(1'000'000), kStart);
    Instant now = kStart;
    for (int i = 0; i < 1'000'000; ++i) {
      now += Duration(7'919);
      bucket.Advance(now);
    }
    const auto elapsed = (now - kStart).count();
    const auto exact = static_cast<__int128>(kRate) * elapsed / 1'000'000'000;
    CPPUNIT_ASSERT_EQUAL(static_cast<Micro>(exact), bucket.level());
  }

  void LargestAmountsDoNotOverflow() {
    Bucket bucket(kMaxMicro, kMaxMicro, kStart);
    bucket.Advance(Instant(Duration::max()));
    CPPUNIT_ASSERT_EQUAL(kMaxMicro, bucket.level());
    CPPUNIT_ASSERT(bucket.Take(RequestId(1), kMaxMicro));
    bucket.AddDebt(kMaxMicro);
    bucket.AddDebt(kMaxMicro);
    CPPUNIT_ASSERT_EQUAL(Micro{0}, bucket.level());
    CPPUNIT_ASSERT(bucket.TimeUntil(kMaxMicro, kMaxMicro, kMaxMicro) >
                   Duration::zero());
    CPPUNIT_ASSERT_EQUAL(kMaxMicro, ToMicro(INT64_MAX));
    CPPUNIT_ASSERT_EQUAL(Micro{0}, ToMicro(INT64_MIN));
  }

  void RefillTakesPrecedenceOverRefunds() {
    Bucket bucket(100, 100, kStart);
    bucket.Advance(kStart + seconds(1));
    CPPUNIT_ASSERT(bucket.Take(RequestId(1), 60));
    bucket.Advance(kStart + seconds(1) + milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(Micro{90}, bucket.level());
    CPPUNIT_ASSERT_EQUAL(Micro{10}, bucket.refundable());
    CPPUNIT_ASSERT_EQUAL(Micro{10}, bucket.Settle(RequestId(1), 60));
    CPPUNIT_ASSERT_EQUAL(Micro{100}, bucket.level());
  }

  void RefillPaysDebtFirst() {
    Bucket bucket(100, 100, kStart);
    bucket.Advance(kStart + milliseconds(100));
    bucket.AddDebt(30);
    CPPUNIT_ASSERT_EQUAL(Micro{0}, bucket.level());
    CPPUNIT_ASSERT_EQUAL(Micro{20}, bucket.debt());
    bucket.Advance(kStart + milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(Micro{10}, bucket.level());
  }

  void TimeUntilIsExact() {
    std::mt19937_64 random(7);
    for (int i = 0; i < 1'000; ++i) {
      const Micro rate = static_cast<Micro>(random() % 1'000'000) + 1;
      Bucket bucket(rate, kMicro, kStart);
      const Micro amount = static_cast<Micro>(random() % kMicro) + 1;
      const auto wait = bucket.TimeUntil(amount, 0, 0);
      bucket.Advance(kStart + wait - Duration(1));
      CPPUNIT_ASSERT(bucket.level() < amount);
      bucket.Advance(kStart + wait);
      CPPUNIT_ASSERT(bucket.level() >= amount);
    }
  }

  void LargestOverrunFindsExcess() {
    const std::int64_t second = 1'000'000'000;
    const std::vector<UseRecord> uses = {{0, 100}, {second, 10}, {second, 1}};
    CPPUNIT_ASSERT_EQUAL(Micro{1}, LargestOverrun(uses, 10, 100));
    CPPUNIT_ASSERT_EQUAL(Micro{0}, LargestOverrun(uses, 11, 100));
    CPPUNIT_ASSERT_EQUAL(Micro{11}, LargestOverrun(uses, 0, 100));
  }

  void LoanEndsOnlyOnce() {
    Share share({1'000, 1'000, 0}, true, 0, kStart);
    share.Advance(kStart + seconds(1));
    const auto until = kStart + seconds(2);
    const auto loan = share.Lend(LeaseId(1), VmId("b"), {400, 400, 400}, until);
    CPPUNIT_ASSERT_EQUAL(Micro{400}, loan.level);
    CPPUNIT_ASSERT_EQUAL(Micro{600}, share.bucket().rate());
    share.TakeBack(LeaseId(1), VmId("c"), 400);  // not the borrower
    CPPUNIT_ASSERT_EQUAL(Micro{400}, share.bucket().lent_burst());
    share.TakeBack(LeaseId(1), VmId("b"), 300);
    share.TakeBack(LeaseId(1), VmId("b"), 300);  // a duplicate
    CPPUNIT_ASSERT_EQUAL(Micro{900}, share.bucket().level());
    CPPUNIT_ASSERT(!share.Renew(LeaseId(1), VmId("b"), until));
    CPPUNIT_ASSERT_EQUAL(Micro{1'000}, share.bucket().rate());
  }

  void LoweredContractKeepsLoansCounted() {
    Share lender({1'000, 1'000, 0}, true, 0, kStart);
    lender.Advance(kStart + seconds(1));
    const auto until = kStart + seconds(9);
    lender.Lend(LeaseId(1), VmId("b"), {800, 800, 800}, until);
    const Portion total{2'000, 2'000, 0};
    const Portion half{1'000, 1'000, 0};
    lender.SetBase({500, 500, 0}, total, half, kStart + seconds(1));
    CPPUNIT_ASSERT_EQUAL(Micro{0}, lender.bucket().rate());
    CPPUNIT_ASSERT_EQUAL(Micro{0}, lender.bucket().level());
    lender.Advance(until);
    CPPUNIT_ASSERT_EQUAL(Micro{500}, lender.bucket().rate());

    Share borrower({1'000, 1'000, 0}, true, 0, kStart);
    borrower.Borrow(LeaseId(1), VmId("a"), {800, 800, 800}, kStart, until);
    borrower.SetBase({500, 500, 0}, total, half, kStart);
    CPPUNIT_ASSERT_EQUAL(Micro{900}, borrower.bucket().rate());
    CPPUNIT_ASSERT_EQUAL(Micro{900}, borrower.bucket().burst());
    borrower.Advance(until);
    CPPUNIT_ASSERT_EQUAL(Micro{500}, borrower.bucket().burst());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BucketTest);

}  // namespace baobabrun
