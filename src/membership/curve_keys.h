// Key pairs that authenticate and encrypt traffic between VMs (CURVE).
#ifndef MEMBERSHIP_CURVE_KEYS_H_
#define MEMBERSHIP_CURVE_KEYS_H_

#include <filesystem>
#include <string>

#include "base/error.h"

namespace baobabrun {

// Both in Z85, 40 characters each.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
};

// Draws a new pair. Errors: MembershipError::kKeys.
Result<CurveKeys> MakeCurveKeys();

// Reads the secret key in `file` and works out its public key. Fails if
// anybody but the owner may read the file.
Result<CurveKeys> ReadCurveKeys(const std::filesystem::path& file);

// Writes the secret key to a new `file` that only the owner may read. Fails if
// the file exists.
Status WriteCurveSecret(const std::filesystem::path& file,
                        const CurveKeys& keys);

}  // namespace baobabrun

#endif  // MEMBERSHIP_CURVE_KEYS_H_
