// `baobabrun status` shows the state of the fleet as one VM knows it.
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
    return line.ReportUsageError("this command takes no arguments");
  }
  return RunOperatorCall(arguments, "GET", "/operator/status", "");
}

}  // namespace baobabrun::cli
