// Strongly typed identifiers, so that an organisation can't be passed where an
// endpoint is meant. Text identifiers come from settings, declarations and
// announcements; numeric ones are given out by the process or the control log.
#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace baobabrun {

// A named thing: VM, zone, organisation and so on.
template <class Tag>
class TextId {
 public:
  TextId() = default;
  explicit TextId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // The check takes the defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TextId&) const = default;

 private:
  std::string value_;
};

// A numbered thing. Zero means "none".
template <class Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }

  // The check takes the defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  constexpr auto operator<=>(const NumberId&) const = default;

 private:
  std::uint64_t value_ = 0;
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const TextId<Tag>& id) {
  return out << id.value();
}

template <class Tag>
std::ostream& operator<<(std::ostream& out, const NumberId<Tag>& id) {
  return out << id.value();
}

using VmId = TextId<struct VmTag>;
using ZoneId = TextId<struct ZoneTag>;
using RegionId = TextId<struct RegionTag>;
using OrganisationId = TextId<struct OrganisationTag>;
using EndpointId = TextId<struct EndpointTag>;
using ModelId = TextId<struct ModelTag>;
using RouteId = TextId<struct RouteTag>;
using KeyId = TextId<struct KeyTag>;

// One caller request, unique within its VM's process.
using RequestId = NumberId<struct RequestTag>;
// One try of a request at an endpoint, unique over the fleet: the upper half
// is drawn at process start. The endpoint returns it with its answer.
using AttemptId = NumberId<struct AttemptTag>;
// One life of a process. A later life of the same VM or endpoint has a larger
// number.
using Incarnation = NumberId<struct IncarnationTag>;
// Counts committed changes of the fleet's state. Never goes back.
using StateVersion = NumberId<struct StateVersionTag>;

}  // namespace baobabrun

template <class Tag>
struct std::hash<baobabrun::TextId<Tag>> {
  std::size_t operator()(const baobabrun::TextId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <class Tag>
struct std::hash<baobabrun::NumberId<Tag>> {
  std::size_t operator()(const baobabrun::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // BASE_IDS_H_
