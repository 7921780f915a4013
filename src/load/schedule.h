// The schedule of a load run: the time and the entry address of each request.
// It depends only on the mix and the seed. Requests are sent whether or not
// earlier answers have arrived (open loop), so a slow router doesn't reduce the
// load that it is measured under.
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
  std::string tag;                   // unique within the run
  std::vector<std::int32_t> prefix;  // index of the text of each level
};

// Returns the requests of the run in order of time.
std::vector<PlannedRequest> MakeSchedule(const Mix& mix, std::uint64_t seed);

// Returns the prompt of a planned model call. It begins with the shared prefix,
// is filled up to `prompt_bytes`, and ends with the tag and a marker that sets
// the length of the stand-in engine's answer.
std::string PromptOf(const Mix& mix, const PlannedRequest& planned);

}  // namespace baobabrun::load

#endif  // LOAD_SCHEDULE_H_
