// Tests that no call begins on weights that were superseded too long ago,
// whoever sends it and whatever makes it wait at the engine.
#include <cppunit/extensions/HelperMacros.h>

#include "gateway/gateway_fixture.h"

namespace baobabrun {

class WeightsDeadlineTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(WeightsDeadlineTest);
  CPPUNIT_TEST(CallThatWaitsTooLongAtAnEngineRunsAtAnother);
  CPPUNIT_TEST(UnrepeatableCallThatWaitsTooLongIsGivenUpNotSentAgain);
  CPPUNIT_TEST(WithdrawalWithoutRetryBudgetEndsTheCall);
  CPPUNIT_TEST(StreamThatHasBegunStaysAtItsEngine);
  CPPUNIT_TEST(EngineThatLoadsMeanwhileKeepsItsCalls);
  CPPUNIT_TEST(WeightsNamedWhileACallWaitsBoundIt);
  CPPUNIT_TEST(VmThatCatchesUpWithdrawsWhatWaitsTooLong);
  CPPUNIT_TEST(RetryIsBoundLikeTheFirstAttempt);
  CPPUNIT_TEST(ResumedStreamIsBoundLikeTheFirstAttempt);
  CPPUNIT_TEST(OwnPrefillCountsTowardsTheBegin);
  CPPUNIT_TEST(CallsWithoutAModelAreNotBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against calls that an engine with a long queue begins too late.
  void CallThatWaitsTooLongAtAnEngineRunsAtAnother() {
    const auto first = SentShortlyBeforeTheBound("/draft/1");
    const auto other = LoadAnother(first.endpoint);
    Advance(kLeft - milliseconds(1));
    CPPUNIT_ASSERT(!Cancelled(first.attempt));
    Advance(milliseconds(1));
    CPPUNIT_ASSERT(Cancelled(first.attempt));
    End(first, SendOutcome::kCancelled);
    const auto second = TakeSent();
    CPPUNIT_ASSERT(second.endpoint == other);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, *second.weights);
    Advance(seconds(1));
    CPPUNIT_ASSERT(!Cancelled(second.attempt));
  }

  // It may have begun in the last moment, so it must not run again, and its
  // caller must not be told that it didn't run.
  void UnrepeatableCallThatWaitsTooLongIsGivenUpNotSentAgain() {
    const auto sent = SentShortlyBeforeTheBound("/tag/1");
    LoadAnother(sent.endpoint);
    Advance(kLeft);
    const auto actions = TakeActions();
    CPPUNIT_ASSERT(Require<CancelSend>(actions).attempt == sent.attempt);
    CPPUNIT_ASSERT(!Require<RefuseCall>(actions).refusal.not_run);
    CPPUNIT_ASSERT(Find<SendCall>(actions) == nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, gateway_->open_calls());
  }

  void WithdrawalWithoutRetryBudgetEndsTheCall() {
    GatewayOptions options;
    options.self = kSelf;
    options.retries = {0, seconds(10), 0};
    Restart(options);
    const auto sent = SentShortlyBeforeTheBound("/draft/1");
    Advance(kLeft);
    const auto actions = TakeActions();
    CPPUNIT_ASSERT(Require<CancelSend>(actions).attempt == sent.attempt);
    CPPUNIT_ASSERT(!Require<RefuseCall>(actions).refusal.not_run);
  }

  void StreamThatHasBegunStaysAtItsEngine() {
    const auto sent = SentShortlyBeforeTheBound("/tag/1");
    Advance(kLeft - milliseconds(1));
    gateway_->OnProgress({sent.call->id, sent.attempt, true}, now_);
    Advance(milliseconds(500));
    CPPUNIT_ASSERT(!Cancelled(sent.attempt));
  }

  // The engine begins on the newer weights, or states that it ran nothing.
  void EngineThatLoadsMeanwhileKeepsItsCalls() {
    const auto sent = SentShortlyBeforeTheBound("/draft/1");
    LoadWeights(sent.endpoint.value().c_str(), 2);
    Advance(kLeft);
    CPPUNIT_ASSERT(!Cancelled(sent.attempt));
  }

