// The entry point of the program, which runs the command named on its command
// line.
#include <fmt/core.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <string_view>

#include "base/log.h"
#include "cli/command.h"
#include "cli/operator_commands.h"
#include "explain/explain_command.h"
#include "gateway/gateway_command.h"
#include "load/commands.h"
#include "platform/platform_dialect.h"
#include "serve/serve_command.h"
#include "standin/commands.h"

namespace baobabrun::cli {
namespace {

// docs/EVENTS.md is a copy of this output. A test checks that they are equal.
int RunEvents(int /*argc*/, const char** /*argv*/) {
  fmt::print(
      "# Log events\n\nEach log line carries one of these numbers. This page "
      "is the output of `baobabrun events`.\n\n"
      "| number | level | name | what it means |\n| --- | --- | --- | --- |\n");
  for (const auto& it : EventCatalogue()) {
    fmt::print("| {} | {} | {} | {} |\n", static_cast<int>(it.event),
               LogLevelName(it.level), it.name, it.text);
  }
  return kExitOk;
}

int RunVersion(int /*argc*/, const char** /*argv*/) {
  fmt::print("baobabrun {}\n", BAOBABRUN_VERSION);
  return kExitOk;
}

int RunGatewayOnPlatform(int argc, const char** argv) {
  return RunGateway(argc, argv, platform::MakeDialect());
}

constexpr Command kCommands[] = {
    {"serve", "runs one VM's process", &RunServe},
    {"gateway", "runs one VM's process, configured by a manifest",
     &RunGatewayOnPlatform},
    {"load", "generates load and checks every answer", &load::RunLoad},
    {"standin", "runs a stand-in for an endpoint", &standin::RunStandin},
    {"check", "checks settings or declarations", &RunCheck},
    {"apply", "commits declarations to the fleet", &RunApply},
    {"key", "adds, withdraws and lists callers' keys", &RunKey},
    {"endpoint", "lists and retires endpoints", &RunEndpoint},
    {"status", "shows the state of the fleet as one VM knows it", &RunStatus},
    {"keygen", "generates the key pair of a VM", &RunKeygen},
    {"keyhash", "prints the hash of a caller's key", &RunKeyhash},
    {"explain", "shows the events of a call from the VMs' logs", &RunExplain},
    {"events", "prints the catalogue of log events", &RunEvents},
    {"version", "prints the version", &RunVersion},
};

void PrintUsage(std::FILE* out) {
  fmt::print(out, "usage: baobabrun COMMAND [options]\n\n");
  for (const auto& it : kCommands) {
    fmt::print(out, "  {:<10} {}\n", it.name, it.summary);
  }
  fmt::print(out,
             "\nRun `baobabrun COMMAND --help` to see a command's options.\n"
             "Exit codes: 0 success, 1 refused or failed, 2 invalid input, "
             "3 outcome unknown (retry with the same operation id).\n");
}

int Run(int argc, const char** argv) {
  const std::string_view name = argc > 1 ? argv[1] : "";
  if (name == "--help" || name == "help") {
    PrintUsage(stdout);
    return kExitOk;
  }
  const auto* it =
      std::find_if(std::begin(kCommands), std::end(kCommands),
                   [name](const auto& entry) { return entry.name == name; });
  if (it == std::end(kCommands)) {
    PrintUsage(stderr);
    return kExitBadInput;
  }
  return it->run(argc - 1, argv + 1);
}

}  // namespace
}  // namespace baobabrun::cli

int main(int argc, const char** argv) {
  return baobabrun::cli::Run(argc, argv);
}
