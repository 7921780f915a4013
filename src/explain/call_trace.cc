// Reading log lines and judging them.
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
    {CallCause::kRateLeader, "rate-used-up"},
    {CallCause::kRateAlone, "rate-without-leader"},
    {CallCause::kNoManifest, "no-manifest"},
    {CallCause::kNotAllowed, "not-allowed"},
    {CallCause::kPoison, "poison"},
    {CallCause::kNoEndpoint, "no-endpoint"},
    {CallCause::kUnreachable, "endpoints-unreachable"},
    {CallCause::kEndpointFull, "endpoint-full"},
    {CallCause::kBrokenOff, "broken-off"},
    {CallCause::kEndpointError, "endpoint-error"},
    {CallCause::kTimeOver, "time-over"},
    {CallCause::kCallerLeft, "caller-left"},
    {CallCause::kOpen, "open"},
};

// The value of a refusal's "reason" and what it means by itself. All others say
// that the call isn't allowed.
struct ReasonEntry {
  std::string_view reason;
  CallCause cause;
};
constexpr ReasonEntry kReasons[] = {
    {"rate_exceeded", CallCause::kRateLeader},
    {"no_quorum", CallCause::kNoManifest},
    {"poison", CallCause::kPoison},
    {"deadline", CallCause::kTimeOver},
    {"no_endpoint", CallCause::kNoEndpoint},
    {"endpoint_failed", CallCause::kBrokenOff},
};

std::string AsText(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Null if no line of `events` is of that kind.
const LoggedEvent* LastOf(const std::vector<LoggedEvent>& events,
                          std::string_view kind) {
  const auto it =
      std::find_if(events.rbegin(), events.rend(),
                   [kind](const auto& event) { return event.event == kind; });
  return it == events.rend() ? nullptr : &*it;
}

// What the last failed sending adds to a refusal that it led to.
CallCause WithSending(CallCause cause, const LoggedEvent* failed) {
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
  if (it->cause == CallCause::kRateLeader &&
      refused.Field("quota") == "alone") {
    return CallCause::kRateAlone;
  }
  return WithSending(it->cause, failed);
}

// Without a refusal: an endpoint's failure was passed on, or nothing ended it.
CallCause CauseOfFailure(const LoggedEvent* failed) {
  return failed != nullptr && failed->Field("outcome") == "failure"
             ? CallCause::kEndpointError
             : CallCause::kOpen;
}

std::string DescribeRefusal(const LoggedEvent& refused, bool may_have_run) {
  auto out = fmt::format(" at vm {}: {}; {}", refused.vm, refused.text,
                         may_have_run ? "it may have run" : "it has not run");
  if (refused.Field("cut") == "true") {
    out += ", and the caller had part of the answer";
  }
  const auto retry = refused.Field("retry_ms");
  if (!retry.empty() && retry != "0") {
    out += fmt::format("; told to come back in {} ms", retry);
  }
  return out;
}

std::string DescribeSending(const LoggedEvent& failed) {
  auto out = fmt::format(
      "; the last failed sending, to endpoint {}, ended {} after {} ms, "
      "status {}",
      failed.Field("endpoint"), failed.Field("outcome"),
      failed.Field("took_ms"), failed.Field("status"));
  if (const auto detail = failed.Field("detail"); !detail.empty()) {
    out += fmt::format(" ({})", detail);
  }
  return out;
}

std::string Sentence(const CallStory& story,
                     const LoggedEvent* refused,
                     const LoggedEvent* failed) {
  if (story.cause == CallCause::kAnswered) {
    const auto* ended = LastOf(story.events, "SendEnded");
    return fmt::format("answered by endpoint {} after {} ms, status {}",
                       ended->Field("endpoint"), ended->Field("took_ms"),
                       ended->Field("status"));
  }
  if (story.cause == CallCause::kCallerLeft) {
    const auto* gone = LastOf(story.events, "CallerGone");
    return fmt::format("its caller left after {} ms; last endpoint: {}",
                       gone->Field("waited_ms"), gone->Field("endpoint"));
  }
  std::string out(NameOf(story.cause));
  if (refused != nullptr) {
    out += DescribeRefusal(*refused, story.may_have_run);
  }
  if (failed != nullptr) {
    out += DescribeSending(*failed);
  }
  return out;
}

CallStory Tell(std::string_view call, std::vector<LoggedEvent> events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const auto& left, const auto& right) {
                     return left.time < right.time;
                   });
  CallStory story{std::string(call), std::move(events), CallCause::kOpen, false,
                  ""};
  const auto* refused = LastOf(story.events, "CallRefused");
  const auto* failed = LastOf(story.events, "SendFailed");
  const bool sent = LastOf(story.events, "CallSent") != nullptr;
  if (refused != nullptr) {
    story.cause = CauseOfRefusal(*refused, failed);
    story.may_have_run = refused->Field("not_run") == "false";
  } else if (LastOf(story.events, "SendEnded") != nullptr) {
    story.cause = CallCause::kAnswered;
    story.may_have_run = true;
  } else if (LastOf(story.events, "CallerGone") != nullptr) {
    story.cause = CallCause::kCallerLeft;
    story.may_have_run = sent;
  } else {
    story.cause = CauseOfFailure(failed);
    story.may_have_run = sent;
  }
  story.sentence = Sentence(story, refused, failed);
  return story;
}

LoggedEvent EventOf(const nlohmann::json& json) {
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

void ReadLogLines(std::istream& in, ReadLogs* logs) {
  std::string line;
  while (std::getline(in, line)) {
    const auto brace = line.find('{');
    if (brace == std::string::npos) {
      logs->unreadable += line.empty() ? 0 : 1;
      continue;
    }
    const auto json = nlohmann::json::parse(line.substr(brace), nullptr, false);
    if (!json.is_object()) {
      ++logs->unreadable;
      continue;
    }
    if (json.contains("dropped") && json["dropped"].is_number_integer()) {
      logs->dropped += json["dropped"].get<std::int64_t>();
    }
    logs->events.push_back(EventOf(json));
  }
}

CallStory TellCall(const ReadLogs& logs, std::string_view call) {
  std::vector<LoggedEvent> events;
  std::copy_if(logs.events.begin(), logs.events.end(),
               std::back_inserter(events),
               [call](const auto& it) { return it.call == call; });
  return Tell(call, std::move(events));
}

std::map<CallCause, std::size_t> CountCauses(const ReadLogs& logs) {
  std::map<std::string, std::vector<LoggedEvent>> calls;
  for (const auto& it : logs.events) {
    if (!it.call.empty()) {
      calls[it.call].push_back(it);
    }
  }
  std::map<CallCause, std::size_t> counts;
  for (auto& [call, events] : calls) {
    ++counts[Tell(call, std::move(events)).cause];
  }
  return counts;
}

}  // namespace baobabrun
