// Errors of the control slice. The sentence names the file, replica or change
// concerned.
#ifndef CONTROL_CONTROL_ERROR_H_
#define CONTROL_CONTROL_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class ControlError {
  kMalformed = 1,  // bytes that aren't a message of this slice
  kUnfit,          // a change that doesn't fit the state
  kCorrupt,        // a record inside the log or a snapshot is damaged
  kDiskFull,       // no space is left for the log
  kDisk,           // any other failure of the disk
  kBadOptions,     // a ControlNode can't be started like this
};

std::error_code make_error_code(ControlError error);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::ControlError> : std::true_type {};

#endif  // CONTROL_CONTROL_ERROR_H_
