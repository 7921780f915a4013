// Reads and writes reports as JSON. The file contains every latency, so that a
// later comparison can compute any quantile.
#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "load/report.h"
#include "settings/json_reader.h"

namespace baobabrun::load {
namespace {

using nlohmann::json;

json ToJsonValue(const RequestStats& stats) {
  json outcomes = json::object();
  for (const auto& [outcome, n] : stats.outcomes) {
    outcomes[std::string(
        NameOf<AnswerOutcome>(AnswerOutcomeNames(), outcome))] = n;
  }
  return {{"requests", stats.requests},
          {"outcomes", std::move(outcomes)},
          {"codes", stats.codes},
          {"wrongful_refusals", stats.wrongful_refusals},
          {"first_text_us", stats.first_text.microseconds},
          {"end_us", stats.end.microseconds}};
}

RequestStats RequestStatsFrom(const json& value) {
  RequestStats out;
  out.requests = value.at("requests").get<std::int64_t>();
  out.wrongful_refusals = value.at("wrongful_refusals").get<std::int64_t>();
  value.at("codes").get_to(out.codes);
  value.at("first_text_us").get_to(out.first_text.microseconds);
  value.at("end_us").get_to(out.end.microseconds);
  for (const auto& it : value.at("outcomes").items()) {
    const auto outcome =
        FromName<AnswerOutcome>(AnswerOutcomeNames(), it.key());
    if (outcome) {
      out.outcomes[*outcome] = it.value().get<std::int64_t>();
    }
  }
  return out;
}

Report ReportFrom(const json& value) {
  Report out;
  out.seed = value.at("seed").get<std::uint64_t>();
  out.seconds = value.at("seconds").get<double>();
  out.violations = value.at("violations").get<std::int64_t>();
  value.at("send_delay_us").get_to(out.send_delay.microseconds);
  for (const auto& it : value.at("organisations").items()) {
    out.organisations[it.key()] = RequestStatsFrom(it.value());
  }
  return out;
}

}  // namespace

std::string ToJson(const Report& report) {
  json organisations = json::object();
  for (const auto& [name, stats] : report.organisations) {
    organisations[name] = ToJsonValue(stats);
  }
  const json out = {{"seed", report.seed},
                    {"seconds", report.seconds},
                    {"violations", report.violations},
                    {"send_delay_us", report.send_delay.microseconds},
                    {"organisations", std::move(organisations)}};
  return out.dump() + "\n";
}

Result<Report> ParseReport(std::string_view text, std::string_view source) {
  const auto parsed = ParseJson(text, source);
  if (!parsed.ok()) {
    return parsed.error();
  }
  try {
    return ReportFrom(parsed.value());
  } catch (const json::exception& error) {
    return Error{
        std::make_error_code(std::errc::invalid_argument),
        fmt::format("{}: not a load report: {}", source, error.what())};
  }
}

}  // namespace baobabrun::load
