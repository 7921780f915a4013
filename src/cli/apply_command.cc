// `baobabrun apply DIR` prints the changes that the declarations in DIR make,
// then commits exactly these changes.
#include <fmt/core.h>

#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "base/time.h"
#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/operator_call.h"
#include "cli/operator_commands.h"
#include "settings/declarations.h"

namespace baobabrun::cli {
namespace {

using nlohmann::json;

constexpr char kPath[] = "/operator/apply";
constexpr milliseconds kCallRetryInterval{500};

CallOutcome Post(const HttpSend& send, const json& body) {
  return CallOperator(send, "POST", kPath, body.dump(),
                      [] { std::this_thread::sleep_for(kCallRetryInterval); });
}

int Print(const CallOutcome& outcome, bool as_json) {
  PrintOutcome(outcome, as_json);
  return outcome.exit_code;
}

// Commits the plan that the answer `planned` contains. All attempts carry the
// same operation id.
int Commit(const HttpSend& send,
           const CallOutcome& planned,
           const std::string& operation_id,
           bool as_json) {
  const auto plan = json::parse(planned.body, nullptr, false);
  if (plan.is_discarded() || !plan.contains("plan")) {
    fmt::print(stderr, "apply: the VM's answer contains no plan\n");
    return kExitFailed;
  }
  if (plan.value("plan", "").empty()) {
    fmt::print(stderr, "apply: the declarations change nothing\n");
    return as_json ? Print(planned, true) : kExitOk;
  }
  return Print(Post(send, {{"operation_id", operation_id},
                           {"expected_version", plan["version"]},
                           {"plan", plan["plan"]}}),
               as_json);
}

}  // namespace

int RunApply(int argc, const char** argv) {
  OperatorArguments arguments;
  bool dry_run = false;
  std::string operation_id = NewOperationId();
  CommandLine line("apply", "DIR");
  arguments.AddTo(line);
  line.AddFlag("dry-run", "print the changes without making them", &dry_run);
  line.Add("operation-id", 0,
           "id of an earlier call whose outcome is unknown, to send it again",
           "ID", &operation_id);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  if (line.arguments().size() != 1) {
    return line.ReportUsageError(
        "exactly one directory of declarations is required");
  }
  const auto declarations = LoadDeclarations(line.arguments()[0]);
  if (!declarations.ok()) {
    return line.ReportUsageError(declarations.error().message);
  }
  const auto send = MakeHttpSend(arguments);
  if (!send.ok()) {
    return line.ReportUsageError(send.error().message);
  }
  const auto planned =
      Post(send.value(),
           {{"operation_id", operation_id},
            {"dry_run", true},
            {"declarations", json::parse(ToJson(declarations.value()))}});
  if (dry_run || planned.exit_code != kExitOk) {
    // A dry run changes nothing, so its outcome is never unknown: without an
    // answer it has failed.
    const int code = Print(planned, arguments.json);
    return code == kExitUnknown ? kExitFailed : code;
  }
  if (!arguments.json) {
    PrintOutcome(planned, false);
  }
  return Commit(send.value(), planned, operation_id, arguments.json);
}

}  // namespace baobabrun::cli
