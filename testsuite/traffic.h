// Callers' traffic during a whole-program case, and the checks that hold after
// any case.
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

// Streams, whole answers and bookings of two organisations, to all VMs.
load::Mix StandardMix(const Fleet& fleet, Duration duration);

// Runs a mix in the background.
class Traffic {
 public:
  Traffic(load::Mix mix, std::uint64_t seed);
  // Waits for the last answer.
  const std::vector<load::Sample>& Join();

 private:
  load::Mix mix_;
  std::vector<load::PlannedRequest> schedule_;
  std::vector<load::Sample> samples_;
  std::unique_ptr<DutyThread> thread_;
};

std::int64_t CountOutcome(const std::vector<load::Sample>& samples,
                          load::AnswerOutcome outcome);

struct Allowances {
  // Entries whose process was killed or stopped: their callers' connections
  // may break.
  std::set<std::size_t> broken_entries;
  // Entries that were down for a time: callers may find nobody there.
  std::set<std::size_t> absent_entries;
};

// What must hold whatever fails: answers whole, in order, their own and once; a
// "not run" is true; no endpoint saw a key; nothing is left without an answer.
void CheckInvariants(const Fleet& fleet,
                     const std::vector<load::Sample>& samples,
                     const Allowances& allowances = {});

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_TRAFFIC_H_
