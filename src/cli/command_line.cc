// Parses command lines with popt.
#include "cli/command_line.h"

#include <fmt/core.h>
#include <popt.h>

#include <cstdlib>
#include <memory>
#include <utility>

#include "cli/command.h"

namespace baobabrun::cli {

CommandLine::CommandLine(std::string name, const std::string& arguments)
    : name_(std::move(name)), usage_("[options] " + arguments) {}

void CommandLine::Add(std::string option,
                      char letter,
                      std::string help,
                      std::string value_name,
                      std::string* out) {
  Option added;
  added.name = std::move(option);
  added.letter = letter;
  added.help = std::move(help);
  added.value_name = std::move(value_name);
  added.text = out;
  options_.push_back(std::move(added));
}

void CommandLine::AddFlag(std::string option, std::string help, bool* out) {
  Option added;
  added.name = std::move(option);
  added.help = std::move(help);
  added.flag = out;
  options_.push_back(std::move(added));
}

int CommandLine::ReportUsageError(const std::string& reason) const {
  fmt::print(stderr, "{}: {}\nRun `baobabrun {} --help` to see its options.\n",
             name_, reason, name_);
  return kExitBadInput;
}

std::optional<int> CommandLine::Parse(int argc, const char** argv) {
  std::vector<poptOption> table;
  for (auto& it : options_) {
    const bool is_flag = it.flag != nullptr;
    void* target = is_flag ? static_cast<void*>(&it.parsed_flag)
                           : static_cast<void*>(&it.parsed_text);
    table.push_back({it.name.c_str(), it.letter,
                     is_flag ? POPT_ARG_NONE : POPT_ARG_STRING, target, 0,
                     it.help.c_str(),
                     is_flag ? nullptr : it.value_name.c_str()});
  }
  table.push_back({nullptr, 0, POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  table.push_back(POPT_TABLEEND);
  const std::string name = "baobabrun " + name_;
  std::vector<const char*> popt_argv(argv, argv + argc);
  popt_argv[0] = name.c_str();
  popt_argv.push_back(nullptr);
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext(name.c_str(), argc, popt_argv.data(), table.data(), 0),
      &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), usage_.c_str());
  const int rc = poptGetNextOpt(context.get());
  for (auto& it : options_) {
    if (it.parsed_text != nullptr) {
      *it.text = it.parsed_text;
      std::free(it.parsed_text);
      it.parsed_text = nullptr;
    }
    if (it.flag != nullptr) {
      *it.flag = it.parsed_flag != 0;
    }
  }
  if (rc < -1) {
    return ReportUsageError(fmt::format(
        "{}: {}", poptBadOption(context.get(), 0), poptStrerror(rc)));
  }
  const char** rest = poptGetArgs(context.get());
  for (; rest != nullptr && *rest != nullptr; ++rest) {
    found_.emplace_back(*rest);
  }
  return std::nullopt;
}

}  // namespace baobabrun::cli
