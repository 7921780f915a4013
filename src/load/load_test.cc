// Tests the schedule, the answer checks and the reports of the load tool.
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "load/answer_check.h"
#include "load/report.h"
#include "load/schedule.h"
#include "standin/engine_server.h"

namespace baobabrun::load {
namespace {

constexpr char kMix[] = R"({
  // Two organisations; the second one sends more than its rate allows.
  "entries": ["127.0.0.1:1", "127.0.0.1:2"],
  "duration_ms": 10000,
  "prefixes": {"level_bytes": 256, "fan_out": [2, 8], "zipf_permille": 1000},
  "organisations": [
    {"organisation": "hall-a", "key": "sk-a", "model": "tagger",
     "requests_per_second": 100, "prompt_bytes": 1024, "answer_tokens": 5,
     "stream_percent": 50},
    {"organisation": "hall-b", "key": "sk-b", "model": "tagger",
     "requests_per_second": 20, "over_rate": true}
  ]})";

Mix TestMix() {
  auto mix = ParseMix(kMix, "mix");
  CPPUNIT_ASSERT(mix.ok());
  return mix.value();
}

std::string Chunk(int id, const std::string& text) {
  return "id: " + std::to_string(id) +
         "\ndata: {\"choices\":[{\"delta\":{\"content\":\"" + text +
         "\"},\"finish_reason\":null}]}\n\n";
}

std::string LastChunk(int id) {
  return "id: " + std::to_string(id) +
         "\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}"
         "\n\n";
}

