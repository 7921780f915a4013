// Strongly typed identifiers, so that an organisation can't be passed where an
// endpoint is meant. Text identifiers come from settings, declarations and
// announcements; numeric ones are assigned by the process or the control log.
#ifndef BASE_IDS_H_
#define BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace baobabrun {

// A text identifier, for example of a VM, zone or organisation.
template <class Tag>
class TextId {
 public:
  TextId() = default;
  explicit TextId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  // The lint check mistakes the defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TextId&) const = default;

 private:
  std::string value_;
};

// A numeric identifier. Zero means "none".
template <class Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t value) : value_(value) {}

  constexpr std::uint64_t value() const { return value_; }

  // The lint check mistakes the defaulted <=> for a null pointer.
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

// Identifies a caller's request, unique within its VM's process.
using RequestId = NumberId<struct RequestTag>;
// Identifies one attempt of a request at an endpoint. It is unique in the fleet
// because its upper half is chosen at random when the process starts. The
// endpoint returns it with its answer.
using AttemptId = NumberId<struct AttemptTag>;
// Identifies one run of a process. A later run of the same VM or endpoint has a
// larger number.
using Incarnation = NumberId<struct IncarnationTag>;
// Counts the committed changes of the fleet's state. It never decreases.
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
