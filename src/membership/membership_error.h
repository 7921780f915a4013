// Errors of the membership module.
#ifndef MEMBERSHIP_MEMBERSHIP_ERROR_H_
#define MEMBERSHIP_MEMBERSHIP_ERROR_H_

#include <system_error>

namespace baobabrun {

enum class MembershipError { kBind = 1, kKeys, kThread, kMalformed };

std::error_code make_error_code(MembershipError error);

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::MembershipError> : std::true_type {};

#endif  // MEMBERSHIP_MEMBERSHIP_ERROR_H_
