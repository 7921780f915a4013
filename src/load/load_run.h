// Runs a schedule: sends each request at its scheduled time, whether or not the
// earlier ones have ended, and checks the answers. A single thread sends all
// requests through libcurl's multi interface.
#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "load/answer_check.h"
#include "load/mix.h"
#include "load/schedule.h"

namespace baobabrun::load {

// The result of one planned request. Times count from the scheduled time, so
// they include a late start.
struct RequestSample {
  std::size_t organisation = 0;
  std::size_t entry = 0;
  PlannedKind kind = PlannedKind::kChatStream;
  std::string tag;
  AnswerOutcome outcome = AnswerOutcome::kNoAnswer;
  int status = 0;
  std::string code;       // error code; empty if there is none
  Duration send_delay{};  // from the scheduled time to the actual start
  Duration first_text{};  // zero if no text arrived
  Duration end{};         // until the end of the answer
};

// Returns one sample for each planned request, in the order of the schedule.
std::vector<RequestSample> RunSchedule(
    const Mix& mix,
    const std::vector<PlannedRequest>& schedule);

}  // namespace baobabrun::load

#endif  // LOAD_LOAD_RUN_H_
