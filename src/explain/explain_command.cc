// `baobabrun explain`: reads logs and prints the events of one call with the
// cause of its end, or counts all calls by cause.
#include "explain/explain_command.h"

#include <fmt/core.h>

#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "cli/command.h"
#include "cli/command_line.h"
#include "explain/call_trace.h"

namespace baobabrun {
namespace {

// Reads all files, or standard input if `files` is empty. Returns the name of
// the first file that can't be opened; empty if all were read.
std::string ReadAll(const std::vector<std::string>& files, ParsedLogs* logs) {
  if (files.empty()) {
    ReadLogLines(std::cin, logs);
  }
  for (const auto& it : files) {
    std::ifstream in(it);
    if (!in) {
      return it;
    }
    ReadLogLines(in, logs);
  }
  return "";
}

void PrintNotes(const ParsedLogs& logs) {
  if (logs.skipped_lines > 0) {
    fmt::print("{} lines are not log lines and were skipped\n",
               logs.skipped_lines);
  }
  if (logs.dropped_lines > 0) {
    fmt::print(
        "{} log lines were dropped by the VMs before they were "
        "written\n",
        logs.dropped_lines);
  }
}

int PrintSummary(const ParsedLogs& logs) {
  for (const auto& [cause, count] : CountCauses(logs)) {
    fmt::print("{:<22} {}\n", NameOf(cause), count);
  }
  PrintNotes(logs);
  return cli::kExitOk;
}

int PrintTrace(const ParsedLogs& logs, const std::string& call) {
  const auto trace = TraceCall(logs, call);
  if (trace.events.empty()) {
    fmt::print(stderr, "explain: no log line contains call {}\n", call);
    PrintNotes(logs);
    return cli::kExitFailed;
  }
  for (const auto& it : trace.events) {
    fmt::print("{} {} {}: {}", it.time, it.vm, it.event, it.text);
    for (const auto& [name, value] : it.fields) {
      if (name != "level" && name != "number" && !value.empty()) {
        fmt::print(" {}={}", name, value);
      }
    }
    fmt::print("\n");
  }
  fmt::print("\ncall {}: {}\n", call, trace.description);
  PrintNotes(logs);
  return cli::kExitOk;
}

}  // namespace

int RunExplain(int argc, const char** argv) {
  bool summary = false;
  cli::CommandLine line("explain", "ID [FILE...]");
  line.AddFlag("summary",
               "count all calls by cause; the arguments are files only",
               &summary);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  auto files = line.arguments();
  std::string call;
  if (!summary) {
    if (files.empty()) {
      return line.ReportUsageError("the id of a call is missing");
    }
    call = files.front();
    files.erase(files.begin());
  }
  ParsedLogs logs;
  const auto unopened_file = ReadAll(files, &logs);
  if (!unopened_file.empty()) {
    fmt::print(stderr, "explain: cannot open file {}\n", unopened_file);
    return cli::kExitBadInput;
  }
  return summary ? PrintSummary(logs) : PrintTrace(logs, call);
}

}  // namespace baobabrun
