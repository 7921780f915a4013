// `baobabrun keygen` generates the key pair with which a VM authenticates
// itself.
#include <fmt/core.h>

#include <string>

#include "cli/command.h"
#include "cli/command_line.h"
#include "cli/operator_commands.h"
#include "membership/curve_keys.h"

namespace baobabrun::cli {

int RunKeygen(int argc, const char** argv) {
  std::string file;
  CommandLine line("keygen", "");
  line.Add("out", 'o',
           "new file for the secret key, readable only by its owner", "FILE",
           &file);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  if (!line.arguments().empty()) {
    return line.ReportUsageError("this command takes no arguments");
  }
  const auto keys = MakeCurveKeys();
  if (!keys.ok()) {
    fmt::print(stderr, "keygen: {}\n", keys.error().message);
    return kExitFailed;
  }
  if (file.empty()) {
    fmt::print("public_key {}\nsecret_key {}\n", keys.value().public_key,
               keys.value().secret_key);
    return kExitOk;
  }
  const auto written = WriteCurveSecret(file, keys.value());
  if (!written.ok()) {
    fmt::print(stderr, "keygen: {}\n", written.error().message);
    return kExitFailed;
  }
  fmt::print("public_key {}\n", keys.value().public_key);
  return kExitOk;
}

}  // namespace baobabrun::cli
