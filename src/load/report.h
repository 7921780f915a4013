// The report of a load run: request counts and latencies for each organisation.
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

// All latencies, in microseconds, in ascending order.
struct Latencies {
  std::vector<std::int64_t> microseconds;

  // Returns the smallest latency that at least `permille` thousandths of the
  // latencies don't exceed; 0 if there are none.
  std::int64_t Quantile(std::int32_t permille) const;
};

struct RequestStats {
  std::int64_t requests = 0;
  std::map<AnswerOutcome, std::int64_t> outcomes;
  std::map<std::string, std::int64_t> codes;  // requests by error code
  Latencies first_text;                       // of complete streams only
  Latencies end;                              // of complete answers only
  // Requests refused because of the rate although the organisation stays within
  // its rate.
  std::int64_t wrongful_refusals = 0;
};

struct Report {
  std::uint64_t seed = 0;
  double seconds = 0;  // length of the run
  // By organisation; the key "all" has the sums.
  std::map<std::string, RequestStats> organisations;
  std::int64_t violations = 0;
  Latencies send_delay;  // from the scheduled time to the actual start
};

Report MakeReport(const Mix& mix,
                  const std::vector<RequestSample>& samples,
                  std::uint64_t seed);

std::string ToTable(const Report& report);
std::string ToJson(const Report& report);
// Errors: std::errc::invalid_argument.
Result<Report> ParseReport(std::string_view json, std::string_view source);
// Returns a table of both reports with the relative change from `a` to `b`.
std::string CompareTable(const Report& a, const Report& b);
// Returns an HTML page with histograms that loads no other files.
std::string ToHtml(const Report& report);

}  // namespace baobabrun::load

#endif  // LOAD_REPORT_H_
