// Generates traffic and checks the invariants.
#include "traffic.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <utility>

namespace baobabrun::testsuite {
namespace {

using load::AnswerOutcome;

constexpr std::int64_t kRequestsPerSecond = 20;

load::OrganisationLoad StandardLoad(const std::string& organisation) {
  load::OrganisationLoad out;
  out.organisation = organisation;
  out.key = "sk-" + organisation;
  out.model = "tagger";
  out.requests_per_second = kRequestsPerSecond;
  out.prompt_bytes = 2048;
  out.answer_tokens = 24;
  out.max_tokens = 64;
  out.stream_percent = 70;
  out.service_percent = 15;
  out.service_path = "/bookings/";
  return out;
}

// Returns the first seed of this run. scripts/soak sets a different one for
// each round.
std::uint64_t BaseSeed() {
  constexpr std::uint64_t kCasesPerRound = 1000;
  const char* text = std::getenv("BAOBABRUN_TESTSUITE_SEED");
  return text == nullptr ? 0
                         : std::strtoull(text, nullptr, 10) * kCasesPerRound;
}

std::string Describe(const load::RequestSample& sample) {
  return fmt::format(
      "{}: {}, status {}, code {}, entry {}, after {} ms", sample.tag,
      NameOf<AnswerOutcome>(load::AnswerOutcomeNames(), sample.outcome),
      sample.status, sample.code, sample.entry,
      std::chrono::duration_cast<milliseconds>(sample.end).count());
}

void PrintOutcomes(const std::vector<load::RequestSample>& samples) {
  std::string text;
  for (const auto& it : load::AnswerOutcomeNames()) {
    const auto n = CountOutcome(samples, it.value);
    if (n > 0) {
      text += fmt::format(" {} {}", it.name, n);
    }
  }
  std::map<std::string, int> codes;
  for (const auto& it : samples) {
    ++codes[it.code];
  }
  codes.erase("");
  for (const auto& [code, n] : codes) {
    text += fmt::format(", code {} {}", code, n);
  }
  fmt::print(stderr, " ({} requests:{})", samples.size(), text);
}

bool IsAllowed(const load::RequestSample& sample,
               const Allowances& allowances) {
  const bool broken = allowances.broken_entries.contains(sample.entry);
  const bool absent = allowances.absent_entries.contains(sample.entry);
  switch (sample.outcome) {
    case AnswerOutcome::kNotConnected:
      return broken || absent;
    case AnswerOutcome::kEndedEarly:
    case AnswerOutcome::kNoAnswer:
      return broken;
    case AnswerOutcome::kWrong:
    case AnswerOutcome::kRanTwice:
    case AnswerOutcome::kTimeout:
      return false;
    case AnswerOutcome::kComplete:
    case AnswerOutcome::kNotRun:
    case AnswerOutcome::kRefused:
    case AnswerOutcome::kExplicitError:
      break;
  }
  return true;
}

}  // namespace

load::Mix StandardMix(const Fleet& fleet, Duration duration) {
  load::Mix mix;
  mix.entries = fleet.entries();
  mix.duration = duration;
  mix.drain = seconds(120);
  mix.prefixes.level_bytes = 512;
  mix.prefixes.fan_out = {2, 4};
  mix.organisations = {StandardLoad("hall-a"), StandardLoad("hall-b")};
  return mix;
}

Traffic::Traffic(load::Mix mix, std::uint64_t seed)
    : mix_(std::move(mix)),
      schedule_(load::MakeSchedule(mix_, BaseSeed() + seed)) {
  auto thread = DutyThread::Start(
      "traffic", [this] { samples_ = load::RunSchedule(mix_, schedule_); });
  CPPUNIT_ASSERT(thread.ok());
  thread_ = std::move(thread.value());
}

const std::vector<load::RequestSample>& Traffic::Join() {
  thread_->Join();
  return samples_;
}

std::int64_t CountOutcome(const std::vector<load::RequestSample>& samples,
                          load::AnswerOutcome outcome) {
  return std::count_if(
      samples.begin(), samples.end(),
      [outcome](const auto& it) { return it.outcome == outcome; });
}

void CheckInvariants(const Fleet& fleet,
                     const std::vector<load::RequestSample>& samples,
                     const Allowances& allowances) {
  PrintOutcomes(samples);
  const auto runs = fleet.FetchAllRuns();
  CPPUNIT_ASSERT_EQUAL_MESSAGE("keys seen by endpoints", std::int64_t{0},
                               runs.keys_seen);
  std::string broken;
  for (const auto& it : samples) {
    if (!IsAllowed(it, allowances)) {
      broken += Describe(it) + "\n";
    }
    const auto run = runs.by_tag.find(it.tag);
    const auto started = run == runs.by_tag.end() ? 0 : run->second.started;
    if (it.outcome == AnswerOutcome::kNotRun && started > 0) {
      broken += Describe(it) + ", but it has run\n";
    }
    if (it.kind == load::PlannedKind::kService && started > 1) {
      broken += Describe(it) + ", run " + std::to_string(started) + " times\n";
    }
  }
  CPPUNIT_ASSERT_MESSAGE(broken, broken.empty());
}

}  // namespace baobabrun::testsuite
