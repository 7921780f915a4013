// Starts, signals and awaits child processes.
#include "child_process.h"

#include <ace/OS_NS_fcntl.h>
#include <ace/OS_NS_unistd.h>
#include <ace/Process.h>
#include <fmt/core.h>
#include <sys/wait.h>

#include <csignal>
#include <thread>
#include <utility>

namespace baobabrun::testsuite {
namespace {

constexpr std::size_t kCommandLineBytes = 16 * 1024;
constexpr int kSignalBase = 128;
constexpr milliseconds kWaitStep{5};
constexpr int kFileMode = 0644;

ACE_HANDLE OpenForAppend(const std::filesystem::path& file) {
  return ACE_OS::open(file.c_str(), O_WRONLY | O_CREAT | O_APPEND, kFileMode);
}

int ExitCode(int status) {
  return WIFSIGNALED(status) ? kSignalBase + WTERMSIG(status)
                             : WEXITSTATUS(status);
}

}  // namespace

class ChildProcess::Process {
 public:
  ACE_Process process;
  std::optional<int> exit_code;  // set when Wait() has seen its end
};

ChildProcess::ChildProcess(std::unique_ptr<Process> process)
    : process_(std::move(process)) {}

Result<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& arguments,
    const std::filesystem::path& output,
    const std::filesystem::path& log) {
  std::vector<const char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const auto& it : arguments) {
    argv.push_back(it.c_str());
  }
  argv.push_back(nullptr);
  ACE_Process_Options options(true, kCommandLineBytes);
  options.command_line(argv.data());
  const auto in = ACE_OS::open("/dev/null", O_RDONLY);
  const auto out = OpenForAppend(output);
  const auto err = OpenForAppend(log);
  options.set_handles(in, out, err);
  auto process = std::make_unique<Process>();
  const auto pid = process->process.spawn(options);
  options.release_handles();
  for (const auto handle : {in, out, err}) {
    ACE_OS::close(handle);
  }
  if (pid == ACE_INVALID_PID) {
    return Error{
        std::make_error_code(std::errc::resource_unavailable_try_again),
        fmt::format("{} can't be started", arguments.front())};
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(std::move(process)));
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  constexpr Duration kTimeout = seconds(30);
  Wait(kTimeout);
}

void ChildProcess::Signal(int signal) {
  // After the process has ended, its pid may belong to another process.
  if (!process_->exit_code) {
    process_->process.kill(signal);
  }
}

std::optional<int> ChildProcess::Wait(Duration timeout) {
  const SystemClock clock;
  const auto end = clock.Now() + timeout;
  while (!process_->exit_code) {
    ACE_exitcode status = 0;
    if (process_->process.wait(&status, WNOHANG) > 0) {
      process_->exit_code = ExitCode(static_cast<int>(status));
    } else if (clock.Now() >= end) {
      return std::nullopt;
    } else {
      std::this_thread::sleep_for(kWaitStep);
    }
  }
  return process_->exit_code;
}

}  // namespace baobabrun::testsuite
