// Carries out a schedule: sends each request at its time, whatever has become
// of those before, and checks the answers. One thread, libcurl's multi
// interface.
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

// What became of one planned request. Times count from its scheduled instant,
// so a late start is part of them.
struct Sample {
  std::size_t organisation = 0;
  std::size_t entry = 0;
  PlannedKind kind = PlannedKind::kChatStream;
  std::string tag;
  AnswerOutcome outcome = AnswerOutcome::kNoAnswer;
  int status = 0;
  std::string code;       // of a refusal
  Duration send_delay{};  // how late the tool itself was
  Duration first_text{};  // zero if none came
  Duration end{};
};

// One sample for each planned request, in their order.
std::vector<Sample> RunSchedule(const Mix& mix,
                                const std::vector<PlannedRequest>& schedule);

}  // namespace baobabrun::load

#endif  // LOAD_LOAD_RUN_H_
