// Faults that a stand-in is told to show, by option or by POST /fault:
//
//   {"fault": "cut-mid-event", "count": 2, "after": 3, "value": 0}
//
// `count` requests show it, each after `after` events of its stream. `value`
// is the strength of a fault that concerns the whole endpoint.
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
  // Of one request.
  kSilent,              // nothing more comes, the connection stays open
  kCutBeforeFirstByte,  // the connection closes without an answer
  kCutMidEvent,         // it closes inside an event or body
  kCutBeforeMarker,     // the answer ends in order but without its marker
  kCutAfterMarker,      // the connection breaks right after the marker
  kWrongAttempt,        // the answer carries another attempt's id
  kDoubledEvent,        // one event comes twice
  kSkippedEvent,        // one event is missing
  kRefuse500,           // answered 500 and not run
  kRefuse503,           // answered 503 and not run
  kFailAfterRun,        // answered 500 although it was run
  // Of the endpoint.
  kCrash,       // all is lost; down for the restart time
  kLagEvents,   // cache events come `value` ms late
  kLoseEvents,  // `value` of a million cache events are lost
  kSlow,        // work takes `value` percent of its normal time
};

struct Fault {
  FaultKind kind = FaultKind::kSilent;
  std::int64_t after = 0;
  std::int64_t value = 0;
};

// Whether the fault concerns the endpoint rather than single requests.
bool ConcernsEndpoint(FaultKind kind);
std::string FaultNames();  // separated by '|'

struct FaultOrder {
  Fault fault;
  std::int64_t count = 1;
};
// Reads the body of POST /fault. Errors: std::errc::invalid_argument.
Result<FaultOrder> ParseFaultOrder(std::string_view json);
// Reads "NAME[:COUNT[:AFTER]]" as options give it.
Result<FaultOrder> ParseFaultOption(std::string_view text);

// Faults waiting for requests to show them, in the order they came.
class FaultPlan {
 public:
  void Add(const FaultOrder& order);
  // The fault that the next request shows.
  std::optional<Fault> Take();
  // Requests that are still to show one.
  std::int64_t waiting() const;

 private:
  std::deque<FaultOrder> waiting_;  // each with count > 0
};

}  // namespace baobabrun::standin

#endif  // STANDIN_FAULT_PLAN_H_
