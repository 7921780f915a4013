// The file operations that the log needs, so that tests can inject errors and
// crashes that lose unsynced bytes.
#ifndef CONTROL_DISK_H_
#define CONTROL_DISK_H_

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace baobabrun {

// A flat folder of files. Errors: ControlError::kDiskFull or kDisk, naming the
// file. After an error, the file's end may hold part of what was written.
class Disk {
 public:
  virtual ~Disk() = default;

  // Nothing if there is no such file.
  virtual Result<std::optional<std::string>> Read(const std::string& name) = 0;
  // Adds to the end of a file, making it if need be. Lasts only after Sync.
  virtual Status Append(const std::string& name, std::string_view bytes) = 0;
  virtual Status Sync(const std::string& name) = 0;
  // Replaces the whole file. A crash leaves either the old or the new contents;
  // after a return without error the new ones last.
  virtual Status Replace(const std::string& name, std::string_view bytes) = 0;
};

// Makes `folder` if need be.
Result<std::unique_ptr<Disk>> OpenSystemDisk(
    const std::filesystem::path& folder);

}  // namespace baobabrun

#endif  // CONTROL_DISK_H_
