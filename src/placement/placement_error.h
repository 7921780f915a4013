// Error codes of the placement library.
#ifndef PLACEMENT_PLACEMENT_ERROR_H_
#define PLACEMENT_PLACEMENT_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class PlacementError {
  kBadOptions = 1,
};

std::error_code make_error_code(PlacementError error);  // NOLINT

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::PlacementError> : std::true_type {};

#endif  // PLACEMENT_PLACEMENT_ERROR_H_
