// `baobabrun status`: shows how one VM sees the fleet.
#include "cli/command_line.h"
#include "cli/operator_call.h"
#include "cli/operator_commands.h"

namespace baobabrun::cli {

int RunStatus(int argc, const char** argv) {
  OperatorArguments arguments;
  CommandLine line("status", "");
  arguments.AddTo(line);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  if (!line.arguments().empty()) {
    return line.Refuse("takes no arguments");
  }
  return RunOperatorCall(arguments, "GET", "/operator/status", "");
}

}  // namespace baobabrun::cli
