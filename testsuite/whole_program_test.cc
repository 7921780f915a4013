// Whole-program test cases. Each runs VMs, engines and services as real
// processes, sends traffic whose answers are checked, and causes one fault.
// Every case checks the same invariants at its end. No result depends on how
// long anything took.
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <string>

#include "standin/http_call.h"
#include "traffic.h"

namespace baobabrun::testsuite {

using load::AnswerOutcome;

class WholeProgramTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WholeProgramTest);
  CPPUNIT_TEST(SteadyTrafficIsAnswered);
  CPPUNIT_TEST(FleetWithoutControlLogAnswersModelCalls);
  CPPUNIT_TEST(GracefulVmStopInterruptsNoAnswer);
  CPPUNIT_TEST(KilledVmHarmsItsOwnCallersOnly);
  CPPUNIT_TEST(StoppedVmHarmsItsOwnCallersOnly);
  CPPUNIT_TEST(CrashedEnginesInterruptNoAnswer);
  CPPUNIT_TEST(RetiredEngineInterruptsNoAnswer);
  CPPUNIT_TEST(KilledEngineGetsRequestsAfterRestart);
  CPPUNIT_TEST(FaultyAnswersReachNoCaller);
  CPPUNIT_TEST(PoisonRequestCrashesAtMostTwoEngines);
  CPPUNIT_TEST(AllVmsRestartedTogetherAnswerEveryRequest);
  CPPUNIT_TEST(WithdrawnKeyIsRefusedByEveryVm);
  CPPUNIT_TEST(LostZoneLeavesTheOthersServing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SteadyTrafficIsAnswered() {
    Run([](Fleet& fleet) { RequireAllComplete(fleet, StandardMix, 1); });
  }

  // This mix has no bookings, because they are recorded in the control log.
  void FleetWithoutControlLogAnswersModelCalls() {
    Run(
        [](Fleet& fleet) {
          const auto mix = [](const Fleet& it, Duration duration) {
            auto out = StandardMix(it, duration);
            for (auto& load : out.organisations) {
              load.service_percent = 0;
            }
            return out;
          };
          RequireAllComplete(fleet, mix, 13);
        },
        false);
  }

  void GracefulVmStopInterruptsNoAnswer() {
    Run([](Fleet& fleet) {
      Traffic traffic(LongAnswers(StandardMix(fleet, seconds(10))), 2);
      Allowances allowances;
      for (std::size_t n = 0; n < fleet.vms().size(); ++n) {
        auto& vm = fleet.vms()[n];
        vm.process->Signal(SIGTERM);
        const auto code = vm.process->Wait(seconds(120));
        CPPUNIT_ASSERT_MESSAGE(vm.name, code.has_value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(vm.name, 0, *code);
        fleet.RestartVm(n);
        allowances.absent_entries.insert(n);
      }
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples, allowances);
      RequireMostComplete(samples);
    });
  }

  void KilledVmHarmsItsOwnCallersOnly() {
    Run([](Fleet& fleet) {
      Traffic traffic(StandardMix(fleet, seconds(4)), 3);
      AwaitMoreRequests(fleet);
      fleet.vms()[0].process->Signal(SIGKILL);
      CPPUNIT_ASSERT(fleet.vms()[0].process->Wait(seconds(60)).has_value());
      fleet.RestartVm(0);
      fleet.AwaitServing(0);
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples, {{0}, {}});
      RequireCompleteExcept(samples, {0});
    });
  }

  void StoppedVmHarmsItsOwnCallersOnly() {
    Run([](Fleet& fleet) {
      Traffic traffic(StandardMix(fleet, seconds(4)), 4);
      AwaitMoreRequests(fleet);
      fleet.vms()[0].process->Signal(SIGSTOP);
      AwaitMoreRequests(fleet);
      AwaitMoreRequests(fleet);
      fleet.vms()[0].process->Signal(SIGCONT);
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples, {{0}, {}});
      RequireCompleteExcept(samples, {0});
      fleet.AwaitServing(0);
    });
  }

  void CrashedEnginesInterruptNoAnswer() {
    Run([](Fleet& fleet) {
      Traffic traffic(StandardMix(fleet, seconds(5)), 5);
      for (auto& it : fleet.engines()) {
        AwaitMoreRequests(fleet);
        Fleet::InjectFault(it, R"({"fault": "crash"})");
      }
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples);
      RequireMostComplete(samples);
      CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(fleet.engines().size()),
                           fleet.FetchAllRuns().crashes);
    });
  }

  void RetiredEngineInterruptsNoAnswer() {
    Run([](Fleet& fleet) {
      Traffic traffic(LongAnswers(StandardMix(fleet, seconds(5))), 6);
      AwaitMoreRequests(fleet);
      auto& engine = fleet.engines()[0];
      engine.process->Signal(SIGTERM);
      const auto code = engine.process->Wait(seconds(120));
      CPPUNIT_ASSERT(code.has_value());
      CPPUNIT_ASSERT_EQUAL(0, *code);
      engine.process.reset();
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples);
      CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(samples.size()),
                           CountOutcome(samples, AnswerOutcome::kComplete));
    });
  }

  void KilledEngineGetsRequestsAfterRestart() {
    Run([](Fleet& fleet) {
      Traffic traffic(StandardMix(fleet, seconds(5)), 10);
      AwaitMoreRequests(fleet);
      auto& engine = fleet.engines()[0];
      engine.process->Signal(SIGKILL);
      CPPUNIT_ASSERT(engine.process->Wait(seconds(60)).has_value());
      fleet.RestartEngine(0);
      CPPUNIT_ASSERT_MESSAGE("the restarted engine gets requests",
                             Eventually([&] {
                               fleet.AwaitServing(0);
                               return !Fleet::FetchRuns(engine).by_tag.empty();
                             }));
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples);
      RequireMostComplete(samples);
    });
  }

  // Each engine and service produces each of its faults once.
  void FaultyAnswersReachNoCaller() {
    constexpr const char* kEngineFaults[] = {
        "cut-before-first-byte", "cut-mid-event", "cut-before-marker",
        "cut-after-marker",      "wrong-attempt", "doubled-event",
        "skipped-event",         "refuse-500",    "refuse-503",
        "fail-after-run",        "silent",
    };
    constexpr const char* kServiceFaults[] = {
        "cut-before-first-byte",
        "cut-mid-event",
        "wrong-attempt",
        "refuse-500",
        "refuse-503",
        "fail-after-run",
    };
    Run([&](Fleet& fleet) {
      for (auto& it : fleet.engines()) {
        for (const char* fault : kEngineFaults) {
          Fleet::InjectFault(
              it, std::string(R"({"fault": ")") + fault + R"(", "after": 3})");
        }
      }
      for (auto& it : fleet.services()) {
        for (const char* fault : kServiceFaults) {
          Fleet::InjectFault(it,
                             std::string(R"({"fault": ")") + fault + R"("})");
        }
      }
      Traffic traffic(StandardMix(fleet, seconds(10)), 11);
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples);
      RequireMostComplete(samples);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                           fleet.FetchAllRuns().faults_waiting);
    });
  }

  // The caller sends the poison request repeatedly to one VM.
  void PoisonRequestCrashesAtMostTwoEngines() {
    Run([](Fleet& fleet) {
      Traffic traffic(StandardMix(fleet, seconds(4)), 7);
      AwaitMoreRequests(fleet);
      standin::HttpCall call;
      call.method = "POST";
      call.address = fleet.vms()[0].callers;
      call.path = "/v1/completions";
      call.headers = {{"Authorization", "Bearer sk-hall-b"}};
      call.body = R"({"model": "tagger", "prompt": "a POISON prompt",
                      "max_tokens": 8, "user": "poison"})";
      call.timeout = seconds(60);
      for (int n = 0; n < 5; ++n) {
        const auto answer = standin::PerformCall(call);
        CPPUNIT_ASSERT(answer.status != 200);
      }
      const auto& samples = traffic.Join();
      CPPUNIT_ASSERT(fleet.FetchAllRuns().crashes <= 2);
      CheckInvariants(fleet, samples);
      RequireMostComplete(samples);
    });
  }

  void AllVmsRestartedTogetherAnswerEveryRequest() {
    Run([](Fleet& fleet) {
      for (auto& it : fleet.vms()) {
        it.process->Signal(SIGKILL);
      }
      for (std::size_t n = 0; n < fleet.vms().size(); ++n) {
        fleet.RestartVm(n);
      }
      fleet.AwaitServing();
      Traffic traffic(StandardMix(fleet, seconds(2)), 8);
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples);
      CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(samples.size()),
                           CountOutcome(samples, AnswerOutcome::kComplete));
    });
  }

  // The key is withdrawn while its callers are connected and receive streams.
  void WithdrawnKeyIsRefusedByEveryVm() {
    Run([](Fleet& fleet) {
      Traffic traffic(LongAnswers(StandardMix(fleet, seconds(4))), 12);
      AwaitMoreRequests(fleet);
      const auto answer =
          fleet.CallOperatorApi(1, "POST", "/operator/keys/withdraw",
                                R"({"operation_id": "w", "key": "hall-b-1"})");
      CPPUNIT_ASSERT_MESSAGE(answer,
                             answer.find("committed") != std::string::npos);
      for (std::size_t n = 0; n < fleet.vms().size(); ++n) {
        CPPUNIT_ASSERT(Eventually(
            [&] { return StatusFor(fleet, n, "sk-hall-b") == 401; }));
      }
      const auto& samples = traffic.Join();
      CheckInvariants(fleet, samples);
      // Streams that ran at the withdrawal ended with an explicit error.
      CPPUNIT_ASSERT(CountOutcome(samples, AnswerOutcome::kExplicitError) > 0);
      for (const auto& it : samples) {
        CPPUNIT_ASSERT_MESSAGE(
            it.tag,
            it.organisation == 1 || it.outcome == AnswerOutcome::kComplete);
      }
      for (std::size_t n = 0; n < fleet.vms().size(); ++n) {
        CPPUNIT_ASSERT_EQUAL(401, StatusFor(fleet, n, "sk-hall-b"));
        fleet.vms()[n].process->Signal(SIGKILL);
        fleet.RestartVm(n);
        fleet.AwaitServing(n);
        CPPUNIT_ASSERT_EQUAL(401, StatusFor(fleet, n, "sk-hall-b"));
      }
    });
  }

  // The VM, the engine and the service of one zone are killed together.
  void LostZoneLeavesTheOthersServing() {
    Run([](Fleet& fleet) {
      Traffic traffic(StandardMix(fleet, seconds(4)), 9);
      AwaitMoreRequests(fleet);
      for (auto* endpoints : {&fleet.engines(), &fleet.services()}) {
        auto& it = endpoints->front();
        it.process->Signal(SIGKILL);
      }
      fleet.vms()[0].process->Signal(SIGKILL);
      const auto& samples = traffic.Join();
      fleet.engines()[0].process.reset();
      fleet.services()[0].process.reset();
      CheckInvariants(fleet, samples, {{0}, {}});
      fleet.AwaitServing(1);
      fleet.AwaitServing(2);
    });
  }

 private:
  // Runs `body` with a fleet of three zones, each with a VM, an engine
  // and a service. The VMs are replicas of the control log if `control` is set;
  // otherwise they read their declarations from files.
  static void Run(const std::function<void(Fleet& fleet)>& body,
                  bool control = true) {
    const std::vector<std::string> zones = {"ikeja", "lekki", "yaba"};
    Fleet fleet({zones, control});
    fleet.KeepFolder();
    for (const auto& zone : zones) {
      fleet.AddEngine(zone);
      fleet.AddService(zone);
    }
    fleet.AwaitServing();
    body(fleet);
    fleet.DropFolder();
  }

  // Makes the answers so long that a process which ended without waiting for
  // them would interrupt some.
  static load::Mix LongAnswers(load::Mix mix) {
    for (auto& it : mix.organisations) {
      it.answer_tokens = 400;
      it.max_tokens = 512;
      it.requests_per_second = 8;
    }
    return mix;
  }

  // Waits until the endpoints have started kSomeRequests further requests.
  static void AwaitMoreRequests(Fleet& fleet) {
    constexpr std::size_t kSomeRequests = 20;
    const auto before = fleet.FetchAllRuns().by_tag.size();
    CPPUNIT_ASSERT(Eventually([&] {
      return fleet.FetchAllRuns().by_tag.size() >= before + kSomeRequests;
    }));
  }

  static void RequireAllComplete(
      const Fleet& fleet,
      const std::function<load::Mix(const Fleet&, Duration)>& mix,
      std::uint64_t seed) {
    Traffic traffic(mix(fleet, seconds(3)), seed);
    const auto& samples = traffic.Join();
    CheckInvariants(fleet, samples);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(samples.size()),
                         CountOutcome(samples, AnswerOutcome::kComplete));
  }

  static int StatusFor(const Fleet& fleet,
                       std::size_t vm,
                       const std::string& key) {
    standin::HttpCall call;
    call.method = "POST";
    call.address = fleet.entries()[vm];
    call.path = "/v1/completions";
    call.headers = {{"Authorization", "Bearer " + key}};
    call.body = R"({"model": "tagger", "prompt": "hi", "max_tokens": 1})";
    return standin::PerformCall(call).status;
  }

  static void RequireMostComplete(
      const std::vector<load::RequestSample>& samples) {
    const auto complete = CountOutcome(samples, AnswerOutcome::kComplete);
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(complete) + " of " + std::to_string(samples.size()),
        complete * 2 > static_cast<std::int64_t>(samples.size()));
  }

  // Requires a complete answer to each request that entered at a VM not in
  // `entries`.
  static void RequireCompleteExcept(
      const std::vector<load::RequestSample>& samples,
      const std::set<std::size_t>& entries) {
    for (const auto& it : samples) {
      CPPUNIT_ASSERT_MESSAGE(
          it.tag + " " + it.code,
          it.outcome == AnswerOutcome::kComplete || entries.contains(it.entry));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WholeProgramTest);

}  // namespace baobabrun::testsuite
