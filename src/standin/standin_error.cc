// Names of the stand-ins' error codes.
#include "standin/standin_error.h"

#include "base/error.h"

namespace baobabrun::standin {
namespace {

constexpr NameEntry<StandinError> kNames[] = {
    {StandinError::kInvalidOption, "invalid option"},
    {StandinError::kQueueFull, "queue full"},
    {StandinError::kDuplicate, "duplicate request"},
    {StandinError::kListen, "can't listen"},
};

}  // namespace

std::error_code make_error_code(StandinError error) {
  static const ErrorCategory<StandinError> kCategory("standin", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun::standin
