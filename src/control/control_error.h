// Errors of the control library. The error message names the file, replica or
// change concerned.
#ifndef CONTROL_CONTROL_ERROR_H_
#define CONTROL_CONTROL_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class ControlError {
  kMalformed = 1,  // the bytes can't be decoded as a message of this library
  kNotApplicable,  // the change can't be applied to the present state
  kCorrupt,        // a record of the log or of a snapshot is damaged
  kDiskFull,       // no space is left for the log
  kDisk,           // any other failure of the disk
  kBadOptions,     // a ControlNode can't be started with these options
};

std::error_code make_error_code(ControlError error);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::ControlError> : std::true_type {};

#endif  // CONTROL_CONTROL_ERROR_H_
