// `baobabrun check` checks settings or declarations without a running VM.
#include <fmt/core.h>

#include <algorithm>
#include <string>

#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/operator_commands.h"
#include "settings/declarations.h"
#include "settings/process_settings.h"

namespace baobabrun::cli {
namespace {

template <class T>
int Report(const std::string& what, const Result<T>& result) {
  if (!result.ok()) {
    fmt::print(stderr, "{}\n", result.error().message);
    return kExitBadInput;
  }
  fmt::print("{}: good\n", what);
  return kExitOk;
}

}  // namespace

int RunCheck(int argc, const char** argv) {
  std::string config;
  CommandLine line("check", "[DIR]");
  line.Add("config", 'c', "settings file of a VM to check", "FILE", &config);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  const auto& directories = line.arguments();
  if (config.empty() && directories.empty()) {
    return line.ReportUsageError(
        "-c FILE or a directory of declarations is required");
  }
  int code = kExitOk;
  if (!config.empty()) {
    code = std::max(code, Report(config, LoadProcessSettings(config)));
  }
  for (const auto& it : directories) {
    code = std::max(code, Report(it, LoadDeclarations(it)));
  }
  return code;
}

}  // namespace baobabrun::cli
