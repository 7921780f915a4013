// Names and parsing of faults.
#include "standin/fault_plan.h"

#include <fmt/core.h>

#include <charconv>
#include <nlohmann/json.hpp>

#include "settings/json_reader.h"

namespace baobabrun::standin {
namespace {

constexpr NameEntry<FaultKind> kNames[] = {
    {FaultKind::kSilent, "silent"},
    {FaultKind::kCutBeforeFirstByte, "cut-before-first-byte"},
    {FaultKind::kCutMidEvent, "cut-mid-event"},
    {FaultKind::kCutBeforeMarker, "cut-before-marker"},
    {FaultKind::kCutAfterMarker, "cut-after-marker"},
    {FaultKind::kWrongAttempt, "wrong-attempt"},
    {FaultKind::kDoubledEvent, "doubled-event"},
    {FaultKind::kSkippedEvent, "skipped-event"},
    {FaultKind::kRefuse500, "refuse-500"},
    {FaultKind::kRefuse503, "refuse-503"},
    {FaultKind::kFailAfterRun, "fail-after-run"},
    {FaultKind::kCrash, "crash"},
    {FaultKind::kLagEvents, "lag-events"},
    {FaultKind::kLoseEvents, "lose-events"},
    {FaultKind::kSlow, "slow"},
};

constexpr char kSource[] = "fault";

Error UnknownFault(std::string_view name) {
  return {std::make_error_code(std::errc::invalid_argument),
          fmt::format("fault '{}' must be one of {}", name, FaultNames())};
}

// Returns the part of `text` before the next ':' and removes it and the ':'.
std::string_view TakePart(std::string_view* text) {
  const auto part = text->substr(0, text->find(':'));
  text->remove_prefix(std::min(text->size(), part.size() + 1));
  return part;
}

// Reads the next part of `text` as a number that isn't negative. Leaves `out`
// unchanged if the part is empty. Returns false if the part is invalid.
bool TakeNumber(std::string_view* text, std::int64_t* out) {
  const auto part = TakePart(text);
  if (part.empty()) {
    return true;
  }
  const auto* end = part.data() + part.size();
  const auto result = std::from_chars(part.data(), end, *out);
  return result.ec == std::errc() && result.ptr == end && *out >= 0;
}

}  // namespace

bool IsEndpointFault(FaultKind kind) {
  return kind >= FaultKind::kCrash;
}

std::string FaultNames() {
  std::string out;
  for (const auto& it : kNames) {
    out += out.empty() ? "" : "|";
    out += it.name;
  }
  return out;
}

Result<ScheduledFault> ParseScheduledFault(std::string_view json) {
  auto parsed = ParseJson(json, kSource);
  if (!parsed.ok()) {
    return parsed.error();
  }
  ScheduledFault scheduled;
  std::string name;
  ObjectReader reader(parsed.value(), kSource, "");
  reader.Required("fault", &name);
  reader.Optional("count", &scheduled.count);
  reader.Optional("after", &scheduled.fault.after);
  reader.Optional("value", &scheduled.fault.value);
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  const auto kind = FromName<FaultKind>(kNames, name);
  if (!kind) {
    return UnknownFault(name);
  }
  scheduled.fault.kind = *kind;
  return scheduled;
}

Result<ScheduledFault> ParseFaultOption(std::string_view text) {
  ScheduledFault scheduled;
  const auto name = TakePart(&text);
  const auto kind = FromName<FaultKind>(kNames, name);
  if (!kind) {
    return UnknownFault(name);
  }
  scheduled.fault.kind = *kind;
  auto* second =
      IsEndpointFault(*kind) ? &scheduled.fault.value : &scheduled.count;
  if (!TakeNumber(&text, second) ||
      !TakeNumber(&text, &scheduled.fault.after) || !text.empty()) {
    return Error{std::make_error_code(std::errc::invalid_argument),
                 "a fault must be NAME[:COUNT[:AFTER]], or NAME[:VALUE] for a "
                 "fault of the whole endpoint"};
  }
  return scheduled;
}

void FaultPlan::Add(const ScheduledFault& scheduled) {
  if (scheduled.count > 0) {
    waiting_.push_back(scheduled);
  }
}

std::int64_t FaultPlan::waiting() const {
  std::int64_t n = 0;
  for (const auto& it : waiting_) {
    n += it.count;
  }
  return n;
}

std::optional<Fault> FaultPlan::Take() {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  auto& scheduled = waiting_.front();
  const auto fault = scheduled.fault;
  if (--scheduled.count == 0) {
    waiting_.pop_front();
  }
  return fault;
}

}  // namespace baobabrun::standin
