// Implements Disk on a folder of the file system.
#include <ace/OS_NS_fcntl.h>
#include <ace/OS_NS_stdio.h>
#include <ace/OS_NS_unistd.h>
#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <utility>

#include "control/control_error.h"
#include "control/disk.h"

namespace baobabrun {
namespace {

Error DiskError(std::string_view what, const std::filesystem::path& path) {
  const int code = errno;
  const bool full = code == ENOSPC || code == EDQUOT;
  return {full ? ControlError::kDiskFull : ControlError::kDisk,
          fmt::format("cannot {} {}: {}", what, path.string(),
                      std::generic_category().message(code))};
}

// Owns an open file and closes it in the destructor.
class File {
 public:
  File(const std::filesystem::path& path, int flags)
      : handle_(ACE_OS::open(path.c_str(), flags, kMode)) {}
  ~File() {
    if (ok()) {
      ACE_OS::close(handle_);
    }
  }
  File(const File&) = delete;
  File& operator=(const File&) = delete;

  bool ok() const { return handle_ != ACE_INVALID_HANDLE; }

  bool Write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto n = ACE_OS::write(handle_, bytes.data(), bytes.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
  }

  bool ReadAll(std::string* bytes) const {
    constexpr std::size_t kChunkBytes = 256 * 1024;
    std::string buf(kChunkBytes, '\0');
    for (;;) {
      const auto n = ACE_OS::read(handle_, buf.data(), buf.size());
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n <= 0) {
        return n == 0;
      }
      bytes->append(buf, 0, static_cast<std::size_t>(n));
    }
  }

  bool Sync() const { return ACE_OS::fsync(handle_) == 0; }

 private:
  static constexpr int kMode = 0600;
  const ACE_HANDLE handle_;
};

class SystemDisk : public Disk {
 public:
  explicit SystemDisk(std::filesystem::path folder)
      : folder_(std::move(folder)) {}

  Result<std::optional<std::string>> Read(const std::string& name) override {
    const auto path = folder_ / name;
    const File file(path, O_RDONLY | O_CLOEXEC);
    if (!file.ok()) {
      if (errno == ENOENT) {
        return std::optional<std::string>();
      }
      return DiskError("open", path);
    }
    std::string bytes;
    if (!file.ReadAll(&bytes)) {
      return DiskError("read", path);
    }
    return std::optional(std::move(bytes));
  }

  Status Append(const std::string& name, std::string_view bytes) override {
    const auto path = folder_ / name;
    auto& file = appended_[name];
    if (!file) {
      file = std::make_unique<File>(path,
                                    O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC);
    }
    if (!file->ok() || !file->Write(bytes)) {
      return DiskError("write", path);
    }
    return Ok();
  }

  Status Sync(const std::string& name) override {
    const auto it = appended_.find(name);
    if (it != appended_.end() && !it->second->Sync()) {
      return DiskError("sync", folder_ / name);
    }
    return Ok();
  }

  Status Replace(const std::string& name, std::string_view bytes) override {
    const auto path = folder_ / name;
    const auto temporary = folder_ / (name + ".new");
    {
      const File file(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC);
      if (!file.ok() || !file.Write(bytes) || !file.Sync()) {
        return DiskError("write", temporary);
      }
    }
    appended_.erase(name);
    if (ACE_OS::rename(temporary.c_str(), path.c_str()) != 0) {
      return DiskError("rename", temporary);
    }
    return SyncFolder();
  }

  // Makes a rename or the creation of a file durable.
  Status SyncFolder() const {
    const File folder(folder_, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (!folder.ok() || !folder.Sync()) {
      return DiskError("sync folder", folder_);
    }
    return Ok();
  }

 private:
  const std::filesystem::path folder_;
  // Files that Append has opened and keeps open.
  std::map<std::string, std::unique_ptr<File>> appended_;
};

}  // namespace

Result<std::unique_ptr<Disk>> OpenSystemDisk(
    const std::filesystem::path& folder) {
  std::error_code ec;
  std::filesystem::create_directories(folder, ec);
  if (ec) {
    return Error{
        ControlError::kDisk,
        fmt::format("cannot create {}: {}", folder.string(), ec.message())};
  }
  return std::unique_ptr<Disk>(std::make_unique<SystemDisk>(folder));
}

}  // namespace baobabrun
