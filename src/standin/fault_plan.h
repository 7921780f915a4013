// Faults to inject into a stand-in, given by an option or by POST /fault:
//
//   {"fault": "cut-mid-event", "count": 2, "after": 3, "value": 0}
//
// The fault is injected into the next `count` requests, in each after `after`
// events of its stream. `value` is the strength of a fault of the whole
// endpoint.
#ifndef STANDIN_FAULT_PLAN_H_
#define STANDIN_FAULT_PLAN_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.h"

namespace baobabrun::standin {

enum class FaultKind {
  // Faults of single requests.
  kSilent,              // nothing more is sent, the connection stays open
  kCutBeforeFirstByte,  // the connection is closed without an answer
  kCutMidEvent,         // it is closed within an event or body
  kCutBeforeMarker,     // the answer ends regularly, but without end marker
  kCutAfterMarker,      // the connection is broken right after the marker
  kWrongAttempt,        // the answer contains another attempt's id
  kDoubledEvent,        // one event is sent twice
  kSkippedEvent,        // one event isn't sent
  kRefuse500,           // answered with 500 and not run
  kRefuse503,           // answered with 503 and not run
  kFailAfterRun,        // answered with 500 although it was run
  // Faults of the whole endpoint.
  kCrash,       // all state is lost; the endpoint is down for the restart time
  kLagEvents,   // cache events are published `value` ms late
  kLoseEvents,  // `value` per million cache events are lost
  kSlow,        // work takes `value` percent of its normal time
};

struct Fault {
  FaultKind kind = FaultKind::kSilent;
  std::int64_t after = 0;
  std::int64_t value = 0;
};

// Returns true if the fault affects the whole endpoint, not single requests.
bool IsEndpointFault(FaultKind kind);
// Returns the names of all faults, separated by '|'.
std::string FaultNames();

struct ScheduledFault {
  Fault fault;
  std::int64_t count = 1;  // requests that are still to get the fault
};
// Parses the body of POST /fault. Errors: std::errc::invalid_argument.
Result<ScheduledFault> ParseScheduledFault(std::string_view json);
// Parses the value of an option, which is "NAME[:COUNT[:AFTER]]" or, for a
// fault of the whole endpoint, "NAME[:VALUE]".
Result<ScheduledFault> ParseFaultOption(std::string_view text);

// Faults that are to be injected into later requests, in the order in which
// they were added.
class FaultPlan {
 public:
  void Add(const ScheduledFault& scheduled);
  // Removes and returns the fault for the next request, or nullopt if none is
  // waiting.
  std::optional<Fault> Take();
  // Returns the number of requests that are still to get a fault.
  std::int64_t waiting() const;

 private:
  std::deque<ScheduledFault> waiting_;  // each with count > 0
};

}  // namespace baobabrun::standin

#endif  // STANDIN_FAULT_PLAN_H_
