// Checksummed frames of the control library's files. See log_store.h.
#ifndef CONTROL_FRAME_H_
#define CONTROL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace baobabrun {

void AppendFrame(std::string_view payload,
                 std::uint64_t synced,
                 std::string* out);

// Returns the payloads of a file's frames as views into `bytes`, without end
// frames. A torn tail is ignored. Error: kCorrupt with `file` and the offset.
Result<std::vector<std::string_view>> ReadFrames(std::string_view bytes,
                                                 std::string_view file);

}  // namespace baobabrun

#endif  // CONTROL_FRAME_H_
