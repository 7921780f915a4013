// What is known of the fleet's endpoints from their own reports. A report
// reaches one control VM; merging is commutative, so that all VMs come to hold
// the same records, in whatever order they hear of them.
//
// Of one endpoint, a later incarnation goes before an earlier one, and within
// one incarnation a higher sequence before a lower one; an endpoint that is
// gone stays gone. Of two endpoints at one address the later born holds it.
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

// In order: within one incarnation kGone is final.
enum class EndpointState { kReady = 1, kDraining = 2, kGone = 3 };
std::string_view NameOf(EndpointState state);

struct ModelWeights {
  ModelId model;
  std::uint64_t weights = 0;  // only rises while the endpoint lives

  bool operator==(const ModelWeights&) const = default;
};

struct EndpointRecord {
  EndpointId endpoint;
  std::string service;
  Address address;
  ZoneId zone;
  // When it started, in milliseconds since 1970 by its own clock.
  Incarnation incarnation;
  std::uint64_t sequence = 0;  // of the newest report taken
  EndpointState state = EndpointState::kReady;
  std::int32_t slots = 0;
  std::vector<ModelWeights> models;
  // Weights that it was ordered to load and doesn't have yet; zero: none. Of
  // two claims the one with the higher stamp holds; stamps rise with terms.
  std::uint64_t loading = 0;
  std::uint64_t order_stamp = 0;

  // Zero if it doesn't have the model.
  std::uint64_t WeightsOf(const ModelId& model) const;
};

class EndpointRegistry {
 public:
  // Takes what a report or another VM says. Returns whether anything changed
  // but the sequence.
  bool Merge(const EndpointRecord& record, Instant now);
  // The endpoint said that it goes. Zero `incarnation`: the one that is known.
  bool MarkGone(const EndpointId& endpoint,
                Incarnation incarnation,
                Instant now);
  // The endpoint has shown that it has these weights.
  bool SetWeights(const EndpointId& endpoint, const ModelWeights& weights);
  // It was ordered to load `weights`; zero: the order is over.
  bool SetLoading(const EndpointId& endpoint,
                  std::uint64_t weights,
                  std::uint64_t order_stamp);
  // Some VM has had a report from it just now.
  void Heard(const EndpointId& endpoint, Instant now);

  const EndpointRecord* Find(const EndpointId& endpoint) const;
  // When a report was heard last; Instant::min() if it isn't known.
  Instant HeardAt(const EndpointId& endpoint) const;
  // Those that aren't gone, by id.
  std::vector<const EndpointRecord*> Live() const;
  std::vector<EndpointRecord> All() const;
  // Equal on VMs that hold the same, whatever sequences they saw.
  std::uint64_t digest() const { return digest_; }

  // Drops records that have been gone for a long time.
  void Forget(Instant now);

 private:
  struct Entry {
    EndpointRecord record;
    Instant heard;
    Instant changed;
  };
  // Applies `change` to a record and keeps the digest in step. Returns whether
  // the record changed.
  template <class Change>
  bool Update(Entry& entry, Instant now, const Change& change);
  void SettleAddress(const EndpointId& endpoint, Instant now);

  std::map<EndpointId, Entry> entries_;
  std::uint64_t digest_ = 0;
};

}  // namespace baobabrun

#endif  // REGISTRY_ENDPOINT_REGISTRY_H_
