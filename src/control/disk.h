// The file operations that the log needs, as an interface: tests use it to
// inject errors and crashes that lose unsynced bytes.
#ifndef CONTROL_DISK_H_
#define CONTROL_DISK_H_

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace baobabrun {

// A flat folder of files. Errors are ControlError::kDiskFull or kDisk and name
// the file. After a write error, the file may end with part of the bytes.
class Disk {
 public:
  virtual ~Disk() = default;

  // Returns nullopt if the file doesn't exist.
  virtual Result<std::optional<std::string>> Read(const std::string& name) = 0;
  // Appends to a file and creates it if needed. The bytes are durable only
  // after Sync.
  virtual Status Append(const std::string& name, std::string_view bytes) = 0;
  virtual Status Sync(const std::string& name) = 0;
  // Replaces the whole file. After a crash it has either the old or the new
  // contents. Once the call has succeeded, the new contents are durable.
  virtual Status Replace(const std::string& name, std::string_view bytes) = 0;
};

// Creates `folder` if needed.
Result<std::unique_ptr<Disk>> OpenSystemDisk(
    const std::filesystem::path& folder);

}  // namespace baobabrun

#endif  // CONTROL_DISK_H_
