// From the JSON log lines of several VMs to what happened to one call: its
// lines in order of time, and the cause of its failure in a sentence. Also
// counts failures by cause over all calls.
//
// Lines that are no JSON object are left out and counted; anything before a
// line's first brace is passed over, since collectors put times and names
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

// One event, as a VM logged it.
struct LoggedEvent {
  std::string time;  // as in the line; sorts by time
  std::string vm;
  std::string event;
  std::string call;  // empty: it isn't about a call
  std::string text;
  // All other fields, as in the line.
  std::map<std::string, std::string> fields;

  // Empty if there is no such field.
  std::string_view Field(std::string_view name) const;
};

struct ReadLogs {
  std::vector<LoggedEvent> events;
  std::size_t unreadable = 0;
  std::int64_t dropped = 0;  // lines that VMs say they did not write
};
// Adds the lines of `in`.
void ReadLogLines(std::istream& in, ReadLogs* logs);

enum class CallCause {
  kAnswered,
  kRateLeader,  // over the organisation's rate, says the control leader
  kRateAlone,   // the same, as far as a VM could tell without the leader
  kNoManifest,
  kNotAllowed,  // route, key or size
  kPoison,
  kNoEndpoint,    // nobody could take it
  kUnreachable,   // no connection to any endpoint that was tried
  kEndpointFull,  // endpoints said that they did not run it
  kBrokenOff,     // the answer broke off at the endpoint
  kEndpointError,
  kTimeOver,
  kCallerLeft,
  kOpen,  // the lines end before the call does
};
std::string_view NameOf(CallCause cause);

struct CallStory {
  std::string call;
  std::vector<LoggedEvent> events;  // by time
  CallCause cause = CallCause::kOpen;
  bool may_have_run = false;
  std::string sentence;
};
// The story is empty if no line names the call.
CallStory TellCall(const ReadLogs& logs, std::string_view call);
// Calls by cause, those that were answered included.
std::map<CallCause, std::size_t> CountCauses(const ReadLogs& logs);

}  // namespace baobabrun

#endif  // EXPLAIN_CALL_TRACE_H_
