// The options of the load tool, and its run and compare modes.
#include "load/commands.h"

#include <fmt/core.h>
#include <popt.h>

#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "cli/command.h"
#include "load/report.h"

namespace baobabrun::load {
namespace {

struct Options {
  char* mix = nullptr;
  char* json = nullptr;
  char* html = nullptr;
  char* direct = nullptr;
  int seed = 1;
  int compare = 0;
};

int Fail(int code, const std::string& message) {
  fmt::print(stderr, "load: {}\n", message);
  return code;
}

bool WriteFile(const char* file, const std::string& text) {
  if (file == nullptr) {
    return true;
  }
  std::ofstream out(file, std::ios::binary);
  out << text;
  out.close();
  if (!out) {
    fmt::print(stderr, "load: {}: cannot be written\n", file);
    return false;
  }
  return true;
}

Result<Report> ReadReport(const char* file) {
  std::ifstream in(file);
  if (!in) {
    return Error{std::make_error_code(std::errc::no_such_file_or_directory),
                 fmt::format("{}: cannot be read", file)};
  }
  std::stringstream text;
  text << in.rdbuf();
  return ParseReport(text.str(), file);
}

int Compare(const char* first, const char* second) {
  if (first == nullptr || second == nullptr) {
    return Fail(cli::kExitBadInput, "--compare needs two report files");
  }
  const auto a = ReadReport(first);
  if (!a.ok()) {
    return Fail(cli::kExitBadInput, a.error().message);
  }
  const auto b = ReadReport(second);
  if (!b.ok()) {
    return Fail(cli::kExitBadInput, b.error().message);
  }
  fmt::print("{}", CompareTable(a.value(), b.value()));
  return cli::kExitOk;
}

int RunMix(const Options& it) {
  if (it.mix == nullptr) {
    return Fail(cli::kExitBadInput, "--mix FILE is missing");
  }
  auto mix = LoadMix(it.mix);
  if (!mix.ok()) {
    return Fail(cli::kExitBadInput, mix.error().message);
  }
  if (it.direct != nullptr) {
    const auto address = ParseAddress(it.direct);
    if (!address.ok()) {
      return Fail(cli::kExitBadInput, address.error().message);
    }
    mix.value().entries = {address.value()};
    // Callers' keys must not reach an endpoint.
    for (auto& load : mix.value().organisations) {
      load.key.clear();
    }
  }
  if (mix.value().entries.empty()) {
    return Fail(cli::kExitBadInput, "the mix has no entries");
  }
  const auto seed = static_cast<std::uint64_t>(it.seed);
  const auto schedule = MakeSchedule(mix.value(), seed);
  if (schedule.empty()) {
    return Fail(cli::kExitBadInput,
                "the mix schedules no requests within its duration");
  }
  const auto samples = RunSchedule(mix.value(), schedule);
  const auto report = MakeReport(mix.value(), samples, seed);
  fmt::print("{}", ToTable(report));
  const bool written =
      WriteFile(it.json, ToJson(report)) && WriteFile(it.html, ToHtml(report));
  return written && report.violations == 0 ? cli::kExitOk : cli::kExitFailed;
}

}  // namespace

int RunLoad(int argc, const char** argv) {
  // Static, so that the strings that popt allocates stay valid until the
  // process ends.
  static Options it;
  const poptOption table[] = {
      {"mix", 'm', POPT_ARG_STRING, &it.mix, 0,
       "file that describes the load, JSON with comments; see src/load/mix.h",
       "FILE"},
      {"seed", 's', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &it.seed, 0,
       "seed of the schedule", "N"},
      {"json", 'j', POPT_ARG_STRING, &it.json, 0,
       "write the report to this file as JSON", "FILE"},
      {"html", '\0', POPT_ARG_STRING, &it.html, 0,
       "write an HTML page with histograms to this file", "FILE"},
      {"direct", '\0', POPT_ARG_STRING, &it.direct, 0,
       "send all requests to this address, for instance an engine, instead of "
       "the mix's entries",
       "HOST:PORT"},
      {"compare", '\0', POPT_ARG_NONE, &it.compare, 0,
       "compare two reports written by --json", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("baobabrun load", argc, argv, table, 0), &poptFreeContext);
  poptSetOtherOptionHelp(context.get(),
                         "--mix FILE | --compare FIRST.json SECOND.json");
  const int rc = poptGetNextOpt(context.get());
  if (rc < -1) {
    return Fail(cli::kExitBadInput,
                fmt::format("{}: {}", poptBadOption(context.get(), 0),
                            poptStrerror(rc)));
  }
  if (it.compare != 0) {
    const char* first = poptGetArg(context.get());
    return Compare(first, poptGetArg(context.get()));
  }
  if (const char* extra = poptGetArg(context.get())) {
    return Fail(cli::kExitBadInput,
                fmt::format("unexpected argument {}", extra));
  }
  return RunMix(it);
}

}  // namespace baobabrun::load
