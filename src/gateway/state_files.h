// Small files that let a control VM start quickly: the endpoints that it knew,
// and what entries had consumed of quotas. They are written on a separate
// thread, since a disk may block for seconds; only the newest contents of each
// are written. Nothing that was acknowledged to a client is stored here; the
// control log stores that.
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
  // Writes the pending contents, then ends the thread.
  ~StateFiles();
  StateFiles(const StateFiles&) = delete;
  StateFiles& operator=(const StateFiles&) = delete;

  // Returns the contents; empty if the file doesn't exist or can't be read.
  std::string Read(const std::string& name);
  // Never blocks. Replaces older contents that aren't written yet.
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
