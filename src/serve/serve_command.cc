// Parses the options of `baobabrun serve` and runs the process.
#include "serve/serve_command.h"

#include <fmt/core.h>
#include <popt.h>

#include <memory>

#include "base/log.h"
#include "cli/command.h"
#include "serve/serve_process.h"

namespace baobabrun::cli {

int RunServe(int argc, const char** argv) {
  char* config = nullptr;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0,
       "settings file of this VM, as JSON with comments", "FILE"},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("baobabrun serve", argc, argv, options, 0),
      &poptFreeContext);
  const int rc = poptGetNextOpt(context.get());
  const std::unique_ptr<char, decltype(&free)> owned(config, &free);
  if (rc != -1 || config == nullptr) {
    fmt::print(stderr, "serve: {}\n",
               rc < -1 ? poptStrerror(rc) : "option -c FILE is required");
    return kExitBadInput;
  }
  auto settings = LoadProcessSettings(config);
  if (!settings.ok()) {
    fmt::print(stderr, "serve: {}\n", settings.error().message);
    return kExitBadInput;
  }
  auto process = ServeProcess::Start(std::move(settings.value()));
  if (!process.ok()) {
    Log(Event::kStartFailed, "{}", process.error().message);
    return kExitFailed;
  }
  process.value()->Run();
  return kExitOk;
}

}  // namespace baobabrun::cli
