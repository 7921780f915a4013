// Texts of the membership module's errors.
#include "membership/membership_error.h"

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<MembershipError> kNames[] = {
    {MembershipError::kBind, "cannot listen for peers"},
    {MembershipError::kKeys, "bad keys"},
    {MembershipError::kThread, "cannot start the thread"},
    {MembershipError::kMalformed, "malformed message"},
};

}  // namespace

std::error_code make_error_code(MembershipError error) {
  static const ErrorCategory<MembershipError> kCategory("membership", kNames);
  return kCategory.Code(error);
}

}  // namespace baobabrun
