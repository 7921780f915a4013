// An in-memory Disk for tests. Crash() loses unsynced bytes, and the flags
// `full` and `fail_sync` inject errors.
#ifndef CONTROL_MEMORY_DISK_TEST_H_
#define CONTROL_MEMORY_DISK_TEST_H_

#include <map>
#include <random>
#include <string>

#include "control/control_error.h"
#include "control/disk.h"

namespace baobabrun {

class MemoryDisk : public Disk {
 public:
  struct File {
    std::string durable;
    std::string cached;  // unsynced bytes: readable, but lost in a crash
    // True after a failed sync: `cached` never becomes durable.
    bool dropped = false;
  };

  Result<std::optional<std::string>> Read(const std::string& name) override {
    const auto it = files.find(name);
    if (it == files.end()) {
      return std::optional<std::string>();
    }
    return std::optional(it->second.durable + it->second.cached);
  }

  Status Append(const std::string& name, std::string_view bytes) override {
    if (full) {
      files[name].cached += bytes.substr(0, bytes.size() / 2);
      return Error{ControlError::kDiskFull, "cannot write " + name};
    }
    files[name].cached += bytes;
    return Ok();
  }

  Status Sync(const std::string& name) override {
    File& file = files[name];
    if (fail_sync) {
      file.dropped = true;
      return Error{ControlError::kDisk, "cannot sync " + name};
    }
    if (!file.dropped) {
      file.durable += file.cached;
      file.cached.clear();
    }
    return Ok();
  }

  Status Replace(const std::string& name, std::string_view bytes) override {
    if (full || fail_sync) {
      return Error{full ? ControlError::kDiskFull : ControlError::kDisk,
                   "cannot write " + name};
    }
    files[name] = {std::string(bytes), "", false};
    return Ok();
  }

  // Keeps a random part of the unsynced bytes; its last byte may be garbage.
  void Crash(std::mt19937_64& random) {
    for (auto& [name, file] : files) {
      auto kept = file.cached.substr(0, random() % (file.cached.size() + 1));
      if (!kept.empty() && random() % 2 == 0) {
        kept.back() = static_cast<char>(random());
      }
      file = {file.durable + kept, "", false};
    }
  }

  std::map<std::string, File> files;
  bool full = false;
  bool fail_sync = false;
};

}  // namespace baobabrun

#endif  // CONTROL_MEMORY_DISK_TEST_H_
