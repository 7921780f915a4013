// `baobabrun explain`: reads logs and prints a call's story, or counts causes.
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

// Reads standard input if there are no files. Returns the name of a file that
// can't be read, or nothing.
std::string ReadAll(const std::vector<std::string>& files, ReadLogs* logs) {
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

void PrintNotes(const ReadLogs& logs) {
  if (logs.unreadable > 0) {
    fmt::print("{} lines are no log lines and were left out\n",
               logs.unreadable);
  }
  if (logs.dropped > 0) {
    fmt::print(
        "{} lines were dropped by the VMs that should have written "
        "them\n",
        logs.dropped);
  }
}

int PrintSummary(const ReadLogs& logs) {
  for (const auto& [cause, count] : CountCauses(logs)) {
    fmt::print("{:<22} {}\n", NameOf(cause), count);
  }
  PrintNotes(logs);
  return cli::kExitOk;
}

int PrintStory(const ReadLogs& logs, const std::string& call) {
  const auto story = TellCall(logs, call);
  if (story.events.empty()) {
    fmt::print(stderr, "explain: no line names call {}\n", call);
    PrintNotes(logs);
    return cli::kExitFailed;
  }
  for (const auto& it : story.events) {
    fmt::print("{} {} {}: {}", it.time, it.vm, it.event, it.text);
    for (const auto& [name, value] : it.fields) {
      if (name != "level" && name != "number" && !value.empty()) {
        fmt::print(" {}={}", name, value);
      }
    }
    fmt::print("\n");
  }
  fmt::print("\ncall {}: {}\n", call, story.sentence);
  PrintNotes(logs);
  return cli::kExitOk;
}

}  // namespace

int RunExplain(int argc, const char** argv) {
  bool summary = false;
  cli::CommandLine line("explain", "ID [FILE...]");
  line.AddFlag("summary", "count all calls by cause; takes files only",
               &summary);
  if (const auto code = line.Parse(argc, argv)) {
    return *code;
  }
  auto files = line.arguments();
  std::string call;
  if (!summary) {
    if (files.empty()) {
      return line.Refuse("needs the id of a call");
    }
    call = files.front();
    files.erase(files.begin());
  }
  ReadLogs logs;
  const auto unread = ReadAll(files, &logs);
  if (!unread.empty()) {
    fmt::print(stderr, "explain: {} can't be read\n", unread);
    return cli::kExitBadInput;
  }
  return summary ? PrintSummary(logs) : PrintStory(logs, call);
}

}  // namespace baobabrun
