// The declarations of operators: contracts with their keys, routes and models.
// They are kept under version control as a directory of JSON files, which may
// contain comments. `baobabrun check DIR` checks the directory, and
// `baobabrun apply DIR` commits it to the fleet.
//
// Every *.json file in the directory may contain any of these members:
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

// The priority of requests, which is also passed to the engines. A lower class
// waits for a higher one.
enum class PriorityClass { kInteractive, kStandard, kBatch };
std::span<const NameEntry<PriorityClass>> PriorityClassNames();

// Whether a VM in an isolated zone serves or refuses the requests of a
// contract. Changes to the contract's keys may reach the VM late.
enum class WhenIsolated { kServe, kRefuse };

// The limits of an organisation. They are defined nowhere else.
struct Contract {
  OrganisationId organisation;
  std::vector<ModelId> models;  // allowed models; if empty, none
  std::vector<RouteId> routes;  // if empty, only routes open to all
  std::int64_t tokens_per_second = 0;
  std::int64_t burst_tokens = 0;
  std::int64_t requests_per_second = 0;  // for plain services; 0 is no limit
  std::int64_t burst_requests = 0;
  std::int64_t max_output_tokens = 1024;  // limit for one answer
  std::int32_t max_concurrent = 64;
  std::uint32_t weight = 1;
  PriorityClass priority = PriorityClass::kStandard;
  WhenIsolated when_isolated = WhenIsolated::kServe;

  bool operator==(const Contract&) const = default;
};

// A caller's key, stored only as its hash keyed with the fleet's salt.
struct KeyRecord {
  KeyId key;
  OrganisationId organisation;
  KeyHash hash{};
  // A withdrawn key is kept as a tombstone and never becomes valid again.
  bool withdrawn = false;

  bool operator==(const KeyRecord&) const = default;
};

// A path of a plain service.
struct Route {
  RouteId route;
  std::string path;     // a prefix that begins and ends with '/'
  std::string service;  // kind name that endpoints announce
  bool open = false;    // requests need no key
  std::vector<std::string> repeatable;  // methods that may be retried

  bool operator==(const Route&) const = default;
};

struct Model {
  ModelId model;
  std::string weights;  // the version that endpoints must have loaded
  std::string adapter;
  std::int32_t block_tokens = 2048;
  // Zero means that any number of endpoints may announce themselves.
  std::int32_t wanted_endpoints = 0;

  bool operator==(const Model&) const = default;
};

struct Declarations {
  std::vector<Contract> contracts;
  std::vector<KeyRecord> keys;
  std::vector<Route> routes;
  std::vector<Model> models;

  const Contract* FindContract(const OrganisationId& organisation) const;
  const Model* FindModel(const ModelId& model) const;
  // Returns the route with the longest matching path prefix, or null.
  const Route* MatchRoute(std::string_view path) const;

  bool operator==(const Declarations&) const = default;
};

// A complete manifest as the operator sent it, with the number that the
// operator gave it. Only a manifest with a higher number replaces it.
struct ManifestRecord {
  std::uint64_t number = 0;                 // zero if there is none yet
  std::shared_ptr<const std::string> text;  // null only if number is zero

  bool operator==(const ManifestRecord& other) const {
    return number == other.number;
  }
};

// The weights that the operator wants all endpoints of a model to load. Their
// numbers start at one and only increase.
struct NamedWeights {
  ModelId model;
  std::uint64_t weights = 0;

  bool operator==(const NamedWeights&) const = default;
};

// The fleet's committed state at one version. It is the same on every VM and is
// published as a shared_ptr to const. A VM never replaces a state by one with a
// lower version.
struct FleetState {
  StateVersion version;
  Declarations declarations;
  std::vector<EndpointId> retired;  // receive no new requests
  ManifestRecord manifest;
  std::vector<NamedWeights> named_weights;  // one entry per model

  // Returns the weights named last for `model`, or zero if none were named.
  std::uint64_t WeightsOf(const ModelId& model) const;
};
using FleetStatePtr = std::shared_ptr<const FleetState>;

// Reads and checks every *.json file in `directory`, in name order.
// Errors are SettingsErrors whose message contains the file and JSON path.
Result<Declarations> LoadDeclarations(const std::filesystem::path& directory);

// Reads and checks declarations in a single JSON text. Error messages contain
// `source` in place of a file name.
Result<Declarations> ParseDeclarations(std::string_view json,
                                       std::string_view source);
// Returns JSON text from which ParseDeclarations reads the same declarations.
std::string ToJson(const Declarations& declarations);

}  // namespace baobabrun

#endif  // SETTINGS_DECLARATIONS_H_
