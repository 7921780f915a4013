// Maps the error codes of the callers library to their names.
#include "callers/callers_error.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<CallersError> kNames[] = {
    {CallersError::kCannotListen, "cannot listen"},
    {CallersError::kBadCertificate, "bad certificate"},
};

}  // namespace

std::error_code make_error_code(CallersError error) {
  static const ErrorCategory<CallersError> kCategory("callers", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun
