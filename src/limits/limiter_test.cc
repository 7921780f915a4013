// Tests of one limiter, and of a few limiters whose messages the test delivers.
#include "limits/limiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limits/account.h"
#include "limits/messages.h"
#include "limits/prompt_estimator.h"

namespace baobabrun {
namespace {

constexpr Instant kStart{seconds(100)};
const OrganisationId kTestOrganisation("hall-a");

Contract MakeContract() {
  Contract contract;
  contract.organisation = kTestOrganisation;
  contract.tokens_per_second = 1'000;
  contract.burst_tokens = 8'000;
  contract.requests_per_second = 8;
  contract.burst_requests = 16;
  contract.max_concurrent = 4;
  return contract;
}

FleetStatePtr MakeState(std::uint64_t version,
                        std::vector<Contract> contracts) {
  auto state = std::make_shared<FleetState>();
  state->version = StateVersion(version);
  state->declarations.contracts = std::move(contracts);
  return state;
}

// A fleet of `n` limiters. Messages between them are delivered at once.
class SmallFleet {
 public:
  explicit SmallFleet(int n, const Contract& contract = MakeContract()) {
    std::vector<LimitsMember> fleet;
    fleet.reserve(n);
    for (int i = 0; i < n; ++i) {
      fleet.push_back({VmId("vm-" + std::to_string(i)), ZoneId("ikeja")});
    }
    for (int i = 0; i < n; ++i) {
      LimiterOptions options;
      options.self = fleet[i].vm;
      options.fleet = fleet;
      options.clock_drift_ppm = 0;
      options.seed = static_cast<std::uint64_t>(i) + 1;
      limiters_[fleet[i].vm] = std::move(Limiter::Create(options).value());
    }
    for (auto& [vm, it] : limiters_) {
      it->SetState(MakeState(1, {contract}), now_);
      it->SetMembers(fleet, std::nullopt, now_);
    }
    Deliver();
  }

  Limiter& At(int i) { return *limiters_.at(VmId("vm-" + std::to_string(i))); }
  Instant now() const { return now_; }
  void Isolate(int i) { isolated_ = VmId("vm-" + std::to_string(i)); }

  void Deliver() {
    bool more = true;
    while (more) {
      more = false;
      for (auto& [vm, it] : limiters_) {
        for (const auto& message : it->TakeMessages()) {
          more = true;
          if (message.from != isolated_ && message.to != isolated_) {
            limiters_.at(message.to)->Receive(vm, message.payload, now_);
          }
        }
        for (const auto& decision : it->TakeDecisions()) {
          decisions_[decision.request] = decision;
        }
      }
    }
  }

  void Run(Duration time) {
    const auto end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(10);
      for (auto& [vm, it] : limiters_) {
        it->Advance(now_);
      }
      Deliver();
    }
  }

  // Runs the fleet until the request is decided.
  Decision Admit(int vm, const Charge& charge, Duration timeout = seconds(9)) {
    const auto first = At(vm).Admit(charge, now_ + timeout, now_);
    if (first.admission != Admission::kWaiting) {
      return first;
    }
    Deliver();
    while (!decisions_.contains(charge.request)) {
      Run(milliseconds(10));
    }
    return decisions_.at(charge.request);
  }

 private:
  Instant now_ = kStart;
  VmId isolated_;
  std::map<VmId, std::unique_ptr<Limiter>> limiters_;
  std::map<RequestId, Decision> decisions_;
};

Charge Call(std::uint64_t id, std::int64_t tokens) {
  return {RequestId(id), kTestOrganisation, tokens, false, 0};
}

Charge ServiceCall(std::uint64_t id) {
  return {RequestId(id), kTestOrganisation, 0, true, 0};
}

}  // namespace

class LimiterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimiterTest);
  CPPUNIT_TEST(InvalidOptionsAreRejected);
  CPPUNIT_TEST(RefusalsHaveTheRightReason);
  CPPUNIT_TEST(RetryAfterIsExact);
  CPPUNIT_TEST(UnservableRequestIsRefusedEarly);
  CPPUNIT_TEST(OneVmCanUseWholeBurstAndRate);
  CPPUNIT_TEST(IsolatedVmServesOnlyItsShare);
  CPPUNIT_TEST(SlotsAreLentAndReturned);
  CPPUNIT_TEST(ServiceCallsAreChargedAsRequests);
  CPPUNIT_TEST(UnusedTokensAreRefunded);
  CPPUNIT_TEST(UnderestimatedPromptAddsDebtAndCorrectsEstimate);
  CPPUNIT_TEST(ContractChangesApplyAtOnce);
  CPPUNIT_TEST(MalformedPayloadsAreDropped);
  CPPUNIT_TEST(RenewedLoanCountsFromRenewalRequest);
  CPPUNIT_TEST_SUITE_END();

 public:
  void InvalidOptionsAreRejected() {
    LimiterOptions options;
    options.self = VmId("a");
    CPPUNIT_ASSERT(Limiter::Create(options).error().code ==
                   LimitsError::kNotInFleet);
    options.fleet = {{VmId("a"), ZoneId("z")}};
    options.clock_drift_ppm = -1;
    CPPUNIT_ASSERT(Limiter::Create(options).error().code ==
                   LimitsError::kDrift);
    options.clock_drift_ppm = 0;
    options.lease = milliseconds(1);
    CPPUNIT_ASSERT(Limiter::Create(options).error().code ==
                   LimitsError::kLease);
  }

  void RefusalsHaveTheRightReason() {
    SmallFleet fleet(1);
    fleet.Run(seconds(10));
    const auto large = fleet.Admit(0, Call(1, 8'001));
    CPPUNIT_ASSERT(large.reason == RefusalReason::kRateExceeded);
    CPPUNIT_ASSERT(large.retry_after == Duration::zero());
    const Charge unknown{RequestId(2), OrganisationId("x"), 1, false, 0};
    CPPUNIT_ASSERT(fleet.Admit(0, unknown).reason == RefusalReason::kForbidden);
    const Charge open{RequestId(3), OrganisationId(), 1, true, 0};
    CPPUNIT_ASSERT(fleet.Admit(0, open).admission == Admission::kAdmitted);
  }

  void RetryAfterIsExact() {
    SmallFleet fleet(1);
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(fleet.Admit(0, Call(1, 8'000)).admission ==
                   Admission::kAdmitted);
    const auto refused = fleet.Admit(0, Call(2, 5'000));
    CPPUNIT_ASSERT(refused.admission == Admission::kRefused);
    CPPUNIT_ASSERT(refused.retry_after == seconds(5));
    const auto early = fleet.now() + refused.retry_after - Duration(1);
    const auto late = fleet.now() + refused.retry_after;
    CPPUNIT_ASSERT(fleet.At(0).Admit(Call(3, 5'000), early, early).admission !=
                   Admission::kAdmitted);
    CPPUNIT_ASSERT(
        fleet.At(0).Admit(Call(4, 5'000), late + seconds(1), late).admission ==
        Admission::kAdmitted);
  }

  // A request that can't be served in time is refused before its deadline.
  void UnservableRequestIsRefusedEarly() {
    SmallFleet fleet(4);
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(fleet.Admit(0, Call(1, 8'000)).admission ==
                   Admission::kAdmitted);
    const auto before = fleet.now();
    CPPUNIT_ASSERT(fleet.Admit(0, Call(2, 7'000)).admission ==
                   Admission::kRefused);
    CPPUNIT_ASSERT(fleet.now() - before <= milliseconds(250));
    // A request that can be served in time is admitted after its wait.
    const auto admitted = fleet.Admit(0, Call(3, 1'000));
    CPPUNIT_ASSERT(admitted.admission == Admission::kAdmitted);
    CPPUNIT_ASSERT(fleet.now() - before <= seconds(2));
  }

  void OneVmCanUseWholeBurstAndRate() {
    SmallFleet fleet(8);
    fleet.Run(seconds(10));
    CPPUNIT_ASSERT(fleet.Admit(5, Call(1, 8'000)).admission ==
                   Admission::kAdmitted);
    // After the burst, one VM can use the whole rate: 1,000 tokens a second,
    // within two seconds.
    fleet.At(5).Finish(RequestId(1), 8'000, 0, fleet.now());
    const auto before = fleet.now();
    for (std::uint64_t i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(fleet.Admit(5, Call(10 + i, 500)).admission ==
                     Admission::kAdmitted);
      fleet.At(5).Finish(RequestId(10 + i), 500, 0, fleet.now());
    }
    CPPUNIT_ASSERT(fleet.now() - before >= seconds(5));
    CPPUNIT_ASSERT(fleet.now() - before <= seconds(6));
    CPPUNIT_ASSERT(fleet.At(5).View(kTestOrganisation).rate >= 900 * kMicro);
  }

  void IsolatedVmServesOnlyItsShare() {
    SmallFleet fleet(4);
    fleet.Run(seconds(10));
    fleet.Isolate(2);
    CPPUNIT_ASSERT(fleet.Admit(2, Call(1, 2'000)).admission ==
                   Admission::kAdmitted);
    const auto refused = fleet.Admit(2, Call(2, 3'000));
    CPPUNIT_ASSERT(refused.admission == Admission::kRefused);
    CPPUNIT_ASSERT(refused.retry_after > Duration::zero());
    CPPUNIT_ASSERT_EQUAL(2'000 * kMicro,
                         fleet.At(2).View(kTestOrganisation).capacity);
    CPPUNIT_ASSERT(fleet.Admit(0, Call(3, 6'000)).admission ==
                   Admission::kAdmitted);
  }

  void SlotsAreLentAndReturned() {
    SmallFleet fleet(2);
    fleet.Run(seconds(10));
    for (std::uint64_t i = 1; i <= 4; ++i) {
      CPPUNIT_ASSERT(fleet.Admit(0, Call(i, 10)).admission ==
                     Admission::kAdmitted);
    }
    const auto fifth = fleet.Admit(0, Call(5, 10));
    CPPUNIT_ASSERT(fifth.reason == RefusalReason::kTooManyConcurrent);
    CPPUNIT_ASSERT(fleet.Admit(1, Call(6, 10)).reason ==
                   RefusalReason::kTooManyConcurrent);
    fleet.Run(seconds(5));  // the loans are renewed while calls run
    CPPUNIT_ASSERT(fleet.Admit(1, Call(7, 10)).admission ==
                   Admission::kRefused);
    for (std::uint64_t i = 1; i <= 4; ++i) {
      fleet.At(0).Finish(RequestId(i), 5, 5, fleet.now());
    }
    fleet.Run(seconds(2));
    for (std::uint64_t i = 11; i <= 14; ++i) {
      CPPUNIT_ASSERT(fleet.Admit(1, Call(i, 10)).admission ==
                     Admission::kAdmitted);
    }
  }

  void ServiceCallsAreChargedAsRequests() {
    SmallFleet fleet(2);
    fleet.Run(seconds(10));
    for (std::uint64_t i = 1; i <= 16; ++i) {
      CPPUNIT_ASSERT(fleet.Admit(0, ServiceCall(i)).admission ==
                     Admission::kAdmitted);
      fleet.At(0).Finish(RequestId(i), 0, 0, fleet.now());
    }
    const auto before = fleet.now();
    CPPUNIT_ASSERT(fleet.Admit(0, ServiceCall(17)).admission ==
                   Admission::kAdmitted);
    CPPUNIT_ASSERT(fleet.now() - before >= milliseconds(100));
    CPPUNIT_ASSERT(fleet.Admit(0, Call(18, 4'000)).admission ==
                   Admission::kAdmitted);
  }

  void UnusedTokensAreRefunded() {
    SmallFleet fleet(1);
    fleet.Run(seconds(10));
    const auto level = [&fleet] {
      return fleet.At(0).View(kTestOrganisation).level;
    };
    const Micro full = level();
    fleet.Admit(0, Call(1, 5'000));
    fleet.At(0).Spend(RequestId(1), 1'500, fleet.now());
    fleet.At(0).Finish(RequestId(1), 500, 2'000, fleet.now());
    CPPUNIT_ASSERT_EQUAL(full - 2'500 * kMicro, level());
    fleet.Admit(0, Call(2, 1'000));
    fleet.At(0).Abandon(RequestId(2), fleet.now());
    CPPUNIT_ASSERT_EQUAL(full - 2'500 * kMicro, level());
    // The request has already ended.
    fleet.At(0).Finish(RequestId(2), 1, 1, fleet.now());
    CPPUNIT_ASSERT_EQUAL(full - 2'500 * kMicro, level());
  }

  void UnderestimatedPromptAddsDebtAndCorrectsEstimate() {
    SmallFleet fleet(1);
    fleet.Run(seconds(10));
    auto charge = Call(1, 1'000);
    charge.prompt_bytes = 4'000;
    const auto estimate = fleet.At(0).EstimatePrompt(kTestOrganisation, 4'000);
    fleet.Admit(0, charge);
    fleet.At(0).Finish(RequestId(1), 2'000, 0, fleet.now());
    CPPUNIT_ASSERT_EQUAL(6'000 * kMicro,
                         fleet.At(0).View(kTestOrganisation).level);
    CPPUNIT_ASSERT(fleet.At(0).EstimatePrompt(kTestOrganisation, 4'000) >
                   estimate);
    PromptEstimator estimator;
    for (int i = 0; i < 200; ++i) {
      estimator.Correct(kTestOrganisation, 3'000, 1'000);
    }
    CPPUNIT_ASSERT(estimator.Estimate(kTestOrganisation, 3'000) >= 990);
    CPPUNIT_ASSERT(estimator.Estimate(kTestOrganisation, 3'000) <= 1'010);
  }

  void ContractChangesApplyAtOnce() {
    SmallFleet fleet(1);
    fleet.Run(seconds(10));
    auto contract = MakeContract();
    contract.tokens_per_second = 2'000;
    fleet.At(0).SetState(MakeState(2, {contract}), fleet.now());
    CPPUNIT_ASSERT_EQUAL(2'000 * kMicro,
                         fleet.At(0).View(kTestOrganisation).rate);
    contract.burst_tokens = 500;
    fleet.At(0).SetState(MakeState(3, {contract}), fleet.now());
    CPPUNIT_ASSERT_EQUAL(500 * kMicro,
                         fleet.At(0).View(kTestOrganisation).level);
    fleet.At(0).SetState(MakeState(1, {MakeContract()}), fleet.now());
    CPPUNIT_ASSERT_EQUAL(500 * kMicro,
                         fleet.At(0).View(kTestOrganisation).capacity);
    fleet.Admit(0, Call(1, 500));
    fleet.At(0).Admit(Call(2, 400), fleet.now() + seconds(9), fleet.now());
    fleet.At(0).SetState(MakeState(4, {}), fleet.now());
    CPPUNIT_ASSERT(fleet.At(0).TakeDecisions().at(0).reason ==
                   RefusalReason::kForbidden);
    CPPUNIT_ASSERT(fleet.Admit(0, Call(3, 1)).reason ==
                   RefusalReason::kForbidden);
  }

  void RenewedLoanCountsFromRenewalRequest() {
    LendingContext context;
    context.lease = seconds(1);
    context.lender_lease = seconds(1);
    context.ask_timeout = milliseconds(100);
    context.next_id = 1;
    const VmId lender("a");
    const LimitSubject subject{kTestOrganisation, LimitKind::kTokens};
    Account account(subject, Share({1'000, 1'000, 0}, true, 0, kStart),
                    {2'000, 2'000, 0}, &context);
    const LeaseId lease(5);
    account.share().Borrow(lease, lender, {100, 100, 0}, kStart,
                           kStart + seconds(1));
    account.SetWaiting(5'000, 5'000);  // so that the loan is still needed
    const auto sent = kStart + milliseconds(500);
    account.Advance(sent);
    account.Tick(sent);
    const auto renewal = context.outbox[lender].renews.at(0).renewal;
    account.OnRenewed(lender, {subject, lease, renewal},
                      kStart + milliseconds(900));
    CPPUNIT_ASSERT(account.share().borrowed().at(lease).until ==
                   sent + seconds(1));
  }

  void MalformedPayloadsAreDropped() {
    SmallFleet fleet(2);
    fleet.Run(seconds(10));
    LimitsBatch negative;
    AskMessage ask;
    ask.subject.organisation = kTestOrganisation;
    ask.wanted = {0, 1, -5};
    negative.asks.push_back(ask);
    LimitsBatch uneven = negative;
    uneven.asks[0].wanted = {0, 5, 9};
    const std::string rows[] = {"\xff\xff\xff", EncodeBatch(negative),
                                EncodeBatch(uneven)};
    for (const auto& it : rows) {
      fleet.At(0).Receive(VmId("vm-1"), it, fleet.now());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, fleet.At(0).counts().malformed);
    // Amounts larger than the limit are clamped to what there is.
    LimitsBatch greedy;
    ask.wanted = {kMaxMicro, kMaxMicro, kMaxMicro};
    greedy.asks.push_back(ask);
    fleet.At(0).Receive(VmId("vm-1"), EncodeBatch(greedy), fleet.now());
    CPPUNIT_ASSERT(fleet.At(0).View(kTestOrganisation).capacity >= 0);
    CPPUNIT_ASSERT(fleet.At(0).View(kTestOrganisation).level >= 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimiterTest);

}  // namespace baobabrun
