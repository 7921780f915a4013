// Records of the fleet's endpoints, built from the endpoints' own reports. A
// report reaches one control VM and is replicated from there.
// Merging is commutative, so all VMs end up with the same records in whatever
// order the reports arrive.
//
// For one endpoint, a later incarnation replaces an earlier one. Within one
// incarnation a higher sequence number replaces a lower one, and kGone is
// final. Of two endpoints at one address, the one that started later is the one
// there.
#ifndef REGISTRY_ENDPOINT_REGISTRY_H_
#define REGISTRY_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "settings/process_settings.h"

namespace baobabrun {

// Within one incarnation kGone is final.
enum class EndpointState { kReady = 1, kDraining = 2, kGone = 3 };
std::string_view NameOf(EndpointState state);

struct ModelWeights {
  ModelId model;
  std::uint64_t weights = 0;  // never decreases within an incarnation

  bool operator==(const ModelWeights&) const = default;
};

struct EndpointRecord {
  EndpointId endpoint;
  std::string service;
  Address address;
  ZoneId zone;
  // Start time in milliseconds since 1970 by the endpoint's clock.
  Incarnation incarnation;
  std::uint64_t sequence = 0;  // of the newest report merged
  EndpointState state = EndpointState::kReady;
  std::int32_t slots = 0;
  std::vector<ModelWeights> models;
  // The weights that the endpoint was ordered to load and doesn't have yet, or
  // zero. Of two values the one with the higher order_stamp wins; stamps
  // increase with the leader's term.
  std::uint64_t loading = 0;
  std::uint64_t order_stamp = 0;

  // Returns the weights of `model`, or zero if the endpoint doesn't have it.
  std::uint64_t WeightsOf(const ModelId& model) const;
};

class EndpointRegistry {
 public:
  // Merges a record from a report or from another VM. Returns whether anything
  // other than the sequence number changed.
  bool Merge(const EndpointRecord& record, Instant now);
  // Marks the endpoint as gone after it reported that it leaves. A zero
  // `incarnation` stands for the known one.
  bool MarkGone(const EndpointId& endpoint,
                Incarnation incarnation,
                Instant now);
  // Records that the endpoint has loaded these weights.
  bool SetWeights(const EndpointId& endpoint, const ModelWeights& weights);
  // Records that the endpoint was ordered to load `weights`, or, if zero, that
  // no order is open any more.
  bool SetLoading(const EndpointId& endpoint,
                  std::uint64_t weights,
                  std::uint64_t order_stamp);
  // Records that some VM got a report from the endpoint at `now`.
  void RecordReportTime(const EndpointId& endpoint, Instant now);

  const EndpointRecord* Find(const EndpointId& endpoint) const;
  // When this VM last learnt of a report from the endpoint; Instant::min() if
  // the endpoint isn't known.
  Instant LastReportAt(const EndpointId& endpoint) const;
  // The records of endpoints that aren't gone, ordered by id.
  std::vector<const EndpointRecord*> Live() const;
  // Those of them that belong to `service`. Valid until a record changes.
  const std::vector<const EndpointRecord*>& LiveOf(
      const std::string& service) const;
  std::vector<EndpointRecord> All() const;
  // Equal on VMs with the same records, whatever the sequence numbers.
  std::uint64_t digest() const { return digest_; }

  // Removes the records of endpoints that have been gone for 10 minutes.
  void RemoveExpired(Instant now);

 private:
  struct Entry {
    EndpointRecord record;
    Instant heard;
    Instant changed;
  };
  // Applies `change` to a record and updates the digest. Returns whether the
  // record changed.
  template <class Change>
  bool Update(Entry& entry, Instant now, const Change& change);
  void ResolveAddressConflict(const EndpointId& endpoint, Instant now);

  std::map<EndpointId, Entry> entries_;
  std::uint64_t digest_ = 0;
  // Index for LiveOf(); built when it is next needed after a change.
  mutable std::map<std::string, std::vector<const EndpointRecord*>> by_service_;
  mutable bool by_service_valid_ = false;
};

}  // namespace baobabrun

#endif  // REGISTRY_ENDPOINT_REGISTRY_H_
