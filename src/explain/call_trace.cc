// Reads log lines and derives the cause of a call's end from them.
#include "explain/call_trace.h"

#include <fmt/core.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/error.h"

namespace baobabrun {
namespace {

constexpr NameEntry<CallCause> kCauses[] = {
    {CallCause::kAnswered, "answered"},
    {CallCause::kRateUsedUp, "rate-used-up"},
    {CallCause::kRateWithoutLeader, "rate-without-leader"},
    {CallCause::kNoManifest, "no-manifest"},
    {CallCause::kNotAllowed, "not-allowed"},
    {CallCause::kPoison, "poison"},
    {CallCause::kNoEndpoint, "no-endpoint"},
    {CallCause::kUnreachable, "endpoints-unreachable"},
    {CallCause::kEndpointFull, "endpoint-full"},
    {CallCause::kAnswerBrokenOff, "broken-off"},
    {CallCause::kEndpointError, "endpoint-error"},
    {CallCause::kDeadlineExceeded, "time-over"},
    {CallCause::kCallerDisconnected, "caller-left"},
    {CallCause::kUnfinished, "open"},
};

// The cause for each value of a refusal's "reason". Reasons that aren't listed
// mean that the call isn't allowed.
struct ReasonEntry {
  std::string_view reason;
  CallCause cause;
};
constexpr ReasonEntry kReasons[] = {
    {"rate_exceeded", CallCause::kRateUsedUp},
    {"no_quorum", CallCause::kNoManifest},
    {"poison", CallCause::kPoison},
    {"deadline", CallCause::kDeadlineExceeded},
    {"no_endpoint", CallCause::kNoEndpoint},
    {"endpoint_failed", CallCause::kAnswerBrokenOff},
};

std::string AsText(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Returns the last event with the name `kind`, or null if there is none.
const LoggedEvent* LastEventNamed(const std::vector<LoggedEvent>& events,
                                  std::string_view kind) {
  const auto it =
      std::find_if(events.rbegin(), events.rend(),
                   [kind](const auto& event) { return event.event == kind; });
  return it == events.rend() ? nullptr : &*it;
}

// Refines the cause "no endpoint" by the outcome of the last failed attempt.
// Returns all other causes unchanged.
CallCause RefineByFailedAttempt(CallCause cause, const LoggedEvent* failed) {
  if (failed == nullptr || cause != CallCause::kNoEndpoint) {
    return cause;
  }
  const auto outcome = failed->Field("outcome");
  if (outcome == "not-sent") {
    return CallCause::kUnreachable;
  }
  return outcome == "not-run" || outcome == "wrong-endpoint"
             ? CallCause::kEndpointFull
             : cause;
}

CallCause CauseOfRefusal(const LoggedEvent& refused,
                         const LoggedEvent* failed) {
  const auto reason = refused.Field("reason");
  const auto* it =
      std::find_if(std::begin(kReasons), std::end(kReasons),
                   [reason](const auto& e) { return e.reason == reason; });
  if (it == std::end(kReasons)) {
    return CallCause::kNotAllowed;
  }
  if (it->cause == CallCause::kRateUsedUp &&
      refused.Field("quota") == "alone") {
    return CallCause::kRateWithoutLeader;
  }
  return RefineByFailedAttempt(it->cause, failed);
}

// The cause of a call without a refusal: an endpoint's error was forwarded to
// the caller, or the log lines don't contain the end of the call.
CallCause CauseOfFailure(const LoggedEvent* failed) {
  return failed != nullptr && failed->Field("outcome") == "failure"
             ? CallCause::kEndpointError
             : CallCause::kUnfinished;
}

std::string DescribeRefusal(const LoggedEvent& refused, bool may_have_run) {
  auto out = fmt::format(" at vm {}: {}; {}", refused.vm, refused.text,
                         may_have_run ? "it may have run" : "it has not run");
  if (refused.Field("cut") == "true") {
    out += ", and the caller had received part of the answer";
  }
  const auto retry = refused.Field("retry_ms");
  if (!retry.empty() && retry != "0") {
    out += fmt::format("; the caller was told to retry in {} ms", retry);
  }
  return out;
}

std::string DescribeFailedAttempt(const LoggedEvent& failed) {
  auto out = fmt::format(
      "; the last failed attempt, at endpoint {}, ended {} after {} ms, "
      "status {}",
      failed.Field("endpoint"), failed.Field("outcome"),
      failed.Field("took_ms"), failed.Field("status"));
  if (const auto detail = failed.Field("detail"); !detail.empty()) {
    out += fmt::format(" ({})", detail);
  }
  return out;
}

std::string DescribeEnd(const CallTrace& trace,
                        const LoggedEvent* refused,
                        const LoggedEvent* failed) {
  if (trace.cause == CallCause::kAnswered) {
    const auto* ended = LastEventNamed(trace.events, "SendEnded");
    return fmt::format("answered by endpoint {} after {} ms, status {}",
                       ended->Field("endpoint"), ended->Field("took_ms"),
                       ended->Field("status"));
  }
  if (trace.cause == CallCause::kCallerDisconnected) {
    const auto* gone = LastEventNamed(trace.events, "CallerGone");
    return fmt::format("the caller disconnected after {} ms; last endpoint: {}",
                       gone->Field("waited_ms"), gone->Field("endpoint"));
  }
  std::string out(NameOf(trace.cause));
  if (refused != nullptr) {
    out += DescribeRefusal(*refused, trace.may_have_run);
  }
  if (failed != nullptr) {
    out += DescribeFailedAttempt(*failed);
  }
  return out;
}

CallTrace BuildTrace(std::string_view call, std::vector<LoggedEvent> events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& left, const auto& right) {
                     return left.time < right.time;
                   });
  CallTrace trace{std::string(call), std::move(events), CallCause::kUnfinished,
                  false, ""};
  const auto* refused = LastEventNamed(trace.events, "CallRefused");
  const auto* failed = LastEventNamed(trace.events, "SendFailed");
  const bool sent = LastEventNamed(trace.events, "CallSent") != nullptr;
  if (refused != nullptr) {
    trace.cause = CauseOfRefusal(*refused, failed);
    trace.may_have_run = refused->Field("not_run") == "false";
  } else if (LastEventNamed(trace.events, "SendEnded") != nullptr) {
    trace.cause = CallCause::kAnswered;
    trace.may_have_run = true;
  } else if (LastEventNamed(trace.events, "CallerGone") != nullptr) {
    trace.cause = CallCause::kCallerDisconnected;
    trace.may_have_run = sent;
  } else {
    trace.cause = CauseOfFailure(failed);
    trace.may_have_run = sent;
  }
  trace.description = DescribeEnd(trace, refused, failed);
  return trace;
}

LoggedEvent ParseEvent(const nlohmann::json& json) {
  LoggedEvent event;
  for (const auto& [name, value] : json.items()) {
    auto text = AsText(value);
    if (name == "time") {
      event.time = std::move(text);
    } else if (name == "vm") {
      event.vm = std::move(text);
    } else if (name == "event") {
      event.event = std::move(text);
    } else if (name == "call") {
      event.call = std::move(text);
    } else if (name == "text") {
      event.text = std::move(text);
    } else {
      event.fields[name] = std::move(text);
    }
  }
  return event;
}

}  // namespace

