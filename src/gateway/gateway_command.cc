// Parses the options of `baobabrun gateway` and runs the process.
#include "gateway/gateway_command.h"

#include <fmt/core.h>
#include <popt.h>

#include <memory>
#include <utility>

#include "base/log.h"
#include "cli/command.h"
#include "gateway/gateway_process.h"

namespace baobabrun::cli {

int RunGateway(int argc, const char** argv, Dialect dialect) {
  char* config = nullptr;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0,
       "settings of this VM, JSON with comments, with a \"gateway\" object",
       "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("baobabrun gateway", argc, argv, options, 0),
      &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&free)> owned(config, &free);
  if (rc != -1 || config == nullptr) {
    fmt::print(stderr, "gateway: {}\n",
               rc < -1 ? poptStrerror(rc) : "the option -c FILE is required");
    return kExitBadInput;
  }
  auto settings = LoadProcessSettings(config);
  if (!settings.ok()) {
    fmt::print(stderr, "gateway: {}\n", settings.error().message);
    return kExitBadInput;
  }
  if (!settings.value().gateway.enabled) {
    fmt::print(stderr, "gateway: {} has no \"gateway\" object\n", config);
    return kExitBadInput;
  }
  LogAsJson(settings.value().name);
  auto process =
      GatewayProcess::Start(std::move(settings.value()), std::move(dialect));
  if (!process.ok()) {
    Log(Event::kStartFailed, "{}", process.error().message);
    return kExitFailed;
  }
  process.value()->Run();
  return kExitOk;
}

}  // namespace baobabrun::cli
