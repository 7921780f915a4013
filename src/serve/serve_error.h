// Errors of the serving process.
#ifndef SERVE_SERVE_ERROR_H_
#define SERVE_SERVE_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class ServeError { kBadSettings = 1, kCannotStart };

std::error_code make_error_code(ServeError error);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::ServeError> : std::true_type {};

#endif  // SERVE_SERVE_ERROR_H_
