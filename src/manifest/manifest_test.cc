// Tests the validation of manifests, and which route and organisation are found
// for a request.
#include "manifest/manifest.h"

#include <cppunit/extensions/HelperMacros.h>

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(ManifestTest);

}  // namespace baobabrun
