// Describes one command of the program, which runs as `baobabrun NAME ...`.
// Each module defines its commands in files of its own, and main.cc lists all
// of them.
#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

#include <string_view>

namespace baobabrun::cli {

// The exit codes of all commands.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,    // the operation was refused or failed
  kExitBadInput = 2,  // invalid options, settings or declarations
  kExitUnknown = 3,   // no answer; retry with the same operation id
};

struct Command {
  std::string_view name;
  std::string_view summary;
  // `argv[0]` is the command's name. Returns an ExitCode.
  int (*run)(int argc, const char** argv);
};

}  // namespace baobabrun::cli

#endif  // CLI_COMMAND_H_