  void WeightsNamedWhileACallWaitsBoundIt() {
    const auto sent = Sent("/tag/1", "key");
    Advance(milliseconds(100));
    // Another VM named them, and this one hears of it late.
    gateway_->OnWeightsNamed({{kModel, 2, now_ - seconds(8) + kLeft}}, now_);
    Advance(kLeft - milliseconds(1));
    CPPUNIT_ASSERT(!Cancelled(sent.attempt));
    Advance(milliseconds(1));
    CPPUNIT_ASSERT(Cancelled(sent.attempt));
  }

  void VmThatCatchesUpWithdrawsWhatWaitsTooLong() {
    const auto sent = Sent("/tag/1", "key");
    Advance(milliseconds(100));
    gateway_->OnWeightsNamed({{kModel, 2, now_ - seconds(20)}}, now_);
    Advance(milliseconds(1));
    CPPUNIT_ASSERT(Cancelled(sent.attempt));
  }

  void RetryIsBoundLikeTheFirstAttempt() {
    const auto first = SentShortlyBeforeTheBound("/draft/1");
    Advance(milliseconds(50));
    TakeActions();
    End(first, SendOutcome::kNotRun, 503);
    const auto second = TakeSent();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, *second.weights);
    Advance(kLeft - milliseconds(50));
    CPPUNIT_ASSERT(Cancelled(second.attempt));
  }

  void ResumedStreamIsBoundLikeTheFirstAttempt() {
    const auto first = SentShortlyBeforeTheBound("/draft/1");
    gateway_->OnProgress({first.call->id, first.attempt, true}, now_);
    Advance(milliseconds(50));
    TakeActions();
    auto end = EndOf(first, SendOutcome::kBroken);
    end.begun = true;
    end.first_event = now_ - milliseconds(50);
    end.last_event = "1";
    gateway_->OnAttemptResult(end, now_);
    const auto second = TakeSent();
    CPPUNIT_ASSERT_EQUAL(std::string("1"), second.resume_after);
    Advance(kLeft - milliseconds(50));
    const auto actions = TakeActions();
    CPPUNIT_ASSERT(Require<CancelSend>(actions).attempt == second.attempt);
    CPPUNIT_ASSERT(Find<AbortAnswer>(actions) != nullptr);
  }

  // A call begins with its first token, after its whole prompt was read.
  void OwnPrefillCountsTowardsTheBegin() {
    PutState(2, 2);
    Advance(seconds(7));
    TakeActions();
    auto call = MakeCall("/tag/1", "key");
    // 30,000 tokens take an engine three quarters of a second.
    call->parts = {{"p", 100}, {"own", 30'000}};
    AssertNotSent(call);
    Sent("/tag/2", "key");
  }

  void CallsWithoutAModelAreNotBound() {
    PutState(2, 2);
    Advance(milliseconds(7'900));
    TakeActions();
    const auto sent = Sent("/book/1", "key");
    Advance(milliseconds(500));
    CPPUNIT_ASSERT(!Cancelled(sent.attempt));
  }

 private:
  // How long before the bound SentShortlyBeforeTheBound sends. Shorter than
  // an endpoint may be silent.
  static constexpr Duration kLeft = milliseconds(400);

  template <class T>
  static const T& Require(const std::vector<GatewayAction>& actions) {
    const auto* found = Find<T>(actions);
    CPPUNIT_ASSERT(found != nullptr);
    return *found;
  }
  // Sends a call to an engine on weights that were superseded almost as long
  // ago as calls may begin on them.
  EndpointAttempt SentShortlyBeforeTheBound(const char* path) {
    PutState(2, 2);
    Advance(seconds(8) - kLeft);
    TakeActions();
    return Sent(path, "key");
  }
  // Gives the newest weights to another engine than `endpoint`; returns it.
  EndpointId LoadAnother(const EndpointId& endpoint) {
    const auto* other = endpoint == EndpointId("e1") ? "e2" : "e1";
    LoadWeights(other, 2);
    TakeActions();
    return EndpointId(other);
  }
  void Restart(const GatewayOptions& options) {
    gateway_ = std::make_unique<Gateway>(options, *endpoints_);
    PutState(1, 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WeightsDeadlineTest);

}  // namespace baobabrun
