// Hash functions, implemented with xxHash and libsodium.
#include "base/hash.h"

#include <sodium.h>
#include <xxhash.h>

#include <algorithm>

namespace baobabrun {
namespace {

// libsodium must be initialised once before its random source is used.
void InitSodium() {
  static const int kOnce = sodium_init();
  (void)kOnce;
}

}  // namespace

std::uint64_t FastHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

KeyHash HashKey(std::string_view key, std::string_view salt) {
  KeyHash hash{};
  crypto_generichash(
      hash.data(), hash.size(),
      reinterpret_cast<const unsigned char*>(key.data()), key.size(),
      reinterpret_cast<const unsigned char*>(salt.data()),
      std::min<std::size_t>(salt.size(), crypto_generichash_KEYBYTES_MAX));
  return hash;
}

bool SameHash(const KeyHash& left, const KeyHash& right) {
  return sodium_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string RandomBytes(std::size_t n) {
  InitSodium();
  std::string buf(n, '\0');
  randombytes_buf(buf.data(), n);
  return buf;
}

std::uint64_t RandomNumber() {
  InitSodium();
  std::uint64_t n = 0;
  randombytes_buf(&n, sizeof(n));
  return n;
}

std::string ToHex(std::string_view bytes) {
  std::string hex(bytes.size() * 2 + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(),
                 reinterpret_cast<const unsigned char*>(bytes.data()),
                 bytes.size());
  hex.pop_back();
  return hex;
}

std::string FromHex(std::string_view hex) {
  std::string bytes(hex.size() / 2, '\0');
  std::size_t n = 0;
  const char* end = nullptr;
  const int rc =
      sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()),
                     bytes.size(), hex.data(), hex.size(), nullptr, &n, &end);
  if (rc != 0 || end != hex.data() + hex.size()) {
    return {};
  }
  return bytes;
}

}  // namespace baobabrun
