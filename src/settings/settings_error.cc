// Defines the names of SettingsError values.
#include "settings/settings_error.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<SettingsError> kNames[] = {
    {SettingsError::kUnreadable, "unreadable"},
    {SettingsError::kNotJson, "not JSON"},
    {SettingsError::kInvalid, "invalid"},
};

}  // namespace

std::error_code make_error_code(SettingsError error) {
  static const ErrorCategory<SettingsError> kCategory("settings", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun
