// The manifest: the complete configuration of routes, services and
// organisations that operators give to the fleet, as one numbered text. The
// gateway duty serves requests according to it. A dialect parses and writes its
// text.
#ifndef MANIFEST_MANIFEST_H_
#define MANIFEST_MANIFEST_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "settings/process_settings.h"

namespace baobabrun {

enum class ManifestError { kUnreadable = 1, kInvalid };
std::error_code make_error_code(ManifestError error);  // NOLINT

// Whether the requests of a route may be repeated. A stream is idempotent only
// if it may be resumed.
enum class RouteKind { kSafe, kUnsafe, kStream };
std::string_view NameOf(RouteKind kind);

// The share of a route's traffic that goes to `service`: its weight divided by
// the sum of the weights of the route.
struct RouteShare {
  std::string service;
  std::int64_t weight = 0;
};

struct ManifestRoute {
  RouteId route;
  std::string host;
  std::string path_prefix;  // begins and ends with '/'
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout{};           // from arrival to the final answer; above zero
  Duration target_latency{};    // to the first byte
  Duration target_event_gap{};  // between events of a stream
  std::int32_t priority = 0;    // zero is served first
  std::int32_t max_attempts = 1;
  std::vector<RouteShare> shares;  // weights add up to more than zero
  bool open = false;               // needs no key
  // Requests identify the parts of their prompts.
  bool uses_prompt_prefix = false;
  bool resumable = false;  // a stream can be resumed at another endpoint

  // Returns whether a request can be sent again although it may have run.
  bool idempotent() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

// The capacity of one model engine of a service, and its models.
struct EngineSpec {
  std::int32_t slots = 0;
  std::int64_t cache_tokens = 0;
  std::vector<ModelId> models;
};

struct ManifestService {
  std::string service;
  std::int32_t max_connections = 0;  // to one endpoint, from all callers
  bool model_engines = false;        // `engine` is set
  EngineSpec engine;
  // The service stores cached prompt parts of all engines and takes no
  // requests. If set, store_address and store_zone are set too.
  bool cache_store = false;
  Address store_address;
  ZoneId store_zone;
  std::int64_t store_tokens = 0;
};

// An organisation with its keys and its rate limit. The rate limit counts what
// requests cost: tokens for model calls, a fixed amount for all others.
struct ManifestOrganisation {
  OrganisationId organisation;
  std::vector<std::string> keys;
  std::int32_t priority = 0;
  bool has_priority = false;  // `priority` overrides that of the route
  bool isolated = false;      // shares no cached prompts with others
  std::int64_t rate = 0;      // cost per second; zero means no limit
  std::int64_t burst = 0;
  // If not set, each request costs default_request_cost.
  bool counts_tokens = false;
  std::int64_t default_request_cost = 1;  // of a request without a token count
};

// Limits on what callers send, and timeouts for sending it.
struct CallerLimits {
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 4 << 20;
  Duration header_timeout = seconds(3);
  Duration idle_timeout = seconds(15);
};

struct Manifest {
  std::uint64_t number = 0;
  std::vector<ManifestRoute> routes;
  std::vector<ManifestService> services;
  std::vector<ManifestOrganisation> organisations;
  CallerLimits limits;

  const ManifestService* FindService(std::string_view service) const;
};

// Checks the rules that the type of a field can't express. Rejects unknown
// services, two routes with the same host and path prefix, weights that add up
// to zero, a timeout of zero and a key that two organisations share. Errors:
// kInvalid; the message names the field.
Status CheckManifest(const Manifest& manifest);

// A manifest with indexes to look up routes by host and organisations by key.
class ManifestView {
 public:
  explicit ManifestView(Manifest manifest);

  const Manifest& manifest() const { return manifest_; }
  // Returns the route of `host` with the longest path prefix that matches
  // `path`, or null if none matches.
  const ManifestRoute* MatchRoute(std::string_view host,
                                  std::string_view path) const;
  // Returns the organisation that holds `key`, or null if none does.
  const ManifestOrganisation* FindKey(std::string_view key) const;
  const ManifestOrganisation* Find(const OrganisationId& organisation) const;

  // Returns the scope within which calls of `organisation` share cached prompt
  // parts; empty for a call without one. An isolated organisation has a scope
  // of its own, as has one that isn't listed. All others share a scope that
  // names those that are isolated: a part that was cached while two
  // organisations shared their caches isn't found by either once one of them
  // is isolated, whichever manifests a VM has seen in between.
  std::string CacheScopeOf(const OrganisationId& organisation) const;

 private:
  const Manifest manifest_;
  std::string shared_scope_;
  // The routes of each host, sorted by the length of their prefixes, longest
  // first.
  std::map<std::string, std::vector<const ManifestRoute*>, std::less<>> hosts_;
  std::map<std::string, const ManifestOrganisation*, std::less<>> keys_;
};
using ManifestViewPtr = std::shared_ptr<const ManifestView>;

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::ManifestError> : std::true_type {};

#endif  // MANIFEST_MANIFEST_H_
