// Messages of the serving process's errors.
#include "serve/serve_error.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<ServeError> kNames[] = {
    {ServeError::kBadSettings, "invalid settings"},
    {ServeError::kCannotStart, "process cannot start"},
};

}  // namespace

std::error_code make_error_code(ServeError error) {
  static const ErrorCategory<ServeError> kCategory("serve", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun
