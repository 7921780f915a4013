// Hashing: a fast 64-bit hash for indexes, a keyed cryptographic hash for
// callers' keys, and random bytes.
#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace baobabrun {

// Returns the seeded XXH3 hash of `bytes`. It is not secure for secrets.
std::uint64_t FastHash(std::string_view bytes, std::uint64_t seed = 0);

constexpr std::size_t kKeyHashBytes = 32;
using KeyHash = std::array<unsigned char, kKeyHashBytes>;

// Returns the BLAKE2b hash of a caller's key, keyed with the fleet's salt,
// which is at most 64 bytes long.
KeyHash HashKey(std::string_view key, std::string_view salt);
// Compares two hashes in constant time.
bool SameHash(const KeyHash& left, const KeyHash& right);

// Returns `n` bytes from the system's random source.
std::string RandomBytes(std::size_t n);
std::uint64_t RandomNumber();

std::string ToHex(std::string_view bytes);
// Returns an empty string if `hex` isn't hexadecimal of even length.
std::string FromHex(std::string_view hex);

}  // namespace baobabrun

#endif  // BASE_HASH_H_
