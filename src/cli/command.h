// One command of the program: `baobabrun NAME ...`. Each slice that offers
// commands defines them in a file of its own; main.cc lists them all.
#ifndef CLI_COMMAND_H_
#define CLI_COMMAND_H_

#include <string_view>

namespace baobabrun::cli {

// Exit codes, the same for every command.
enum ExitCode : int {
  kExitOk = 0,
  kExitFailed = 1,    // the operation was refused or failed
  kExitBadInput = 2,  // bad options, settings or declarations
  kExitUnknown = 3,   // no answer: ask again with the same operation id
};

struct Command {
  std::string_view name;
  std::string_view summary;
  // `argv[0]` is the command's name. Returns an ExitCode.
  int (*run)(int argc, const char** argv);
};

}  // namespace baobabrun::cli

#endif  // CLI_COMMAND_H_
