// CURVE key pairs, which authenticate and encrypt traffic between VMs.
#ifndef MEMBERSHIP_CURVE_KEYS_H_
#define MEMBERSHIP_CURVE_KEYS_H_

#include <filesystem>
#include <string>

#include "base/error.h"

namespace baobabrun {

// Both keys are Z85 text of 40 characters each.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
};

// Generates a new key pair. Errors: MembershipError::kKeys.
Result<CurveKeys> MakeCurveKeys();

// Reads the secret key in `file` and derives its public key. Fails if the
// file's mode gives anyone but its owner access.
Result<CurveKeys> ReadCurveKeys(const std::filesystem::path& file);

// Writes the secret key to a new file that only its owner may read. Fails if
// `file` already exists.
Status WriteCurveSecret(const std::filesystem::path& file,
                        const CurveKeys& keys);

}  // namespace baobabrun

#endif  // MEMBERSHIP_CURVE_KEYS_H_
