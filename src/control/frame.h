// Checksummed frames of the control slice's files. See log_store.h.
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

// The payloads of a file's frames, as views into `bytes`; seals are left out. A
// torn tail is cut. Errors: kCorrupt naming `file` and the offset.
Result<std::vector<std::string_view>> ReadFrames(std::string_view bytes,
                                                 std::string_view file);

}  // namespace baobabrun

#endif  // CONTROL_FRAME_H_
