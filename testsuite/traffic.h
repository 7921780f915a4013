// Callers' traffic during a whole-program test case, and the invariants that
// are checked after every case.
#ifndef TESTSUITE_TRAFFIC_H_
#define TESTSUITE_TRAFFIC_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/thread.h"
#include "fleet.h"
#include "load/load_run.h"

namespace baobabrun::testsuite {

// Returns a mix of streamed answers, whole answers and bookings of two
// organisations, sent to all VMs.
load::Mix StandardMix(const Fleet& fleet, Duration duration);

// Runs a mix in a background thread.
class Traffic {
 public:
  Traffic(load::Mix mix, std::uint64_t seed);
  // Waits for the last answer and returns the samples of all requests.
  const std::vector<load::RequestSample>& Join();

 private:
  load::Mix mix_;
  std::vector<load::PlannedRequest> schedule_;
  std::vector<load::RequestSample> samples_;
  std::unique_ptr<DutyThread> thread_;
};

std::int64_t CountOutcome(const std::vector<load::RequestSample>& samples,
                          load::AnswerOutcome outcome);

// Failures that CheckInvariants accepts, by the VM at which a request entered.
struct Allowances {
  // Entries whose process was killed or stopped. Connections of their callers
  // may break.
  std::set<std::size_t> broken_entries;
  // Entries whose process was down for a time. Callers may fail to connect.
  std::set<std::size_t> absent_entries;
};

// Checks what must hold whichever process fails. Every request gets an answer.
// An answer is complete, in order, belongs to its request and arrives once. A
// request that is answered "not run" has run on no endpoint, and a request to a
// service runs at most once. No endpoint has seen a caller's key. Outcomes that
// `allowances` covers are accepted.
void CheckInvariants(const Fleet& fleet,
                     const std::vector<load::RequestSample>& samples,
                     const Allowances& allowances = {});

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_TRAFFIC_H_
