// A child process of a whole-program test case, started through ACE_Process. It
// is killed at the latest when this object is destroyed.
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

  // Sends a signal to the process; does nothing if Wait() saw its end.
  void Signal(int signal);
  // Waits until the process ends. Returns its exit code, or 128 plus the signal
  // number if a signal ended it, or nothing if it still runs after `timeout`.
  std::optional<int> Wait(Duration timeout);

 private:
  class Process;
  explicit ChildProcess(std::unique_ptr<Process> process);

  std::unique_ptr<Process> process_;
};

}  // namespace baobabrun::testsuite

#endif  // TESTSUITE_CHILD_PROCESS_H_
