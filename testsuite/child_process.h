// A process that a whole-program case starts, through ACE_Process. Ended at the
// latest with this object.
#ifndef TESTSUITE_CHILD_PROCESS_H_
#define TESTSUITE_CHILD_PROCESS_H_

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/time.h"

namespace baobabrun::testsuite {

class ChildProcess {
 public:
  // Runs `arguments` with its output appended to `output` and its log (standard
  // error) to `log`. Errors: std::errc::resource_unavailable_try_again.
  static Result<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments,
      const std::filesystem::path& output,
      const std::filesystem::path& log);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal);
  // Waits for the end. The exit code, 128 and the signal's number if a signal
  // ended it, or nothing if `bound` passes.
  std::optional<int> Wait(Duration bound);

 private:
  class Process;
  explicit ChildProcess(std::unique_ptr<Process> process);

  std::unique_ptr<Process> process_;
};

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_CHILD_PROCESS_H_
