// Validates manifests, and looks up routes and keys in them.
#include "manifest/manifest.h"

#include <fmt/core.h>

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

constexpr NameEntry<ManifestError> kErrors[] = {
    {ManifestError::kUnreadable, "unreadable"},
    {ManifestError::kInvalid, "invalid"},
};

constexpr NameEntry<RouteKind> kKinds[] = {
    {RouteKind::kSafe, "safe"},
    {RouteKind::kUnsafe, "unsafe"},
    {RouteKind::kStream, "stream"},
};

Error Invalid(std::string message) {
  return {ManifestError::kInvalid, std::move(message)};
}

std::string WithoutPort(std::string_view host) {
  return std::string(host.substr(0, host.find(':')));
}

Status CheckRoute(const Manifest& manifest, const ManifestRoute& route) {
  const auto field = [&route](std::string_view name) {
    return fmt::format("route {}: {}", route.route.value(), name);
  };
  if (route.host.empty()) {
    return Invalid(field("host is empty"));
  }
  if (!route.path_prefix.starts_with('/') ||
      !route.path_prefix.ends_with('/')) {
    return Invalid(field("path prefix must begin and end with a slash"));
  }
  if (route.timeout <= Duration::zero()) {
    return Invalid(field("timeout must be above zero"));
  }
  std::int64_t weights = 0;
  for (const auto& it : route.shares) {
    const auto* service = manifest.FindService(it.service);
    if (service == nullptr || service->cache_store) {
      return Invalid(
          field(fmt::format("service {} takes no requests", it.service)));
    }
    if (it.weight < 0) {
      return Invalid(field("a weight is below zero"));
    }
    weights += it.weight;
  }
  if (weights <= 0) {
    return Invalid(field("weights add up to zero"));
  }
  return Ok();
}

}  // namespace

std::error_code make_error_code(ManifestError error) {
  static const ErrorCategory<ManifestError> kCategory("manifest", kErrors);
  return kCategory.Code(error);
}

std::string_view NameOf(RouteKind kind) {
  return NameOf<RouteKind>(kKinds, kind);
}

const ManifestService* Manifest::FindService(std::string_view service) const {
  const auto it =
      std::find_if(services.begin(), services.end(),
                   [service](const auto& it) { return it.service == service; });
  return it == services.end() ? nullptr : &*it;
}

Status CheckManifest(const Manifest& manifest) {
  std::set<std::pair<std::string, std::string>> routed_prefixes;
  for (const auto& it : manifest.routes) {
    auto status = CheckRoute(manifest, it);
    if (!status.ok()) {
      return status;
    }
    if (!routed_prefixes.emplace(it.host, it.path_prefix).second) {
      return Invalid(fmt::format("route {}: host and path prefix are taken",
                                 it.route.value()));
    }
  }
  std::map<std::string_view, const ManifestOrganisation*> holders;
  for (const auto& it : manifest.organisations) {
    if (it.rate < 0 || it.burst < 0) {
      return Invalid(
          fmt::format("organisation {}: rate and burst must not be "
                      "below zero",
                      it.organisation.value()));
    }
    for (const auto& key : it.keys) {
      const auto [holder, added] = holders.emplace(key, &it);
      if (!added && holder->second != &it) {
        return Invalid(fmt::format("organisations {} and {} share a key",
                                   holder->second->organisation.value(),
                                   it.organisation.value()));
      }
    }
  }
  return Ok();
}

namespace {

// Empty if no organisation is isolated. Doesn't depend on their order.
std::string SharedScope(const std::vector<ManifestOrganisation>& all) {
  std::set<std::string> isolated;
  for (const auto& it : all) {
    if (it.isolated) {
      isolated.insert(it.organisation.value());
    }
  }
  if (isolated.empty()) {
    return {};
  }
  std::uint64_t hash = 0;
  for (const auto& it : isolated) {
    hash = FastHash(it, hash);
  }
  return fmt::format("without-{:016x}", hash);
}

// Begins with a sign that no shared scope begins with.
std::string OwnScope(const OrganisationId& organisation) {
  return "=" + organisation.value();
}

}  // namespace

ManifestView::ManifestView(Manifest manifest) : manifest_(std::move(manifest)) {
  for (const auto& it : manifest_.routes) {
    hosts_[it.host].push_back(&it);
  }
  for (auto& [host, routes] : hosts_) {
    std::stable_sort(
        routes.begin(), routes.end(), [](const auto* left, const auto* right) {
          return left->path_prefix.size() > right->path_prefix.size();
        });
  }
  for (const auto& it : manifest_.organisations) {
    for (const auto& key : it.keys) {
      keys_.emplace(key, &it);
    }
  }
  shared_scope_ = SharedScope(manifest_.organisations);
}

const ManifestRoute* ManifestView::MatchRoute(std::string_view host,
                                              std::string_view path) const {
  const auto routes = hosts_.find(WithoutPort(host));
  if (routes == hosts_.end()) {
    return nullptr;
  }
  const auto it = std::find_if(routes->second.begin(), routes->second.end(),
                               [path](const auto* route) {
                                 return path.starts_with(route->path_prefix);
                               });
  return it == routes->second.end() ? nullptr : *it;
}

const ManifestOrganisation* ManifestView::FindKey(std::string_view key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : it->second;
}

const ManifestOrganisation* ManifestView::Find(
    const OrganisationId& organisation) const {
  const auto it = std::find_if(
      manifest_.organisations.begin(), manifest_.organisations.end(),
      [&](const auto& it) { return it.organisation == organisation; });
  return it == manifest_.organisations.end() ? nullptr : &*it;
}

std::string ManifestView::CacheScopeOf(
    const OrganisationId& organisation) const {
  if (organisation.empty()) {
    return shared_scope_;
  }
  const auto* found = Find(organisation);
  const bool shares = found != nullptr && !found->isolated;
  return shares ? shared_scope_ : OwnScope(organisation);
}

}  // namespace baobabrun
