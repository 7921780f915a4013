// Finds the log lines of one call in the JSON logs of several VMs, puts them in
// order of time and determines how the call ended. Also counts all calls by the
// cause of their end.
//
// A line that holds no JSON object is skipped and counted. The text before the
// first brace of a line is ignored, since log collectors put times and names
// there.
#ifndef EXPLAIN_CALL_TRACE_H_
#define EXPLAIN_CALL_TRACE_H_

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace baobabrun {

// One event as a VM logged it.
struct LoggedEvent {
  // As in the line, in a format whose text order is the order of time.
  std::string time;
  std::string vm;
  std::string event;
  std::string call;  // id of the call; empty if the event has none
  std::string text;
  // All other fields. Values that are not strings are kept as JSON.
  std::map<std::string, std::string> fields;

  // Returns the value of a field; empty if the event doesn't have it.
  std::string_view Field(std::string_view name) const;
};

struct ParsedLogs {
  std::vector<LoggedEvent> events;
  std::size_t skipped_lines = 0;   // lines that hold no JSON object
  std::int64_t dropped_lines = 0;  // lines that VMs reported as not written
};
// Adds the lines of `in` to `logs`.
void ReadLogLines(std::istream& in, ParsedLogs* logs);

enum class CallCause {
  kAnswered,
  kRateUsedUp,         // over the organisation's rate, with the leader's quota
  kRateWithoutLeader,  // over the rate that a VM applied without the leader
  kNoManifest,
  kNotAllowed,  // refused because of its route, key or size
  kPoison,
  kNoEndpoint,       // no endpoint could accept it
  kUnreachable,      // the last attempt could not connect to its endpoint
  kEndpointFull,     // the last endpoint answered that it did not run the call
  kAnswerBrokenOff,  // the endpoint's answer ended early
  kEndpointError,
  kDeadlineExceeded,
  kCallerDisconnected,
  kUnfinished,  // the log lines don't contain the end of the call
};
std::string_view NameOf(CallCause cause);

struct CallTrace {
  std::string call;
  std::vector<LoggedEvent> events;  // by time
  CallCause cause = CallCause::kUnfinished;
  bool may_have_run = false;  // whether an endpoint may have run the call
  std::string description;    // describes the end of the call in one sentence
};
// `events` is empty if no log line contains the call's id.
CallTrace TraceCall(const ParsedLogs& logs, std::string_view call);
// Returns the number of calls for each cause, including the answered calls.
std::map<CallCause, std::size_t> CountCauses(const ParsedLogs& logs);

}  // namespace baobabrun

#endif  // EXPLAIN_CALL_TRACE_H_
