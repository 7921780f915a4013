// Reads typed fields from a JSON object and keeps the first error, with file
// and JSON path. Only .cc files include this header, because it includes
// nlohmann.
//
//   ObjectReader reader(json, "entry.json", "/contracts/0");
//   reader.Required("organisation", &name);
//   reader.Optional("weight", &weight, 1, 1000);
//   Status status = reader.Finish();   // also reports unknown fields
#ifndef SETTINGS_JSON_READER_H_
#define SETTINGS_JSON_READER_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/json_bounds.h"

namespace baobabrun {

// Bounds of declarations, the largest texts that are parsed.
constexpr JsonBounds kSettingsBounds{64, 2'000'000};

// Parses JSON with comments. Errors name `source`, and line and column unless
// the text exceeds the bounds.
Result<nlohmann::json> ParseJson(std::string_view text,
                                 std::string_view source,
                                 const JsonBounds& bounds = kSettingsBounds);

// Returns the largest value of `N` that fits into a signed 64-bit number.
template <class N>
constexpr std::int64_t MaxOf() {
  constexpr auto kMaxInt64 = std::numeric_limits<std::int64_t>::max();
  constexpr auto kMaxOfN = std::numeric_limits<N>::max();
  return std::cmp_less(kMaxOfN, kMaxInt64) ? static_cast<std::int64_t>(kMaxOfN)
                                           : kMaxInt64;
}

class ObjectReader {
 public:
  ObjectReader(const nlohmann::json& json,
               std::string source,
               std::string path);

  void Required(const char* name, std::string* out);
  void Optional(const char* name, std::string* out);
  void Optional(const char* name, bool* out);
  void Optional(const char* name, std::vector<std::string>* out);
  void Optional(const char* name, double* out, double low, double high);
  // Accepts a number from 0 to 2^53 that may have a fraction. Rounds it down,
  // since a count above the limit would break it.
  void OptionalLimit(const char* name, std::int64_t* out);
  // Accepts whole numbers from `low` to `high`.
  template <class N>
  void Optional(const char* name,
                N* out,
                std::int64_t low = 0,
                std::int64_t high = MaxOf<N>()) {
    if (const auto n = Number(name, low, high)) {
      *out = static_cast<N>(*n);
    }
  }
  // Returns the array in field `name`, or null if there is none.
  const nlohmann::json* Array(const char* name);
  // Returns the object in field `name`, or null if there is none.
  const nlohmann::json* Object(const char* name);

  // Records an error for field `name`, unless an earlier one is recorded.
  void Fail(std::string_view name, std::string_view reason);
  std::string PathOf(std::string_view name) const;
  const std::string& source() const { return source_; }

  // Returns the first error, or Ok if there was none. Fields that were never
  // read are errors.
  Status Finish();

 private:
  const nlohmann::json* Find(const char* name);
  std::optional<std::int64_t> Number(const char* name,
                                     std::int64_t low,
                                     std::int64_t high);

  const nlohmann::json& json_;
  const std::string source_;
  const std::string path_;
  std::set<std::string> known_;
  std::optional<Error> error_;
};

}  // namespace baobabrun

#endif  // SETTINGS_JSON_READER_H_
