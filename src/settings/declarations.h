// What operators declare: contracts with their keys, routes and models. They
// are kept in a directory of JSON files with comments under version control,
// checked by `baobabrun check DIR` and committed by `baobabrun apply DIR`.
//
// Every *.json file of the directory may hold any of these members:
//
//   "contracts": [ {"organisation": "hall-a", "tokens_per_second": 2000, ...}
//   ], "routes":    [ {"route": "bookings", "path": "/bookings/", ...} ],
//   "models":    [ {"model": "tagger", "weights": "v3"} ]
#ifndef SETTINGS_DECLARATIONS_H_
#define SETTINGS_DECLARATIONS_H_

#include <cstdint>
#include <filesystem>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/hash.h"
#include "base/ids.h"

namespace baobabrun {

// Passed to engines; a lower class waits for a higher one.
enum class PriorityClass { kInteractive, kStandard, kBatch };
std::span<const NameEntry<PriorityClass>> PriorityClassNames();

// What a VM in a cut-off zone does for a contract whose keys it may know late.
enum class WhenIsolated { kServe, kRefuse };

// The one source of an organisation's limits.
struct Contract {
  OrganisationId organisation;
  std::vector<ModelId> models;  // empty: none
  std::vector<RouteId> routes;  // empty: only routes open to all
  std::int64_t tokens_per_second = 0;
  std::int64_t burst_tokens = 0;
  std::int64_t requests_per_second = 0;  // plain services; 0: not limited
  std::int64_t burst_requests = 0;
  std::int64_t max_output_tokens = 1024;  // cap of one answer
  std::int32_t max_concurrent = 64;
  std::uint32_t weight = 1;
  PriorityClass priority = PriorityClass::kStandard;
  WhenIsolated when_isolated = WhenIsolated::kServe;

  bool operator==(const Contract&) const = default;
};

// A caller's key: its hash under the fleet's salt, never the key itself.
struct KeyRecord {
  KeyId key;
  OrganisationId organisation;
  KeyHash hash{};
  // A withdrawn key stays as a tombstone and never works again.
  bool withdrawn = false;

  bool operator==(const KeyRecord&) const = default;
};

// A path of a plain service.
struct Route {
  RouteId route;
  std::string path;                     // prefix, begins and ends with '/'
  std::string service;                  // kind name that endpoints announce
  bool open = false;                    // needs no key
  std::vector<std::string> repeatable;  // methods that may be sent again

  bool operator==(const Route&) const = default;
};

struct Model {
  ModelId model;
  std::string weights;  // version that endpoints must have loaded
  std::string adapter;
  std::int32_t block_tokens = 2048;
  std::int32_t wanted_endpoints = 0;  // 0: whatever announces itself

  bool operator==(const Model&) const = default;
};

struct Declarations {
  std::vector<Contract> contracts;
  std::vector<KeyRecord> keys;
  std::vector<Route> routes;
  std::vector<Model> models;

  const Contract* FindContract(const OrganisationId& organisation) const;
  const Model* FindModel(const ModelId& model) const;
  // The route with the longest matching path prefix, or null.
  const Route* MatchRoute(std::string_view path) const;

  bool operator==(const Declarations&) const = default;
};

// A complete manifest as the operator sent it, under the operator's own number.
// Only a higher number replaces it.
struct ManifestRecord {
  std::uint64_t number = 0;                 // zero: none yet
  std::shared_ptr<const std::string> text;  // null only if there is none yet

  bool operator==(const ManifestRecord& other) const {
    return number == other.number;
  }
};

// Weights that the operator wants all endpoints of a model to have. Numbers
// start at one and only rise.
struct NamedWeights {
  ModelId model;
  std::uint64_t weights = 0;

  bool operator==(const NamedWeights&) const = default;
};

// The fleet's committed state at one version, as every VM uses it. Published as
// a shared_ptr to const; a VM never replaces one by another of a lower version.
struct FleetState {
  StateVersion version;
  Declarations declarations;
  std::vector<EndpointId> retired;  // get no new work
  ManifestRecord manifest;
  std::vector<NamedWeights> named_weights;  // one a model

  // The weights named last for `model`; zero if none were.
  std::uint64_t WeightsOf(const ModelId& model) const;
};
using FleetStatePtr = std::shared_ptr<const FleetState>;

// Reads and checks every *.json file in `directory`, in name order.
// Errors: SettingsError, with file and JSON path.
Result<Declarations> LoadDeclarations(const std::filesystem::path& directory);

// The same as one JSON text; `source` stands in errors for the file's name.
Result<Declarations> ParseDeclarations(std::string_view json,
                                       std::string_view source);
// The JSON text that ParseDeclarations reads back to the same declarations.
std::string ToJson(const Declarations& declarations);

}  // namespace baobabrun

#endif  // SETTINGS_DECLARATIONS_H_
