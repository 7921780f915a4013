// Reads typed fields of JSON objects.
#include "settings/json_reader.h"

#include <fmt/core.h>

#include <cmath>

#include "settings/settings_error.h"

namespace baobabrun {
namespace {

// Up to here, a double holds every whole number exactly.
constexpr double kMaxWholeDouble = 9'007'199'254'740'992.0;

}  // namespace

Result<nlohmann::json> ParseJson(std::string_view text,
                                 std::string_view source,
                                 const JsonBounds& bounds) {
  if (const auto status = CheckJsonBounds(text, bounds); !status.ok()) {
    return Error{SettingsError::kNotJson,
                 fmt::format("{}: {}", source, status.error().message)};
  }
  try {
    return nlohmann::json::parse(text, nullptr, true, true);
  } catch (const nlohmann::json::exception& e) {
    return Error{SettingsError::kNotJson,
                 fmt::format("{}: {}", source, e.what())};
  }
}

ObjectReader::ObjectReader(const nlohmann::json& json,
                           std::string source,
                           std::string path)
    : json_(json), source_(std::move(source)), path_(std::move(path)) {
  if (!json_.is_object()) {
    Fail("", "must be an object");
  }
}

std::string ObjectReader::PathOf(std::string_view name) const {
  if (name.empty()) {
    return path_.empty() ? "/" : path_;
  }
  return fmt::format("{}/{}", path_, name);
}

void ObjectReader::Fail(std::string_view name, std::string_view reason) {
  if (!error_) {
    error_ = Error{SettingsError::kInvalid,
                   fmt::format("{}: {}: {}", source_, PathOf(name), reason)};
  }
}

const nlohmann::json* ObjectReader::Find(const char* name) {
  known_.insert(name);
  if (!json_.is_object()) {
    return nullptr;
  }
  const auto it = json_.find(name);
  return it == json_.end() ? nullptr : &*it;
}

void ObjectReader::Required(const char* name, std::string* out) {
  if (Find(name) == nullptr) {
    Fail(name, "is missing");
    return;
  }
  Optional(name, out);
  if (out->empty()) {
    Fail(name, "must not be empty");
  }
}

void ObjectReader::Optional(const char* name, std::string* out) {
  const auto* json = Find(name);
  if (json == nullptr) {
    return;
  }
  if (!json->is_string()) {
    Fail(name, "must be a string");
    return;
  }
  *out = json->get<std::string>();
}

void ObjectReader::Optional(const char* name, bool* out) {
  const auto* json = Find(name);
  if (json == nullptr) {
    return;
  }
  if (!json->is_boolean()) {
    Fail(name, "must be true or false");
    return;
  }
  *out = json->get<bool>();
}

void ObjectReader::Optional(const char* name, std::vector<std::string>* out) {
  const auto* array = Array(name);
  if (array == nullptr) {
    return;
  }
  out->clear();
  for (const auto& it : *array) {
    if (!it.is_string()) {
      Fail(name, "must hold strings only");
      return;
    }
    out->push_back(it.get<std::string>());
  }
}

void ObjectReader::Optional(const char* name,
                            double* out,
                            double low,
                            double high) {
  const auto* json = Find(name);
  if (json == nullptr) {
    return;
  }
  if (!json->is_number()) {
    Fail(name, fmt::format("must be a number, not {}", json->dump()));
    return;
  }
  const auto n = json->get<double>();
  if (n < low || n > high) {
    Fail(name,
         fmt::format("must be from {} to {}, not {}", low, high, json->dump()));
    return;
  }
  *out = n;
}

void ObjectReader::OptionalLimit(const char* name, std::int64_t* out) {
  auto n = static_cast<double>(*out);
  Optional(name, &n, 0.0, kMaxWholeDouble);
  *out = static_cast<std::int64_t>(std::floor(n));
}

const nlohmann::json* ObjectReader::Array(const char* name) {
  const auto* json = Find(name);
  if (json != nullptr && !json->is_array()) {
    Fail(name, "must be an array");
    return nullptr;
  }
  return json;
}

const nlohmann::json* ObjectReader::Object(const char* name) {
  const auto* json = Find(name);
  if (json != nullptr && !json->is_object()) {
    Fail(name, "must be an object");
    return nullptr;
  }
  return json;
}

std::optional<std::int64_t> ObjectReader::Number(const char* name,
                                                 std::int64_t low,
                                                 std::int64_t high) {
  const auto* json = Find(name);
  if (json == nullptr) {
    return std::nullopt;
  }
  const bool too_large =
      json->is_number_unsigned() &&
      json->get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (!json->is_number_integer() || too_large) {
    Fail(name, fmt::format("must be a whole number, not {}", json->dump()));
    return std::nullopt;
  }
  const auto n = json->get<std::int64_t>();
  if (n < low || n > high) {
    Fail(name, fmt::format("must be from {} to {}, not {}", low, high, n));
    return std::nullopt;
  }
  return n;
}

Status ObjectReader::Finish() {
  if (json_.is_object()) {
    for (const auto& it : json_.items()) {
      if (!known_.contains(it.key())) {
        Fail(it.key(), "is not a known field");
      }
    }
  }
  if (error_) {
    return *error_;
  }
  return Ok();
}

}  // namespace baobabrun
