// Tests which parts of prompts are blamed for ends of endpoints, and what the
// VMs tell each other of it.
#include "gateway/crash_causes.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace baobabrun {
namespace {

constexpr std::uint64_t kBad = 1;
constexpr std::uint64_t kShared = 2;
constexpr std::uint64_t kOther = 3;

}  // namespace

class CrashCausesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashCausesTest);
  CPPUNIT_TEST(PartThatAllEndsShareIsQuarantined);
  CPPUNIT_TEST(RepeatsOfOneCallBlameNoPart);
  CPPUNIT_TEST(EndpointsThatEndAtOneMomentBlameNoPart);
  CPPUNIT_TEST(EndpointThatAnswersOrReportsHasNotEnded);
  CPPUNIT_TEST(CallsThatRanBesideAreNotBlamed);
  CPPUNIT_TEST(PartWithSoundCallsNeedsMoreCrashes);
  CPPUNIT_TEST(QuarantineIsToldUntilAnotherVmTellsIt);
  CPPUNIT_TEST(SoundCallAtAnotherVmPreventsAQuarantine);
  CPPUNIT_TEST(SoundCallEndsAQuarantine);
  CPPUNIT_TEST(FirstCrashAfterAQuarantineStartsALongerOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CrashCausesOptions options;
    options.last_report = [this](const EndpointId&) { return reported_; };
    causes_ = std::make_unique<CrashCauses>(options, 1);
  }

  void PartThatAllEndsShareIsQuarantined() {
    for (int n = 0; n < 3; ++n) {
      CPPUNIT_ASSERT(!Refused(kBad));
      // The other part is another one each time.
      EndUnder({kBad, 100U + n});
      Wait(milliseconds(150));
    }
    Wait(milliseconds(200));
    CPPUNIT_ASSERT(Refused(kBad));
    CPPUNIT_ASSERT(!Refused(100));
    CPPUNIT_ASSERT(!Refused(102));
  }

  void RepeatsOfOneCallBlameNoPart() {
    for (int n = 0; n < 6; ++n) {
      last_call_ = 0;
      EndUnder({kOther});
      Wait(milliseconds(150));
    }
    CPPUNIT_ASSERT(!Refused(kOther));
  }

  void EndpointsThatEndAtOneMomentBlameNoPart() {
    for (int n = 0; n < 6; ++n) {
      EndUnder({kOther});
      Wait(milliseconds(5));
    }
    Wait(seconds(5));
    CPPUNIT_ASSERT(!Refused(kOther));
  }

  void EndpointThatAnswersOrReportsHasNotEnded() {
    for (int n = 0; n < 6; ++n) {
      EndUnder({kOther});
      Wait(milliseconds(10));
      causes_->AddAlive(endpoint_, Incarnation(1), now_);
      Break({kOther}, true);
      Wait(seconds(2));
      reported_ = now_;
      Wait(seconds(2));
    }
    CPPUNIT_ASSERT(!Refused(kOther));
  }

  void CallsThatRanBesideAreNotBlamed() {
    for (int n = 0; n < 3; ++n) {
      EndUnder({kBad});
      // Its answer hasn't begun, that of the call above has.
      Break({kOther}, false);
      Wait(milliseconds(150));
    }
    Wait(milliseconds(200));
    CPPUNIT_ASSERT(Refused(kBad));
    CPPUNIT_ASSERT(!Refused(kOther));
  }

  void PartWithSoundCallsNeedsMoreCrashes() {
    causes_->AddSound({kShared}, now_, now_);
    for (int n = 0; n < 4; ++n) {
      Wait(milliseconds(150));
      EndUnder({kShared});
    }
    Wait(seconds(1));
    CPPUNIT_ASSERT(!Refused(kShared));
    EndUnder({kShared});
    Wait(seconds(1));
    CPPUNIT_ASSERT(Refused(kShared));
  }

  void QuarantineIsToldUntilAnotherVmTellsIt() {
    Quarantine(kBad);
    const auto told = causes_->TakeNotices(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
    CPPUNIT_ASSERT_EQUAL(kBad, told[0].part);
    int again = 0;
    for (int n = 0; n < 20; ++n) {
      Wait(milliseconds(500));
      causes_->Learn(told[0], now_);
      again += static_cast<int>(causes_->TakeNotices(now_).size());
    }
    CPPUNIT_ASSERT_EQUAL(0, again);
    Wait(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, causes_->TakeNotices(now_).size());
    // A VM that has just started refuses the calls as well.
    CrashCauses fresh({}, 2);
    fresh.Learn(told[0], now_);
    CPPUNIT_ASSERT(fresh.QuarantinedFor({kBad}, now_ + milliseconds(200)) >
                   seconds(100));
  }

  void SoundCallAtAnotherVmPreventsAQuarantine() {
    CrashCauses other({}, 2);
    other.AddSound({kBad}, now_, now_);
    for (int n = 0; n < 3; ++n) {
      EndUnder({kBad});
      Wait(milliseconds(150));
    }
    for (const auto& it : causes_->TakeNotices(now_)) {
      other.Learn(it, now_);
    }
    const auto objections = other.TakeNotices(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, objections.size());
    CPPUNIT_ASSERT(objections[0].left == Duration::zero());
    causes_->Learn(objections[0], now_);
    Wait(seconds(1));
    CPPUNIT_ASSERT(!Refused(kBad));
  }

  void SoundCallEndsAQuarantine() {
    Quarantine(kBad);
    CPPUNIT_ASSERT(Refused(kBad));
    causes_->TakeNotices(now_);
    causes_->AddSound({kBad}, now_, now_);
    CPPUNIT_ASSERT(!Refused(kBad));
    // The others are told.
    const auto told = causes_->TakeNotices(now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
    CPPUNIT_ASSERT(told[0].left == Duration::zero());
  }

  void FirstCrashAfterAQuarantineStartsALongerOne() {
    Quarantine(kBad);
    Wait(seconds(121));
    CPPUNIT_ASSERT(!Refused(kBad));
    EndUnder({kBad});
    Wait(seconds(1));
    CPPUNIT_ASSERT(Refused(kBad));
    Wait(seconds(200));
    CPPUNIT_ASSERT(Refused(kBad));
  }

 private:
  void Quarantine(std::uint64_t part) {
    for (int n = 0; n < 5; ++n) {
      EndUnder({part});
      Wait(milliseconds(150));
    }
    Wait(milliseconds(200));
  }
  // Another endpoint ends, under another call with the parts. A call with other
  // events breaks off there, too.
  void EndUnder(const std::vector<std::uint64_t>& parts) {
    endpoint_ = EndpointId("e" + std::to_string(++last_endpoint_));
    Break(parts, true);
    Break({}, true);
  }
  void Break(const std::vector<std::uint64_t>& parts, bool answering) {
    CrashNotice notice;
    notice.endpoint = endpoint_;
    notice.incarnation = Incarnation(1);
    notice.attempt = ++last_attempt_;
    notice.fingerprint = ++last_call_;
    notice.answering = answering;
    notice.parts = causes_->Describe(parts, now_);
    causes_->Add(notice, now_);
  }
  void Wait(Duration time) {
    const auto until = now_ + time;
    while (now_ < until) {
      now_ += milliseconds(5);
      causes_->Advance(now_);
    }
  }
  bool Refused(std::uint64_t part) const {
    return causes_->QuarantinedFor({part}, now_) > Duration::zero();
  }

  Instant now_{seconds(1'000)};
  Instant reported_ = Instant::min();
  std::unique_ptr<CrashCauses> causes_;
  EndpointId endpoint_;
  std::uint64_t last_endpoint_ = 0;
  std::uint64_t last_attempt_ = 0;
  std::uint64_t last_call_ = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashCausesTest);

}  // namespace baobabrun
