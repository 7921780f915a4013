// Records of the fleet's endpoints, built from the endpoints' own reports. A
// report reaches one control VM and is replicated from there.
// Merging is commutative, so all VMs end up with the same records in whatever
// order the reports arrive.
//
// A record belongs to an endpoint and a service. For one of them, a later
// incarnation replaces an earlier one. Within one incarnation a higher sequence
// number replaces a lower one, and kGone is final.
//
// Of two endpoints at one address, and of two services under one id, the one
// that started later is the one there. But reports may come from another writer
// than the endpoint that they name. So no record changes another one: which of
// them stands for an id or an address is derived from all when it is asked for.
// A record whose service the manifest doesn't name stands for nothing. An
// endpoint that goes on to report, although another one seems to have taken its
// place, is still there.
#ifndef REGISTRY_ENDPOINT_REGISTRY_H_
#define REGISTRY_ENDPOINT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "settings/process_settings.h"

namespace baobabrun {

// Within one incarnation kGone is final, once the endpoint has deregistered.
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
  // Whether the endpoint is gone by its own word. Earlier versions of this
  // program don't set it, and take endpoints for gone whose address another one
  // claims.
  bool deregistered = false;
  // Endpoints of this incarnation or an earlier one, at the same address or
  // under the same id, aren't what is there: this endpoint went on to report
  // after theirs had arrived.
  Incarnation outlived;

  // Returns the weights of `model`, or zero if the endpoint doesn't have it.
  std::uint64_t WeightsOf(const ModelId& model) const;
};

class EndpointRegistry {
 public:
  // Sets the services that the manifest in force names. Returns whether they
  // differ from before. Until the first call, all services count as named.
  bool SetServices(std::set<std::string> services);

  // Merges a record from another VM or from disk. Returns whether anything
  // other than the sequence number changed.
  bool Merge(const EndpointRecord& record, Instant now);
  // Merges a report that the endpoint sent to this VM.
  bool Report(const EndpointRecord& record, Instant now);
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

  // The record that stands for the id, even if it is gone or its address is
  // another endpoint's; null if there is none of a service that is named.
  const EndpointRecord* Find(const EndpointId& endpoint) const;
  // When this VM last learnt of a report from the endpoint; Instant::min() if
  // the endpoint isn't known.
  Instant LastReportAt(const EndpointId& endpoint) const;
  // The endpoints that calls may be sent to, as far as reports tell: of
  // services that are named, not gone, and at an address that is still theirs.
  // Ordered by id. Valid until a record changes, as for LiveOf().
  const std::vector<const EndpointRecord*>& Live() const;
  // Those of them that belong to `service`.
  const std::vector<const EndpointRecord*>& LiveOf(
      const std::string& service) const;
  // All records, or those with an id, whatever they stand for.
  std::vector<EndpointRecord> All() const;
  std::vector<EndpointRecord> AllOf(const EndpointId& endpoint) const;
  // Equal on VMs with the same records, whatever the sequence numbers.
  std::uint64_t digest() const { return digest_; }

  // Removes the records of endpoints that have been gone for 10 minutes, and
  // those of the endpoints whose address they had taken over.
  void RemoveExpired(Instant now);

 private:
  // Evidence that an endpoint is there although a record says otherwise.
  struct Evidence {
    Incarnation against;  // the latest incarnation that claims its place
    std::int32_t reports = 0;
    Instant first;  // report
  };
  struct Entry {
    EndpointRecord record;
    Instant heard;
    Instant changed;
    Evidence evidence;
  };
  // An id and a service.
  using Key = std::pair<EndpointId, std::string>;
  using Entries = std::map<Key, Entry>;
  // Which records stand for what. Refers to `entries_`.
  struct Index {
    std::map<EndpointId, const EndpointRecord*> by_id;
    std::vector<const EndpointRecord*> live;
    std::map<std::string, std::vector<const EndpointRecord*>> by_service;
  };

  static Key KeyOf(const EndpointRecord& record);
  bool Named(const std::string& service) const;
  const Index& GetIndex() const;
  // The entry of the record that stands for the id; null if there is none.
  Entry* FindEntry(const EndpointId& endpoint);
  // Applies `change` to a record and updates the digest. Returns whether the
  // record changed.
  template <class Change>
  bool Update(Entry& entry, Instant now, const Change& change);
  // Counts a report of the endpoint, which says that its state is `reported`,
  // against those that claim its place, and records in the end that it outlived
  // them. Returns whether it did.
  bool AddEvidence(Entry& entry, EndpointState reported, Instant now);

  Entries entries_;
  std::optional<std::set<std::string>> services_;  // null until they are known
  std::uint64_t digest_ = 0;
  // Null after a change, until it is next needed.
  mutable std::optional<Index> index_;
};

}  // namespace baobabrun

#endif  // REGISTRY_ENDPOINT_REGISTRY_H_
