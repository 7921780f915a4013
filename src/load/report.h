// The figures of a load run, for each organisation and kind of request.
#ifndef LOAD_REPORT_H_
#define LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "load/load_run.h"

namespace baobabrun::load {

// Latencies in microseconds, kept whole; sorted.
struct Latencies {
  std::vector<std::int64_t> microseconds;

  // The smallest value that `permille` of a thousand don't exceed; 0 if empty.
  std::int64_t Quantile(std::int32_t permille) const;
};

struct Figures {
  std::int64_t requests = 0;
  std::map<AnswerOutcome, std::int64_t> outcomes;
  std::map<std::string, std::int64_t> codes;  // of refusals
  Latencies first_text;                       // of complete streams
  Latencies end;                              // of complete answers
  // Refused for rate although the organisation keeps to it.
  std::int64_t wrongful_refusals = 0;
};

struct Report {
  std::uint64_t seed = 0;
  double seconds = 0;
  std::map<std::string, Figures> organisations;  // and "all"
  std::int64_t violations = 0;
  Latencies send_delay;  // of the tool itself
};

Report MakeReport(const Mix& mix,
                  const std::vector<Sample>& samples,
                  std::uint64_t seed);

std::string ToTable(const Report& report);
std::string ToJson(const Report& report);
// Errors: std::errc::invalid_argument.
Result<Report> ParseReport(std::string_view json, std::string_view source);
// Differences of `b` from `a`, as a table.
std::string CompareTable(const Report& a, const Report& b);
// A page with the histograms, complete in itself.
std::string ToHtml(const Report& report);

}  // namespace baobabrun::load

#endif  // LOAD_REPORT_H_
