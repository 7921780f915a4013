// Builds reports, prints them as a table and compares two of them.
#include "load/report.h"

#include <fmt/core.h>

#include <algorithm>

namespace baobabrun::load {
namespace {

constexpr char kAll[] = "all";
constexpr std::int32_t kP50Permille = 500;
constexpr std::int32_t kP99Permille = 990;
constexpr std::int32_t kPermille = 1000;
constexpr double kMicrosecondsPerMillisecond = 1000.0;

std::int64_t Microseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration)
      .count();
}

double ToMilliseconds(std::int64_t microseconds) {
  return static_cast<double>(microseconds) / kMicrosecondsPerMillisecond;
}

void Sort(Latencies& latencies) {
  std::sort(latencies.microseconds.begin(), latencies.microseconds.end());
}

void AddSample(const RequestSample& sample, bool over_rate, RequestStats* out) {
  ++out->requests;
  ++out->outcomes[sample.outcome];
  if (!sample.code.empty()) {
    ++out->codes[sample.code];
  }
  if (sample.code == "rate_exceeded" && !over_rate) {
    ++out->wrongful_refusals;
  }
  if (sample.outcome != AnswerOutcome::kComplete) {
    return;
  }
  if (sample.kind == PlannedKind::kChatStream) {
    out->first_text.microseconds.push_back(Microseconds(sample.first_text));
  }
  out->end.microseconds.push_back(Microseconds(sample.end));
}

std::int64_t OutcomeCount(const RequestStats& stats, AnswerOutcome outcome) {
  const auto it = stats.outcomes.find(outcome);
  return it == stats.outcomes.end() ? 0 : it->second;
}

std::string CompareLine(const std::string& name,
                        const char* what,
                        double a,
                        double b) {
  const double change = a == 0 ? 0 : (b - a) / a * 100;
  return fmt::format("{:<16} {:<18} {:>12.3f} {:>12.3f} {:>+9.1f}%\n", name,
                     what, a, b, change);
}

}  // namespace

std::int64_t Latencies::Quantile(std::int32_t permille) const {
  if (microseconds.empty()) {
    return 0;
  }
  const auto n = microseconds.size();
  const auto rank = (n * permille + kPermille - 1) / kPermille;
  return microseconds[std::clamp<std::size_t>(rank, 1, n) - 1];
}

Report MakeReport(const Mix& mix,
                  const std::vector<RequestSample>& samples,
                  std::uint64_t seed) {
  Report report;
  report.seed = seed;
  report.seconds = std::chrono::duration<double>(mix.duration).count();
  for (const auto& it : samples) {
    const auto& load = mix.organisations[it.organisation];
    AddSample(it, load.over_rate, &report.organisations[load.organisation]);
    AddSample(it, load.over_rate, &report.organisations[kAll]);
    report.violations += IsViolation(it.outcome) ? 1 : 0;
    report.send_delay.microseconds.push_back(Microseconds(it.send_delay));
  }
  for (auto& [name, stats] : report.organisations) {
    Sort(stats.first_text);
    Sort(stats.end);
  }
  Sort(report.send_delay);
  return report;
}

std::string ToTable(const Report& report) {
  std::string out = fmt::format(
      "seed {}, {:.1f} s; latencies from the scheduled time, in ms\n"
      "{:<16} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9}\n",
      report.seed, report.seconds, "organisation", "requests", "complete",
      "not_run", "wrongful", "text p50", "text p99", "end p50", "end p99");
  for (const auto& [name, it] : report.organisations) {
    out += fmt::format(
        "{:<16} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} {:>9.2f}\n",
        name, it.requests, OutcomeCount(it, AnswerOutcome::kComplete),
        OutcomeCount(it, AnswerOutcome::kNotRun), it.wrongful_refusals,
        ToMilliseconds(it.first_text.Quantile(kP50Permille)),
        ToMilliseconds(it.first_text.Quantile(kP99Permille)),
        ToMilliseconds(it.end.Quantile(kP50Permille)),
        ToMilliseconds(it.end.Quantile(kP99Permille)));
  }
  for (const auto& [outcome, n] : report.organisations.at(kAll).outcomes) {
    out += fmt::format("{}: {}\n",
                       NameOf<AnswerOutcome>(AnswerOutcomeNames(), outcome), n);
  }
  for (const auto& [code, n] : report.organisations.at(kAll).codes) {
    out += fmt::format("code {}: {}\n", code, n);
  }
  out += fmt::format("violations: {}; send delay p99 {:.2f} ms\n",
                     report.violations,
                     ToMilliseconds(report.send_delay.Quantile(kP99Permille)));
  return out;
}

std::string CompareTable(const Report& a, const Report& b) {
  std::string out =
      fmt::format("{:<16} {:<18} {:>12} {:>12} {:>10}\n", "organisation",
                  "figure", "first", "second", "change");
  for (const auto& [name, left] : a.organisations) {
    const auto it = b.organisations.find(name);
    if (it == b.organisations.end()) {
      out += fmt::format("{:<16} only in the first\n", name);
      continue;
    }
    const auto& right = it->second;
    const auto complete = [](const RequestStats& stats) {
      return static_cast<double>(OutcomeCount(stats, AnswerOutcome::kComplete));
    };
    out += CompareLine(name, "requests", static_cast<double>(left.requests),
                       static_cast<double>(right.requests));
    out += CompareLine(name, "complete", complete(left), complete(right));
    out += CompareLine(name, "wrongful",
                       static_cast<double>(left.wrongful_refusals),
                       static_cast<double>(right.wrongful_refusals));
    out += CompareLine(name, "text p50 ms",
                       ToMilliseconds(left.first_text.Quantile(kP50Permille)),
                       ToMilliseconds(right.first_text.Quantile(kP50Permille)));
    out += CompareLine(name, "text p99 ms",
                       ToMilliseconds(left.first_text.Quantile(kP99Permille)),
                       ToMilliseconds(right.first_text.Quantile(kP99Permille)));
    out += CompareLine(name, "end p99 ms",
                       ToMilliseconds(left.end.Quantile(kP99Permille)),
                       ToMilliseconds(right.end.Quantile(kP99Permille)));
  }
  for (const auto& [name, stats] : b.organisations) {
    if (!a.organisations.contains(name)) {
      out += fmt::format("{:<16} only in the second\n", name);
    }
  }
  return out;
}

}  // namespace baobabrun::load