std::string_view NameOf(CallCause cause) {
  return NameOf<CallCause>(kCauses, cause);
}

std::string_view LoggedEvent::Field(std::string_view name) const {
  const auto it = fields.find(std::string(name));
  return it == fields.end() ? std::string_view() : it->second;
}

void ReadLogLines(std::istream& in, ParsedLogs* logs) {
  std::string line;
  while (std::getline(in, line)) {
    const auto brace = line.find('{');
    if (brace == std::string::npos) {
      logs->skipped_lines += line.empty() ? 0 : 1;
      continue;
    }
    const auto json = nlohmann::json::parse(line.substr(brace), nullptr, false);
    if (!json.is_object()) {
      ++logs->skipped_lines;
      continue;
    }
    if (json.contains("dropped") && json["dropped"].is_number_integer()) {
      logs->dropped_lines += json["dropped"].get<std::int64_t>();
    }
    logs->events.push_back(ParseEvent(json));
  }
}

CallTrace TraceCall(const ParsedLogs& logs, std::string_view call) {
  std::vector<LoggedEvent> events;
  std::copy_if(logs.events.begin(), logs.events.end(),
               std::back_inserter(events),
               [call](const auto& it) { return it.call == call; });
  return BuildTrace(call, std::move(events));
}

std::map<CallCause, std::size_t> CountCauses(const ParsedLogs& logs) {
  std::map<std::string, std::vector<LoggedEvent>> calls;
  for (const auto& it : logs.events) {
    if (!it.call.empty()) {
      calls[it.call].push_back(it);
    }
  }
  std::map<CallCause, std::size_t> counts;
  for (auto& [call, events] : calls) {
    ++counts[BuildTrace(call, std::move(events)).cause];
  }
  return counts;
}

}  // namespace baobabrun
