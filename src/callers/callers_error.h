// Error codes of the callers library.
#ifndef CALLERS_CALLERS_ERROR_H_
#define CALLERS_CALLERS_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class CallersError { kCannotListen = 1, kBadCertificate };

std::error_code make_error_code(CallersError error);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::CallersError> : std::true_type {};

#endif  // CALLERS_CALLERS_ERROR_H_
