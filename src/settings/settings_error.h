// Errors of settings and declarations. The message contains the file and JSON
// path.
#ifndef SETTINGS_SETTINGS_ERROR_H_
#define SETTINGS_SETTINGS_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class SettingsError { kUnreadable = 1, kNotJson, kInvalid };

std::error_code make_error_code(SettingsError error);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::SettingsError> : std::true_type {};

#endif  // SETTINGS_SETTINGS_ERROR_H_
