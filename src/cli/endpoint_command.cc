// `baobabrun endpoint` lists endpoints, retires them and cancels a retirement.
#include <nlohmann/json.hpp>
#include <string>

#include "cli/command_line.h"
#include "cli/operator_call.h"
#include "cli/operator_commands.h"

namespace baobabrun::cli {

int RunEndpoint(int argc, const char** argv) {
  using nlohmann::json;
  OperatorArguments arguments;
  std::string operation_id = NewOperationId();
  CommandLine line("endpoint", "list | retire ID | cancel ID");
  arguments.AddTo(line);
  line.Add("operation-id", 0,
           "id of an earlier call whose outcome is unknown, to send it again",
           "ID", &operation_id);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  const auto& words = line.arguments();
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "list" && words.size() == 1) {
    return RunOperatorCall(arguments, "GET", "/operator/endpoints", "");
  }
  if ((verb == "retire" || verb == "cancel") && words.size() == 2) {
    return RunOperatorCall(
        arguments, "POST", "/operator/endpoints/" + verb,
        json{{"operation_id", operation_id}, {"endpoint", words[1]}}.dump());
  }
  return line.ReportUsageError(
      "one of list, retire ID or cancel ID is required");
}

}  // namespace baobabrun::cli
