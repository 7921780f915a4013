// `baobabrun keyhash` prints the hash that is stored for a key.
#include <fmt/core.h>

#include <iostream>
#include <string>

#include "base/hash.h"
#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/operator_commands.h"
#include "settings/process_settings.h"

namespace baobabrun::cli {

int RunKeyhash(int argc, const char** argv) {
  std::string config;
  std::string salt;
  CommandLine line("keyhash", "< FILE");
  line.Add("config", 'c',
           "settings file of a VM, to read the fleet's key_salt from", "FILE",
           &config);
  line.Add("salt", 0, "the fleet's key_salt", "TEXT", &salt);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  if (!line.arguments().empty() || config.empty() == salt.empty()) {
    return line.ReportUsageError(
        "exactly one of -c FILE and --salt is required, with the key on "
        "standard "
        "input");
  }
  if (!config.empty()) {
    const auto settings = LoadProcessSettings(config);
    if (!settings.ok()) {
      return line.ReportUsageError(settings.error().message);
    }
    salt = settings.value().key_salt;
  }
  std::string key;
  if (!(std::cin >> key)) {
    return line.ReportUsageError("standard input contains no key");
  }
  const auto hash = HashKey(key, salt);
  fmt::print("{}\n",
             ToHex({reinterpret_cast<const char*>(hash.data()), hash.size()}));
  return kExitOk;
}

}  // namespace baobabrun::cli
