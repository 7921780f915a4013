// `baobabrun key` adds, withdraws and lists callers' keys.
#include <nlohmann/json.hpp>
#include <string>

#include "cli/command_line.h"
#include "cli/operator_call.h"
#include "cli/operator_commands.h"

namespace baobabrun::cli {

int RunKey(int argc, const char** argv) {
  using nlohmann::json;
  OperatorArguments arguments;
  std::string hash;
  std::string operation_id = NewOperationId();
  CommandLine line("key", "add ID ORGANISATION | withdraw ID | list");
  arguments.AddTo(line);
  line.Add("hash", 0,
           "hash of the key to add, as `baobabrun keyhash` prints it", "HEX",
           &hash);
  line.Add("operation-id", 0,
           "id of an earlier call whose outcome is unknown, to send it again",
           "ID", &operation_id);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  const auto& words = line.arguments();
  const std::string verb = words.empty() ? "" : words[0];
  if (verb == "list" && words.size() == 1) {
    return RunOperatorCall(arguments, "GET", "/operator/keys", "");
  }
  if (verb == "withdraw" && words.size() == 2) {
    return RunOperatorCall(
        arguments, "POST", "/operator/keys/withdraw",
        json{{"operation_id", operation_id}, {"key", words[1]}}.dump());
  }
  if (verb == "add" && words.size() == 3 && !hash.empty()) {
    return RunOperatorCall(arguments, "POST", "/operator/keys",
                           json{{"operation_id", operation_id},
                                {"key", words[1]},
                                {"organisation", words[2]},
                                {"hash", hash}}
                               .dump());
  }
  return line.ReportUsageError(
      "one of add ID ORGANISATION --hash HEX, withdraw ID or list is required");
}

}  // namespace baobabrun::cli
