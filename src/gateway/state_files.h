// Small files of a control VM that spare it a slow start: what endpoints it
// knew, and what entries had taken of quotas. Written on a thread of their own,
// the newest contents only, since a disk may hang for seconds. Nothing that was
// acknowledged lives here; that is the control log's.
#ifndef GATEWAY_STATE_FILES_H_
#define GATEWAY_STATE_FILES_H_

#include <condition_variable>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/error.h"
#include "base/thread.h"
#include "control/disk.h"

namespace baobabrun {

class StateFiles {
 public:
  // Errors: those of OpenSystemDisk.
  static Result<std::unique_ptr<StateFiles>> Open(
      const std::filesystem::path& folder);
  // Writes what waits, then ends.
  ~StateFiles();
  StateFiles(const StateFiles&) = delete;
  StateFiles& operator=(const StateFiles&) = delete;

  // The contents at start; empty if there was no such file, or it can't be
  // read.
  std::string Read(const std::string& name);
  // Never blocks. Older contents that wait are dropped.
  void Write(const std::string& name, std::string contents);

 private:
  explicit StateFiles(std::unique_ptr<Disk> disk) : disk_(std::move(disk)) {}
  void Run();

  const std::unique_ptr<Disk> disk_;
  std::mutex mutex_;  // guards the next two
  std::map<std::string, std::string> waiting_;
  bool closed_ = false;
  std::condition_variable changed_;
  std::unique_ptr<DutyThread> thread_;
};

}  // namespace baobabrun

#endif  // GATEWAY_STATE_FILES_H_
