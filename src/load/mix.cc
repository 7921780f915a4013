// Reads a mix from JSON.
#include "load/mix.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "base/file.h"
#include "settings/json_reader.h"
#include "settings/settings_error.h"

namespace baobabrun::load {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxRate = 1'000'000;
constexpr std::int64_t kMaxPercent = 100;
constexpr std::int64_t kMaxLevels = 8;
constexpr std::int64_t kMaxFanOut = 100'000;

void ReadMilliseconds(ObjectReader& reader, const char* name, Duration* out) {
  std::int64_t n = std::chrono::duration_cast<milliseconds>(*out).count();
  reader.Optional(name, &n);
  *out = milliseconds(n);
}

void ReadAddressInto(ObjectReader& reader,
                     const char* name,
                     const std::string& text,
                     Address* out) {
  const auto address = ParseAddress(text);
  if (!address.ok()) {
    reader.Fail(name, address.error().message);
    return;
  }
  *out = address.value();
}

void ReadEntries(ObjectReader& reader, Mix* out) {
  std::vector<std::string> texts;
  reader.Optional("entries", &texts);
  for (const auto& text : texts) {
    Address address;
    ReadAddressInto(reader, "entries", text, &address);
    out->entries.push_back(address);
  }
}

Status ReadOrganisation(const json& item,
                        const std::string& source,
                        const std::string& path,
                        OrganisationLoad* out) {
  ObjectReader reader(item, source, path);
  reader.Required("organisation", &out->organisation);
  reader.Optional("key", &out->key);
  reader.Optional("model", &out->model);
  reader.Optional("requests_per_second", &out->requests_per_second, 1,
                  kMaxRate);
  reader.Optional("prompt_bytes", &out->prompt_bytes, 64);
  reader.Optional("answer_tokens", &out->answer_tokens, 1);
  reader.Optional("max_tokens", &out->max_tokens, 1);
  reader.Optional("stream_percent", &out->stream_percent, 0, kMaxPercent);
  reader.Optional("service_percent", &out->service_percent, 0, kMaxPercent);
  reader.Optional("service_method", &out->service_method);
  reader.Optional("service_path", &out->service_path);
  reader.Optional("over_rate", &out->over_rate);
  if (out->service_percent > 0 && out->service_path.empty()) {
    reader.Fail("service_path", "is required when service_percent is above 0");
  }
  return reader.Finish();
}

void ReadOrganisations(ObjectReader& reader, Mix* out) {
  const auto* items = reader.Array("organisations");
  for (std::size_t n = 0; items != nullptr && n < items->size(); ++n) {
    const auto status =
        ReadOrganisation((*items)[n], reader.source(),
                         reader.PathOf(fmt::format("organisations/{}", n)),
                         &out->organisations.emplace_back());
    if (!status.ok()) {
      reader.Fail("organisations", status.error().message);
      return;
    }
  }
}

void ReadPrefixes(ObjectReader& reader, PrefixShape* out) {
  const auto* object = reader.Object("prefixes");
  if (object == nullptr) {
    return;
  }
  ObjectReader fields(*object, reader.source(), reader.PathOf("prefixes"));
  fields.Optional("level_bytes", &out->level_bytes, 1);
  fields.Optional("zipf_permille", &out->zipf_permille, 0);
  if (const auto* levels = fields.Array("fan_out")) {
    for (const auto& it : *levels) {
      if (!it.is_number_integer() || it < 1 || it > kMaxFanOut ||
          out->fan_out.size() == kMaxLevels) {
        fields.Fail("fan_out",
                    "must be at most 8 whole numbers from 1 to 100000");
        break;
      }
      out->fan_out.push_back(it.get<std::int32_t>());
    }
  }
  const auto status = fields.Finish();
  if (!status.ok()) {
    reader.Fail("prefixes", status.error().message);
  }
}

Status ReadFault(const json& item,
                 const std::string& source,
                 const std::string& path,
                 PlannedFault* out) {
  std::string endpoint;
  std::string fault;
  std::int64_t count = 1;
  std::int64_t after = 0;
  std::int64_t value = 0;
  ObjectReader reader(item, source, path);
  ReadMilliseconds(reader, "at_ms", &out->at);
  reader.Required("endpoint", &endpoint);
  reader.Required("fault", &fault);
  reader.Optional("count", &count);
  reader.Optional("after", &after);
  reader.Optional("value", &value);
  ReadAddressInto(reader, "endpoint", endpoint, &out->endpoint);
  const json body = {
      {"fault", fault}, {"count", count}, {"after", after}, {"value", value}};
  out->body = body.dump();
  return reader.Finish();
}

void ReadFaults(ObjectReader& reader, Mix* out) {
  const auto* items = reader.Array("faults");
  for (std::size_t n = 0; items != nullptr && n < items->size(); ++n) {
    const auto status = ReadFault((*items)[n], reader.source(),
                                  reader.PathOf(fmt::format("faults/{}", n)),
                                  &out->faults.emplace_back());
    if (!status.ok()) {
      reader.Fail("faults", status.error().message);
      return;
    }
  }
}

}  // namespace

Result<Mix> ParseMix(std::string_view text, std::string_view source) {
  auto parsed = ParseJson(text, source);
  if (!parsed.ok()) {
    return parsed.error();
  }
  Mix mix;
  ObjectReader reader(parsed.value(), std::string(source), "");
  ReadEntries(reader, &mix);
  ReadMilliseconds(reader, "duration_ms", &mix.duration);
  ReadMilliseconds(reader, "drain_ms", &mix.drain);
  ReadPrefixes(reader, &mix.prefixes);
  ReadOrganisations(reader, &mix);
  ReadFaults(reader, &mix);
  if (mix.organisations.empty()) {
    reader.Fail("organisations", "must not be empty");
  }
  const auto status = reader.Finish();
  if (!status.ok()) {
    return status.error();
  }
  return mix;
}

Result<Mix> LoadMix(const std::filesystem::path& file) {
  auto text = ReadTextFile(file);
  if (!text.ok()) {
    return Error{SettingsError::kUnreadable, text.error().message};
  }
  return ParseMix(text.value(), file.string());
}

}  // namespace baobabrun::load
