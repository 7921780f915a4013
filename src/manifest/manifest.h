// A complete manifest: everything that operators tell the fleet about routes,
// services and organisations in one numbered text. The gateway duty serves by
// it; a dialect reads and writes its text.
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

// What may be repeated. A stream is idempotent only if it may be resumed.
enum class RouteKind { kSafe, kUnsafe, kStream };
std::string_view NameOf(RouteKind kind);

// A part of a route's traffic goes to `service`.
struct RouteShare {
  std::string service;
  std::int64_t weight = 0;
};

struct ManifestRoute {
  RouteId route;
  std::string host;
  std::string path_prefix;  // begins and ends with '/'
  RouteKind kind = RouteKind::kUnsafe;
  Duration timeout{};         // from arrival to the final answer; above zero
  Duration target_latency{};  // to the first byte
  Duration longest_pause{};   // between events of a stream
  std::int32_t priority = 0;  // zero goes first
  std::int32_t max_attempts = 1;
  std::vector<RouteShare> shares;  // weights add up to more than zero
  bool open = false;               // needs no key
  bool by_prefix = false;          // requests name the parts of their prompts
  bool resumable = false;          // a stream can go on at another endpoint

  // Whether a request that may have run can be sent again.
  bool idempotent() const {
    return kind == RouteKind::kSafe ||
           (kind == RouteKind::kStream && resumable);
  }
};

// What a model engine of a service can hold.
struct EngineSpec {
  std::int32_t slots = 0;
  std::int64_t cache_tokens = 0;
  std::vector<ModelId> models;
};

struct ManifestService {
  std::string service;
  std::int32_t max_connections = 0;  // of one endpoint over all callers
  bool model_engines = false;        // `engine` is set
  EngineSpec engine;
  // Keeps cached prompt parts of all engines; takes no requests. Its address
  // and zone are set.
  bool cache_store = false;
  Address store_address;
  ZoneId store_zone;
  std::int64_t store_tokens = 0;
};

// Rates count what a request costs: tokens for model calls, a fixed amount for
// all others.
struct ManifestOrganisation {
  OrganisationId organisation;
  std::vector<std::string> keys;
  std::int32_t priority = 0;
  bool has_priority = false;  // `priority` goes before the route's
  bool isolated = false;      // shares no cached prompt with others
  std::int64_t rate = 0;      // a second; zero: no limit
  std::int64_t burst = 0;
  bool counts_tokens = false;   // else every request costs plain_cost
  std::int64_t plain_cost = 1;  // of a request that doesn't tell its tokens
};

// Bounds of what a caller may send.
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

// Checks what fields alone can't show: unknown services, two routes in one
// place, weights that add up to zero, a timeout of zero, a key that two
// organisations share. Errors: kInvalid, naming the field.
Status CheckManifest(const Manifest& manifest);

// A manifest with the indexes that requests need.
class ManifestView {
 public:
  explicit ManifestView(Manifest manifest);

  const Manifest& manifest() const { return manifest_; }
  // The route of `host` with the longest prefix of `path`, or null.
  const ManifestRoute* MatchRoute(std::string_view host,
                                  std::string_view path) const;
  // The organisation that holds `key`, or null.
  const ManifestOrganisation* FindKey(std::string_view key) const;
  const ManifestOrganisation* Find(const OrganisationId& organisation) const;

 private:
  const Manifest manifest_;
  // Of each host, the routes with the longest prefixes first.
  std::map<std::string, std::vector<const ManifestRoute*>, std::less<>> hosts_;
  std::map<std::string, const ManifestOrganisation*, std::less<>> keys_;
};
using ManifestViewPtr = std::shared_ptr<const ManifestView>;

}  // namespace baobabrun

template <>
struct std::is_error_code_enum<baobabrun::ManifestError> : std::true_type {};

#endif  // MANIFEST_MANIFEST_H_
