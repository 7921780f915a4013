// Names of the control library's errors.
#include "control/control_error.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<ControlError> kNames[] = {
    {ControlError::kMalformed, "malformed"},
    {ControlError::kNotApplicable, "change cannot be applied"},
    {ControlError::kCorrupt, "corrupt"},
    {ControlError::kDiskFull, "disk full"},
    {ControlError::kDisk, "disk failed"},
    {ControlError::kBadOptions, "bad options"},
};

}  // namespace

std::error_code make_error_code(ControlError error) {
  static const ErrorCategory<ControlError> kCategory("control", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun
