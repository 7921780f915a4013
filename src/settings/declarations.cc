// Reads, checks and writes declarations.
#include "settings/declarations.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "base/file.h"
#include "settings/json_reader.h"
#include "settings/settings_error.h"

namespace baobabrun {
namespace {

using nlohmann::json;

constexpr NameEntry<PriorityClass> kPriorityNames[] = {
    {PriorityClass::kInteractive, "interactive"},
    {PriorityClass::kStandard, "standard"},
    {PriorityClass::kBatch, "batch"},
};
constexpr NameEntry<WhenIsolated> kWhenIsolatedNames[] = {
    {WhenIsolated::kServe, "serve"},
    {WhenIsolated::kRefuse, "refuse"},
};

// Rates above this would overflow micro-token arithmetic.
constexpr std::int64_t kMaxTokens = 1'000'000'000;

template <class Id>
void ReadId(ObjectReader& reader, const char* name, Id* out) {
  std::string text;
  reader.Required(name, &text);
  *out = Id(std::move(text));
}

template <class Id>
void ReadIds(ObjectReader& reader, const char* name, std::vector<Id>* out) {
  std::vector<std::string> texts;
  reader.Optional(name, &texts);
  for (auto& it : texts) {
    out->push_back(Id(std::move(it)));
  }
}

template <class E>
void ReadName(ObjectReader& reader,
              const char* name,
              std::span<const NameEntry<E>> table,
              E* out) {
  std::string text(NameOf(table, *out));
  reader.Optional(name, &text);
  const auto value = FromName(table, text);
  if (!value) {
    reader.Fail(name, fmt::format("'{}' is not one of its values", text));
    return;
  }
  *out = *value;
}

void Read(ObjectReader& reader, Contract* out) {
  ReadId(reader, "organisation", &out->organisation);
  ReadIds(reader, "models", &out->models);
  ReadIds(reader, "routes", &out->routes);
  reader.Optional("tokens_per_second", &out->tokens_per_second, 0, kMaxTokens);
  reader.Optional("burst_tokens", &out->burst_tokens, 0, kMaxTokens);
  reader.Optional("requests_per_second", &out->requests_per_second, 0,
                  kMaxTokens);
  reader.Optional("burst_requests", &out->burst_requests, 0, kMaxTokens);
  reader.Optional("max_output_tokens", &out->max_output_tokens, 1, kMaxTokens);
  reader.Optional("max_concurrent", &out->max_concurrent, 1, 1'000'000);
  reader.Optional("weight", &out->weight, 1, 1'000);
  ReadName<PriorityClass>(reader, "priority", kPriorityNames, &out->priority);
  ReadName<WhenIsolated>(reader, "when_isolated", kWhenIsolatedNames,
                         &out->when_isolated);
  if (!out->models.empty() && out->burst_tokens < out->max_output_tokens) {
    reader.Fail("burst_tokens", "must be at least max_output_tokens");
  }
}

void Read(ObjectReader& reader, KeyRecord* out) {
  ReadId(reader, "key", &out->key);
  ReadId(reader, "organisation", &out->organisation);
  std::string hex;
  reader.Required("hash", &hex);
  const auto bytes = FromHex(hex);
  if (bytes.size() != out->hash.size()) {
    reader.Fail("hash", "must be 64 hexadecimal digits");
  } else {
    std::copy(bytes.begin(), bytes.end(), out->hash.begin());
  }
  reader.Optional("withdrawn", &out->withdrawn);
}

void Read(ObjectReader& reader, Route* out) {
  ReadId(reader, "route", &out->route);
  reader.Required("path", &out->path);
  if (!out->path.starts_with('/') || !out->path.ends_with('/')) {
    reader.Fail("path", "must begin and end with '/'");
  }
  reader.Required("service", &out->service);
  reader.Optional("open", &out->open);
  reader.Optional("repeatable", &out->repeatable);
}

void Read(ObjectReader& reader, Model* out) {
  ReadId(reader, "model", &out->model);
  reader.Required("weights", &out->weights);
  reader.Optional("adapter", &out->adapter);
  reader.Optional("block_tokens", &out->block_tokens, 16, 1 << 20);
  reader.Optional("wanted_endpoints", &out->wanted_endpoints, 0, 100'000);
}

// Reads the array `name` of `reader` into `out`. Each element is an object.
template <class T>
void ReadArray(ObjectReader& reader, const char* name, std::vector<T>* out) {
  const auto* array = reader.Array(name);
  if (array == nullptr) {
    return;
  }
  for (std::size_t n = 0; n < array->size(); ++n) {
    T item;
    ObjectReader fields((*array)[n], reader.source(),
                        reader.PathOf(fmt::format("{}/{}", name, n)));
    Read(fields, &item);
    const auto status = fields.Finish();
    if (!status.ok()) {
      reader.Fail(name, status.error().message);
      return;
    }
    out->push_back(std::move(item));
  }
}

// Fails if two items have the same value of `member`.
template <class T, class Member>
Status CheckUnique(const std::vector<T>& items,
                   Member member,
                   std::string_view what,
                   std::string_view source) {
  std::set<std::string> seen;
  for (const auto& it : items) {
    if (!seen.insert((it.*member).value()).second) {
      return Error{SettingsError::kInvalid,
                   fmt::format("{}: {} '{}' is declared twice", source, what,
                               (it.*member).value())};
    }
  }
  return Ok();
}

Status CheckContractRefs(const Declarations& all, std::string_view source) {
  const auto fail = [source](std::string text) {
    return Error{SettingsError::kInvalid, fmt::format("{}: {}", source, text)};
  };
  for (const auto& contract : all.contracts) {
    for (const auto& it : contract.models) {
      if (all.FindModel(it) == nullptr) {
        return fail(
            fmt::format("contract '{}' names model '{}', which is not "
                        "declared",
                        contract.organisation.value(), it.value()));
      }
    }
    for (const auto& id : contract.routes) {
      if (std::none_of(all.routes.begin(), all.routes.end(),
                       [&id](const auto& it) { return it.route == id; })) {
        return fail(
            fmt::format("contract '{}' names route '{}', which is not "
                        "declared",
                        contract.organisation.value(), id.value()));
      }
    }
  }
  return Ok();
}

// Checks the rules that apply to the declarations of all files together.
Status CheckConsistency(const Declarations& all, std::string_view source) {
  const Status checks[] = {
      CheckUnique(all.contracts, &Contract::organisation, "contract", source),
      CheckUnique(all.keys, &KeyRecord::key, "key", source),
      CheckUnique(all.routes, &Route::route, "route", source),
      CheckUnique(all.models, &Model::model, "model", source),
      CheckContractRefs(all, source),
  };
  for (const auto& it : checks) {
    if (!it.ok()) {
      return it.error();
    }
  }
  return Ok();
}

Status ReadInto(std::string_view text,
                std::string_view source,
                Declarations* out) {
  auto parsed = ParseJson(text, source);
  if (!parsed.ok()) {
    return parsed.error();
  }
  ObjectReader reader(parsed.value(), std::string(source), "");
  ReadArray(reader, "contracts", &out->contracts);
  ReadArray(reader, "keys", &out->keys);
  ReadArray(reader, "routes", &out->routes);
  ReadArray(reader, "models", &out->models);
  return reader.Finish();
}

template <class Id>
json IdsToJson(const std::vector<Id>& ids) {
  json out = json::array();
  for (const auto& it : ids) {
    out.push_back(it.value());
  }
  return out;
}

json Write(const Contract& it) {
  return {{"organisation", it.organisation.value()},
          {"models", IdsToJson(it.models)},
          {"routes", IdsToJson(it.routes)},
          {"tokens_per_second", it.tokens_per_second},
          {"burst_tokens", it.burst_tokens},
          {"requests_per_second", it.requests_per_second},
          {"burst_requests", it.burst_requests},
          {"max_output_tokens", it.max_output_tokens},
          {"max_concurrent", it.max_concurrent},
          {"weight", it.weight},
          {"priority", NameOf<PriorityClass>(kPriorityNames, it.priority)},
          {"when_isolated",
           NameOf<WhenIsolated>(kWhenIsolatedNames, it.when_isolated)}};
}

json Write(const KeyRecord& it) {
  const std::string_view bytes(reinterpret_cast<const char*>(it.hash.data()),
                               it.hash.size());
  return {{"key", it.key.value()},
          {"organisation", it.organisation.value()},
          {"hash", ToHex(bytes)},
          {"withdrawn", it.withdrawn}};
}

json Write(const Route& it) {
  return {{"route", it.route.value()},
          {"path", it.path},
          {"service", it.service},
          {"open", it.open},
          {"repeatable", it.repeatable}};
}

json Write(const Model& it) {
  return {{"model", it.model.value()},
          {"weights", it.weights},
          {"adapter", it.adapter},
          {"block_tokens", it.block_tokens},
          {"wanted_endpoints", it.wanted_endpoints}};
}

template <class T>
json WriteArray(const std::vector<T>& items) {
  json out = json::array();
  for (const auto& it : items) {
    out.push_back(Write(it));
  }
  return out;
}

Result<std::vector<std::filesystem::path>> JsonFiles(
    const std::filesystem::path& directory) {
  std::error_code ec;
  std::vector<std::filesystem::path> files;
  for (const auto& it : std::filesystem::directory_iterator(directory, ec)) {
    if (it.path().extension() == ".json") {
      files.push_back(it.path());
    }
  }
  if (ec) {
    return Error{SettingsError::kUnreadable,
                 fmt::format("{}: {}", directory.string(), ec.message())};
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace

std::span<const NameEntry<PriorityClass>> PriorityClassNames() {
  return kPriorityNames;
}

const Contract* Declarations::FindContract(
    const OrganisationId& organisation) const {
  const auto it = std::find_if(
      contracts.begin(), contracts.end(),
      [&](const auto& entry) { return entry.organisation == organisation; });
  return it == contracts.end() ? nullptr : &*it;
}

const Model* Declarations::FindModel(const ModelId& model) const {
  const auto it =
      std::find_if(models.begin(), models.end(),
                   [&](const auto& entry) { return entry.model == model; });
  return it == models.end() ? nullptr : &*it;
}

const Route* Declarations::MatchRoute(std::string_view path) const {
  const Route* best = nullptr;
  for (const auto& it : routes) {
    if (path.starts_with(it.path) &&
        (best == nullptr || it.path.size() > best->path.size())) {
      best = &it;
    }
  }
  return best;
}

Result<Declarations> ParseDeclarations(std::string_view json_text,
                                       std::string_view source) {
  Declarations all;
  auto status = ReadInto(json_text, source, &all);
  if (status.ok()) {
    status = CheckConsistency(all, source);
  }
  if (!status.ok()) {
    return status.error();
  }
  return all;
}

Result<Declarations> LoadDeclarations(const std::filesystem::path& directory) {
  auto files = JsonFiles(directory);
  if (!files.ok()) {
    return files.error();
  }
  Declarations all;
  for (const auto& it : files.value()) {
    auto text = ReadTextFile(it);
    if (!text.ok()) {
      return Error{SettingsError::kUnreadable, text.error().message};
    }
    const auto status = ReadInto(text.value(), it.string(), &all);
    if (!status.ok()) {
      return status.error();
    }
  }
  const auto status = CheckConsistency(all, directory.string());
  if (!status.ok()) {
    return status.error();
  }
  return all;
}

std::string ToJson(const Declarations& declarations) {
  const json out = {{"contracts", WriteArray(declarations.contracts)},
                    {"keys", WriteArray(declarations.keys)},
                    {"routes", WriteArray(declarations.routes)},
                    {"models", WriteArray(declarations.models)}};
  return out.dump();
}

std::uint64_t FleetState::WeightsOf(const ModelId& model) const {
  const auto it = std::find_if(
      named_weights.begin(), named_weights.end(),
      [&model](const auto& named) { return named.model == model; });
  return it == named_weights.end() ? 0 : it->weights;
}

}  // namespace baobabrun
