// The error category of placement errors.
#include "placement/placement_error.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<PlacementError> kNames[] = {
    {PlacementError::kBadOptions, "invalid options"},
};

}  // namespace

std::error_code make_error_code(PlacementError error) {
  static const ErrorCategory<PlacementError> kCategory("placement", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun
