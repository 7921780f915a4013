// Generates, reads and writes CURVE keys with ZeroMQ.
#include "membership/curve_keys.h"

#include <fcntl.h>
#include <fmt/core.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#include <cerrno>
#include <fstream>

#include "membership/membership_error.h"

namespace baobabrun {
namespace {

constexpr std::size_t kZ85Length = 40;
constexpr mode_t kOwnerOnly = S_IRUSR | S_IWUSR;
constexpr mode_t kGroupAndOthers = S_IRWXG | S_IRWXO;

Error FileError(const std::filesystem::path& file, std::string_view reason) {
  return {MembershipError::kKeys, fmt::format("{}: {}", file.string(), reason)};
}

std::string ErrnoText() {
  return std::generic_category().message(errno);
}

}  // namespace

Result<CurveKeys> MakeCurveKeys() {
  char public_key[kZ85Length + 1] = {};
  char secret_key[kZ85Length + 1] = {};
  if (zmq_curve_keypair(public_key, secret_key) != 0) {
    return Error{MembershipError::kKeys, zmq_strerror(zmq_errno())};
  }
  return CurveKeys{public_key, secret_key};
}

Result<CurveKeys> ReadCurveKeys(const std::filesystem::path& file) {
  struct stat info = {};
  if (stat(file.c_str(), &info) != 0) {
    return FileError(file, ErrnoText());
  }
  if ((info.st_mode & kGroupAndOthers) != 0) {
    return FileError(file, "must be readable by its owner alone (mode 0600)");
  }
  CurveKeys keys;
  std::ifstream in(file);
  in >> keys.secret_key;
  char public_key[kZ85Length + 1] = {};
  if (keys.secret_key.size() != kZ85Length ||
      zmq_curve_public(public_key, keys.secret_key.c_str()) != 0) {
    return FileError(file, "doesn't hold a CURVE secret key");
  }
  keys.public_key = public_key;
  return keys;
}

Status WriteCurveSecret(const std::filesystem::path& file,
                        const CurveKeys& keys) {
  const int fd =
      open(file.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly);
  if (fd < 0) {
    return FileError(file, ErrnoText());
  }
  const std::string text = keys.secret_key + "\n";
  const auto n = write(fd, text.data(), text.size());
  const bool synced = fsync(fd) == 0;
  close(fd);
  if (n != static_cast<ssize_t>(text.size()) || !synced) {
    return FileError(file, "cannot be written");
  }
  return Ok();
}

}  // namespace baobabrun
