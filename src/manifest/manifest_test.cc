// Tests the validation of manifests, and which route and organisation are found
// for a request.
#include "manifest/manifest.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/core.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace baobabrun {
namespace {

ManifestRoute RouteAt(std::string name, std::string host, std::string prefix) {
  ManifestRoute route;
  route.route = RouteId(std::move(name));
  route.host = std::move(host);
  route.path_prefix = std::move(prefix);
  route.timeout = seconds(1);
  route.shares = {{"desk", 1}};
  return route;
}

Manifest SmallManifest() {
  Manifest manifest;
  manifest.number = 3;
  manifest.services.push_back({"desk", 10, false, {}, false, {}, {}, 0});
  manifest.services.push_back({"store", 10, false, {}, true, {}, {}, 0});
  manifest.routes = {RouteAt("all", "a.example", "/"),
                     RouteAt("books", "a.example", "/books/"),
                     RouteAt("rare", "a.example", "/books/rare/"),
                     RouteAt("other", "b.example", "/books/")};
  manifest.organisations.push_back({OrganisationId("hall"),
                                    {"key-1", "key-2"},
                                    0,
                                    false,
                                    false,
                                    10,
                                    10,
                                    false,
                                    1});
  manifest.organisations.push_back(
      {OrganisationId("club"), {"key-3"}, 0, false, false, 10, 10, false, 1});
  return manifest;
}

}  // namespace

class ManifestTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ManifestTest);
  CPPUNIT_TEST(MatchRouteReturnsLongestPrefixOfHost);
  CPPUNIT_TEST(FindKeyReturnsOrganisationOfKey);
  CPPUNIT_TEST(InvalidManifestIsRejectedWithReason);
  CPPUNIT_TEST(IsolatedOrganisationsShareNoCacheScope);
  CPPUNIT_TEST(CacheOfASharedTimeIsNotUsedAcrossAWall);
  CPPUNIT_TEST_SUITE_END();

 public:
  void MatchRouteReturnsLongestPrefixOfHost() {
    const ManifestView view(SmallManifest());
    struct Row {
      std::string_view host;
      std::string_view path;
      std::string_view route;  // empty if no route matches
    };
    constexpr Row kRows[] = {
        {"a.example", "/", "all"},
        {"a.example", "/books", "all"},
        {"a.example", "/books/", "books"},
        {"a.example", "/books/rare", "books"},
        {"a.example", "/books/rare/x", "rare"},
        {"a.example:8606", "/books/1", "books"},
        {"b.example", "/books/1", "other"},
        {"b.example", "/", ""},
        {"c.example", "/books/", ""},
        {"", "/", ""},
    };
    for (const auto& it : kRows) {
      const auto* route = view.MatchRoute(it.host, it.path);
      const std::string found = route == nullptr ? "" : route->route.value();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(it.path), std::string(it.route),
                                   found);
    }
  }

  void FindKeyReturnsOrganisationOfKey() {
    const ManifestView view(SmallManifest());
    CPPUNIT_ASSERT_EQUAL(std::string("hall"),
                         view.FindKey("key-2")->organisation.value());
    CPPUNIT_ASSERT_EQUAL(std::string("club"),
                         view.FindKey("key-3")->organisation.value());
    CPPUNIT_ASSERT(view.FindKey("key") == nullptr);
    CPPUNIT_ASSERT(view.FindKey("") == nullptr);
  }

  void IsolatedOrganisationsShareNoCacheScope() {
    const auto open = WithIsolated({});
    const auto parted = WithIsolated({"hall"});
    const OrganisationId hall("hall");
    const OrganisationId club("club");
    const OrganisationId desk("desk");
    CPPUNIT_ASSERT_EQUAL(open.CacheScopeOf(hall), open.CacheScopeOf(club));
    CPPUNIT_ASSERT_EQUAL(open.CacheScopeOf(club),
                         open.CacheScopeOf(OrganisationId()));
    CPPUNIT_ASSERT_EQUAL(parted.CacheScopeOf(club), parted.CacheScopeOf(desk));
    CPPUNIT_ASSERT(parted.CacheScopeOf(hall) != parted.CacheScopeOf(club));
    // What all shared before is in neither of the scopes.
    CPPUNIT_ASSERT(open.CacheScopeOf(club) != parted.CacheScopeOf(club));
    CPPUNIT_ASSERT(open.CacheScopeOf(hall) != parted.CacheScopeOf(hall));
    // The order of the organisations, and any other change, is of no effect.
    CPPUNIT_ASSERT_EQUAL(WithIsolated({"hall", "desk"}).CacheScopeOf(club),
                         WithIsolated({"desk", "hall"}).CacheScopeOf(club));
    CPPUNIT_ASSERT(WithIsolated({"hall", "desk"}).CacheScopeOf(club) !=
                   parted.CacheScopeOf(club));
    // One that the manifest no longer lists may have been isolated.
    CPPUNIT_ASSERT(open.CacheScopeOf(OrganisationId("gone")) !=
                   open.CacheScopeOf(club));
    // An organisation can't take the name of a shared scope.
    CPPUNIT_ASSERT(open.CacheScopeOf(OrganisationId(parted.CacheScopeOf(
                       club))) != parted.CacheScopeOf(club));
  }

  // Organisations become isolated and shared again at random, and use what
  // they find in a cache that forgets nothing.
  void CacheOfASharedTimeIsNotUsedAcrossAWall() {
    const std::vector<std::string> names = {"hall", "club", "desk"};
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      std::mt19937_64 random(seed);
      // The makers of the part that is cached under each scope.
      std::map<std::string, std::set<std::string>> makers;
      for (int round = 0; round < 30; ++round) {
        std::set<std::string> isolated;
        for (const auto& it : names) {
          if (random() % 3 == 0) {
            isolated.insert(it);
          }
        }
        const auto view = WithIsolated({isolated.begin(), isolated.end()});
        for (int call = 0; call < 5; ++call) {
          const auto& user = names[random() % names.size()];
          auto& made = makers[view.CacheScopeOf(OrganisationId(user))];
          for (const auto& maker : made) {
            CPPUNIT_ASSERT_MESSAGE(
                fmt::format("{} uses what {} made, seed {}", user, maker, seed),
                user == maker ||
                    (!isolated.contains(user) && !isolated.contains(maker)));
          }
          made.insert(user);
        }
      }
    }
  }

  void InvalidManifestIsRejectedWithReason() {
    CPPUNIT_ASSERT(CheckManifest(SmallManifest()).ok());
    struct Row {
      void (*make_invalid)(Manifest& manifest);
      std::string_view expected_message;
    };
    const Row rows[] = {
        {[](Manifest& it) { it.routes[1].shares[0].service = "none"; },
         "route books: service none takes no requests"},
        {[](Manifest& it) { it.routes[1].shares[0].service = "store"; },
         "route books: service store takes no requests"},
        {[](Manifest& it) { it.routes[2].path_prefix = "/books/"; },
         "route rare: host and path prefix are taken"},
        {[](Manifest& it) { it.routes[0].shares[0].weight = 0; },
         "route all: weights add up to zero"},
        {[](Manifest& it) { it.routes[0].shares.clear(); },
         "route all: weights add up to zero"},
        {[](Manifest& it) {
           it.routes[0].shares = {{"desk", 2}, {"desk", -1}};
         },
         "route all: a weight is below zero"},
        {[](Manifest& it) { it.routes[3].timeout = Duration::zero(); },
         "route other: timeout must be above zero"},
        {[](Manifest& it) { it.routes[3].path_prefix = "books/"; },
         "route other: path prefix must begin and end with a slash"},
        {[](Manifest& it) { it.organisations[1].keys = {"key-2"}; },
         "organisations hall and club share a key"},
        {[](Manifest& it) { it.organisations[1].rate = -1; },
         "organisation club: rate and burst must not be below zero"},
    };
    for (const auto& it : rows) {
      auto manifest = SmallManifest();
      it.make_invalid(manifest);
      const auto status = CheckManifest(manifest);
      CPPUNIT_ASSERT_MESSAGE(std::string(it.expected_message), !status.ok());
      CPPUNIT_ASSERT_EQUAL(std::string(it.expected_message),
                           status.error().message);
      CPPUNIT_ASSERT(status.error().code == ManifestError::kInvalid);
    }
  }

 private:
  static ManifestView WithIsolated(const std::vector<std::string>& isolated) {
    Manifest manifest;
    auto names = isolated;
    for (const char* it : {"hall", "club", "desk"}) {
      if (std::find(names.begin(), names.end(), it) == names.end()) {
        names.emplace_back(it);
      }
    }
    for (const auto& it : names) {
      auto& organisation = manifest.organisations.emplace_back();
      organisation.organisation = OrganisationId(it);
      organisation.isolated =
          std::find(isolated.begin(), isolated.end(), it) != isolated.end();
    }
    return ManifestView(std::move(manifest));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestTest);

}  // namespace baobabrun
