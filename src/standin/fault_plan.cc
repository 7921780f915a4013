// Names and reading of faults.
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

// Cuts the part before the next ':' off `text`.
std::string_view TakePart(std::string_view* text) {
  const auto part = text->substr(0, text->find(':'));
  text->remove_prefix(std::min(text->size(), part.size() + 1));
  return part;
}

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

bool ConcernsEndpoint(FaultKind kind) {
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

Result<FaultOrder> ParseFaultOrder(std::string_view json) {
  auto parsed = ParseJson(json, kSource);
  if (!parsed.ok()) {
    return parsed.error();
  }
  FaultOrder order;
  std::string name;
  ObjectReader reader(parsed.value(), kSource, "");
  reader.Required("fault", &name);
  reader.Optional("count", &order.count);
  reader.Optional("after", &order.fault.after);
  reader.Optional("value", &order.fault.value);
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  const auto kind = FromName<FaultKind>(kNames, name);
  if (!kind) {
    return UnknownFault(name);
  }
  order.fault.kind = *kind;
  return order;
}

Result<FaultOrder> ParseFaultOption(std::string_view text) {
  FaultOrder order;
  const auto name = TakePart(&text);
  const auto kind = FromName<FaultKind>(kNames, name);
  if (!kind) {
    return UnknownFault(name);
  }
  order.fault.kind = *kind;
  auto* second = ConcernsEndpoint(*kind) ? &order.fault.value : &order.count;
  if (!TakeNumber(&text, second) || !TakeNumber(&text, &order.fault.after) ||
      !text.empty()) {
    return Error{std::make_error_code(std::errc::invalid_argument),
                 "a fault is NAME[:COUNT[:AFTER]], or NAME[:VALUE] for one of "
                 "the whole endpoint"};
  }
  return order;
}

void FaultPlan::Add(const FaultOrder& order) {
  if (order.count > 0) {
    waiting_.push_back(order);
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
  auto& order = waiting_.front();
  const auto fault = order.fault;
  if (--order.count == 0) {
    waiting_.pop_front();
  }
  return fault;
}

}  // namespace baobabrun::standin
