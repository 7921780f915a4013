// The plan of a load run: which request is due when, at which entry. A function
// of mix and seed alone. Arrivals don't depend on answers (open loop), so a
// slow router can't slow down its own measurement.
#ifndef LOAD_SCHEDULE_H_
#define LOAD_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "load/mix.h"

namespace baobabrun::load {

enum class PlannedKind { kChatStream, kCompletion, kService };

struct PlannedRequest {
  Duration at{};  // from the start of the run
  std::size_t organisation = 0;
  std::size_t entry = 0;
  PlannedKind kind = PlannedKind::kChatStream;
  std::string tag;                   // unique over the run
  std::vector<std::int32_t> prefix;  // the text taken at each level
};

std::vector<PlannedRequest> MakeSchedule(const Mix& mix, std::uint64_t seed);

// The prompt of a planned model call, `prompt_bytes` long or a little more. It
// ends in the tag and in a mark for the answer's length.
std::string PromptOf(const Mix& mix, const PlannedRequest& planned);

}  // namespace baobabrun::load

#endif  // LOAD_SCHEDULE_H_