constexpr char kDone[] = "data: [DONE]\n\n";
constexpr char kError[] =
    "event: error\ndata: {\"error\":{\"code\":\"endpoint_failed\"}}\n\n";

}  // namespace

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(ScheduleDependsOnlyOnTheSeed);
  CPPUNIT_TEST(PromptsShareTheirPrefixes);
  CPPUNIT_TEST(StreamOutcomes);
  CPPUNIT_TEST(CompletionAndServiceOutcomes);
  CPPUNIT_TEST(QuantilesAndWrongfulRefusals);
  CPPUNIT_TEST(WrittenReportIsParsedAndCompared);
  CPPUNIT_TEST(MixErrorContainsFileAndPath);
  CPPUNIT_TEST(RunCountsStreamsWithSkippedEventAsViolations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ScheduleDependsOnlyOnTheSeed() {
    const auto mix = TestMix();
    const auto first = MakeSchedule(mix, 7);
    const auto again = MakeSchedule(mix, 7);
    const auto other = MakeSchedule(mix, 8);
    CPPUNIT_ASSERT_EQUAL(first.size(), again.size());
    for (std::size_t n = 0; n < first.size(); ++n) {
      CPPUNIT_ASSERT(first[n].at == again[n].at);
      CPPUNIT_ASSERT_EQUAL(first[n].tag, again[n].tag);
      CPPUNIT_ASSERT(n == 0 || first[n - 1].at <= first[n].at);
    }
    CPPUNIT_ASSERT(first.front().at != other.front().at);
    // The expected number is 1,200; five standard deviations are 173.
    CPPUNIT_ASSERT(first.size() > 1000 && first.size() < 1400);
  }

  void PromptsShareTheirPrefixes() {
    const auto mix = TestMix();
    PlannedRequest left;
    left.tag = "left";
    left.prefix = {1, 3};
    PlannedRequest right = left;
    right.tag = "right";
    right.prefix = {1, 4};
    const auto a = PromptOf(mix, left);
    const auto b = PromptOf(mix, right);
    CPPUNIT_ASSERT(a.size() >= 1024);
    CPPUNIT_ASSERT_EQUAL(a.substr(0, 256), b.substr(0, 256));
    CPPUNIT_ASSERT(a.substr(256, 256) != b.substr(256, 256));
    right.organisation = 1;
    CPPUNIT_ASSERT(a.substr(0, 256) != PromptOf(mix, right).substr(0, 256));
  }

  void StreamOutcomes() {
    struct Row {
      const char* label;
      std::string body;
      bool message_complete;
      AnswerOutcome outcome;
    };
    const Row rows[] = {
        {"whole", Chunk(1, "ab") + Chunk(2, "cd") + LastChunk(3) + kDone, true,
         AnswerOutcome::kComplete},
        {"no [DONE]", Chunk(1, "ab") + Chunk(2, "cd") + LastChunk(3), true,
         AnswerOutcome::kEndedEarly},
        {"cut", Chunk(1, "ab"), false, AnswerOutcome::kEndedEarly},
        {"gap", Chunk(1, "ab") + Chunk(3, "cd") + LastChunk(4) + kDone, true,
         AnswerOutcome::kWrong},
        {"repetition", Chunk(1, "ab") + Chunk(1, "ab") + kDone, true,
         AnswerOutcome::kWrong},
        {"another request's text", Chunk(1, "xy") + LastChunk(2) + kDone, true,
         AnswerOutcome::kWrong},
        {"text too short", Chunk(1, "ab") + LastChunk(2) + kDone, true,
         AnswerOutcome::kWrong},
        {"event after [DONE]",
         Chunk(1, "abcd") + LastChunk(2) + kDone + Chunk(3, "ab"), true,
         AnswerOutcome::kWrong},
        {"error event", Chunk(1, "ab") + kError, true,
         AnswerOutcome::kExplicitError},
        {"error event and cut", Chunk(1, "ab") + kError, false,
         AnswerOutcome::kExplicitError},
    };
    for (const auto& row : rows) {
      AnswerCheck check(PlannedKind::kChatStream, "t", "abcd");
      // Adds single bytes, since a read may end at any byte.
      for (const char c : row.body) {
        check.AddBytes(200, {&c, 1});
      }
      CPPUNIT_ASSERT_MESSAGE(
          row.label, row.outcome == check.Finish(200, row.message_complete));
    }
  }

  void CompletionAndServiceOutcomes() {
    struct Row {
      PlannedKind kind;
      int status;
      bool message_complete;
      const char* body;
      AnswerOutcome outcome;
    };
    const Row rows[] = {
        {PlannedKind::kCompletion, 200, true,
         R"({"choices":[{"text":"abcd"}]})", AnswerOutcome::kComplete},
        {PlannedKind::kCompletion, 200, true, R"({"choices":[{"text":"abc"}]})",
         AnswerOutcome::kWrong},
        {PlannedKind::kCompletion, 200, false, R"({"choices":[{"te)",
         AnswerOutcome::kEndedEarly},
        {PlannedKind::kCompletion, 429, true,
         R"({"error":{"code":"rate_exceeded","not_run":true}})",
         AnswerOutcome::kNotRun},
        {PlannedKind::kCompletion, 503, true,
         R"({"error":{"code":"endpoint_failed","not_run":false}})",
         AnswerOutcome::kRefused},
        {PlannedKind::kCompletion, 0, false, "", AnswerOutcome::kNoAnswer},
        {PlannedKind::kService, 200, true,
         R"({"tag":"t","echo":"abcd","run":1})", AnswerOutcome::kComplete},
        {PlannedKind::kService, 200, true,
         R"({"tag":"t","echo":"abcd","run":2})", AnswerOutcome::kRanTwice},
        {PlannedKind::kService, 200, true,
         R"({"tag":"u","echo":"abcd","run":1})", AnswerOutcome::kWrong},
    };
    for (const auto& row : rows) {
      AnswerCheck check(row.kind, "t", "abcd");
      check.AddBytes(row.status, row.body);
      CPPUNIT_ASSERT_MESSAGE(
          row.body,
          row.outcome == check.Finish(row.status, row.message_complete));
    }
  }

  void QuantilesAndWrongfulRefusals() {
    Latencies latencies;
    for (int n = 1; n <= 200; ++n) {
      latencies.microseconds.push_back(n);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{100}, latencies.Quantile(500));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{198}, latencies.Quantile(990));
    const auto report = TestReport();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, report.violations);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1},
                         report.organisations.at("hall-a").wrongful_refusals);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                         report.organisations.at("hall-b").wrongful_refusals);
  }

  void WrittenReportIsParsedAndCompared() {
    const auto report = TestReport();
    const auto text = ToJson(report);
    const auto parsed = ParseReport(text, "a.json");
    CPPUNIT_ASSERT(parsed.ok());
    CPPUNIT_ASSERT_EQUAL(text, ToJson(parsed.value()));
    CPPUNIT_ASSERT(!ParseReport("{}", "b.json").ok());
    const auto table = CompareTable(report, parsed.value());
    CPPUNIT_ASSERT(table.find("hall-a") != std::string::npos);
    CPPUNIT_ASSERT(table.find("+0.0%") != std::string::npos);
    CPPUNIT_ASSERT(ToHtml(report).find("<svg") != std::string::npos);
  }

  void MixErrorContainsFileAndPath() {
    const auto mix = ParseMix(
        R"({"organisations": [{"organisation": "a", "rate": 5}]})", "m.json");
    CPPUNIT_ASSERT(!mix.ok());
    const auto& message = mix.error().message;
    CPPUNIT_ASSERT_MESSAGE(message,
                           message.find("m.json") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
        message, message.find("organisations/0") != std::string::npos);
  }

  // The engine skips an event in each stream, so every stream must count as a
  // violation and every other answer as complete.
  void RunCountsStreamsWithSkippedEventAsViolations() {
    standin::EngineServerOptions options;
    options.listen = {"127.0.0.1", 0};
    options.name = EndpointId("engine-1");
    options.zone = ZoneId("ikeja");
    options.models = {{ModelId("tagger"), "v3", ""}};
    options.engine.decode_step = Duration(100'000);
    options.engine.decode_per_request = Duration(0);
    options.engine.prefill_per_token = Duration(1);
    options.engine.slots = 64;
    options.faults = {{{standin::FaultKind::kSkippedEvent, 1, 0}, 200}};
    const auto server = standin::EngineServer::Start(options);
    CPPUNIT_ASSERT(server.ok());
    auto mix = TestMix();
    mix.entries = {server.value()->address()};
    mix.duration = milliseconds(500);
    const auto schedule = MakeSchedule(mix, 3);
    const auto samples = RunSchedule(mix, schedule);
    CPPUNIT_ASSERT_EQUAL(schedule.size(), samples.size());
    std::int64_t streams = 0;
    std::int64_t complete = 0;
    for (const auto& it : samples) {
      streams += it.kind == PlannedKind::kChatStream ? 1 : 0;
      complete += it.outcome == AnswerOutcome::kComplete ? 1 : 0;
    }
    const auto report = MakeReport(mix, samples, 3);
    CPPUNIT_ASSERT(streams > 0);
    CPPUNIT_ASSERT_EQUAL(streams, report.violations);
    CPPUNIT_ASSERT_EQUAL(static_cast<std::int64_t>(samples.size()) - streams,
                         complete);
  }

 private:
  static Report TestReport() {
    std::vector<RequestSample> samples(4);
    samples[0].outcome = AnswerOutcome::kComplete;
    samples[0].first_text = milliseconds(3);
    samples[0].end = milliseconds(9);
    samples[1].outcome = AnswerOutcome::kNotRun;
    samples[1].code = "rate_exceeded";
    samples[2] = samples[1];
    samples[2].organisation = 1;
    samples[3].outcome = AnswerOutcome::kEndedEarly;
    return MakeReport(TestMix(), samples, 5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace baobabrun::load
