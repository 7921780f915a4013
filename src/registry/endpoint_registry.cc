// Merging of endpoint records.
#include "registry/endpoint_registry.h"

#include <fmt/core.h>

#include <algorithm>

#include "base/error.h"
#include "base/hash.h"

namespace baobabrun {
namespace {

// How long records of endpoints that are gone are kept, so that late reports
// don't add them again.
constexpr std::chrono::minutes kGoneRetention{10};

constexpr NameEntry<EndpointState> kStates[] = {
    {EndpointState::kReady, "ready"},
    {EndpointState::kDraining, "draining"},
    {EndpointState::kGone, "gone"},
};

// Digests of records are combined by exclusive or. The sequence number isn't
// part of the digest, since it increases with every report.
std::uint64_t DigestOf(const EndpointRecord& it) {
  auto text =
      fmt::format("{}/{}/{}/{}/{}/{}/{}/{}", it.endpoint.value(), it.service,
                  ToString(it.address), it.zone.value(), it.incarnation.value(),
                  static_cast<int>(it.state), it.slots, it.loading);
  for (const auto& model : it.models) {
    text += fmt::format("/{}={}", model.model.value(), model.weights);
  }
  return FastHash(text);
}

void RaiseWeights(std::vector<ModelWeights>& models, const ModelWeights& it) {
  const auto known = std::find_if(
      models.begin(), models.end(),
      [&it](const auto& model) { return model.model == it.model; });
  if (known == models.end()) {
    models.push_back(it);
    std::sort(models.begin(), models.end(),
              [](const auto& left, const auto& right) {
                return left.model < right.model;
              });
  } else {
    known->weights = std::max(known->weights, it.weights);
  }
}

void MergeNewer(EndpointRecord& known, const EndpointRecord& record) {
  if (record.incarnation < known.incarnation) {
    return;
  }
  if (record.incarnation > known.incarnation) {
    known = record;
    return;
  }
  const bool gone = known.state == EndpointState::kGone ||
                    record.state == EndpointState::kGone;
  if (record.sequence > known.sequence) {
    known.sequence = record.sequence;
    known.service = record.service;
    known.address = record.address;
    known.zone = record.zone;
    known.state = record.state;
    known.slots = record.slots;
  }
  if (gone) {
    known.state = EndpointState::kGone;
  }
  for (const auto& it : record.models) {
    RaiseWeights(known.models, it);
  }
  if (record.order_stamp > known.order_stamp) {
    known.order_stamp = record.order_stamp;
    known.loading = record.loading;
  }
}

}  // namespace

std::string_view NameOf(EndpointState state) {
  return NameOf<EndpointState>(kStates, state);
}

std::uint64_t EndpointRecord::WeightsOf(const ModelId& model) const {
  const auto it =
      std::find_if(models.begin(), models.end(),
                   [&model](const auto& it) { return it.model == model; });
  return it == models.end() ? 0 : it->weights;
}

template <class Change>
bool EndpointRegistry::Update(Entry& entry, Instant now, const Change& change) {
  const auto before = DigestOf(entry.record);
  change(entry.record);
  const auto after = DigestOf(entry.record);
  digest_ ^= before ^ after;
  if (before == after) {
    return false;
  }
  by_service_valid_ = false;
  entry.changed = now;
  return true;
}

bool EndpointRegistry::Merge(const EndpointRecord& record, Instant now) {
  const auto [it, added] =
      entries_.try_emplace(record.endpoint, Entry{record, now, now});
  bool changed = added;
  if (added) {
    digest_ ^= DigestOf(record);
    by_service_valid_ = false;
  } else {
    const auto incarnation = it->second.record.incarnation;
    changed = Update(it->second, now,
                     [&](EndpointRecord& known) { MergeNewer(known, record); });
    if (it->second.record.incarnation != incarnation) {
      it->second.heard = now;
    }
  }
  if (changed) {
    ResolveAddressConflict(record.endpoint, now);
  }
  return changed;
}

// Marks all live endpoints at the address of `endpoint` as gone, except the one
// that started last.
void EndpointRegistry::ResolveAddressConflict(const EndpointId& endpoint,
                                              Instant now) {
  const auto& record = entries_.at(endpoint).record;
  if (record.state == EndpointState::kGone) {
    return;
  }
  const auto address = record.address;
  const auto is_live_at_address = [&address](const Entry& it) {
    return it.record.state != EndpointState::kGone &&
           it.record.address == address;
  };
  Incarnation newest;
  for (const auto& [id, it] : entries_) {
    if (is_live_at_address(it)) {
      newest = std::max(newest, it.record.incarnation);
    }
  }
  for (auto& [id, it] : entries_) {
    if (is_live_at_address(it) && it.record.incarnation < newest) {
      Update(it, now,
             [](EndpointRecord& known) { known.state = EndpointState::kGone; });
    }
  }
}

bool EndpointRegistry::MarkGone(const EndpointId& endpoint,
                                Incarnation incarnation,
                                Instant now) {
  EndpointRecord record;
  record.endpoint = endpoint;
  record.state = EndpointState::kGone;
  record.incarnation = incarnation;
  if (const auto* known = Find(endpoint);
      known != nullptr && incarnation == Incarnation()) {
    record.incarnation = known->incarnation;
  }
  return Merge(record, now);
}

bool EndpointRegistry::SetWeights(const EndpointId& endpoint,
                                  const ModelWeights& weights) {
  const auto it = entries_.find(endpoint);
  return it != entries_.end() &&
         Update(it->second, it->second.changed, [&](EndpointRecord& known) {
           RaiseWeights(known.models, weights);
         });
}

bool EndpointRegistry::SetLoading(const EndpointId& endpoint,
                                  std::uint64_t weights,
                                  std::uint64_t order_stamp) {
  const auto it = entries_.find(endpoint);
  return it != entries_.end() &&
         Update(it->second, it->second.changed, [&](EndpointRecord& known) {
           if (order_stamp > known.order_stamp) {
             known.order_stamp = order_stamp;
             known.loading = weights;
           }
         });
}

void EndpointRegistry::RecordReportTime(const EndpointId& endpoint,
                                        Instant now) {
  const auto it = entries_.find(endpoint);
  if (it != entries_.end()) {
    it->second.heard = now;
  }
}

const EndpointRecord* EndpointRegistry::Find(const EndpointId& endpoint) const {
  const auto it = entries_.find(endpoint);
  return it == entries_.end() ? nullptr : &it->second.record;
}

Instant EndpointRegistry::LastReportAt(const EndpointId& endpoint) const {
  const auto it = entries_.find(endpoint);
  return it == entries_.end() ? Instant::min() : it->second.heard;
}

std::vector<const EndpointRecord*> EndpointRegistry::Live() const {
  std::vector<const EndpointRecord*> live;
  for (const auto& [id, it] : entries_) {
    if (it.record.state != EndpointState::kGone) {
      live.push_back(&it.record);
    }
  }
  return live;
}

const std::vector<const EndpointRecord*>& EndpointRegistry::LiveOf(
    const std::string& service) const {
  if (!by_service_valid_) {
    by_service_.clear();
    for (const auto* it : Live()) {
      by_service_[it->service].push_back(it);
    }
    by_service_valid_ = true;
  }
  return by_service_[service];
}

std::vector<EndpointRecord> EndpointRegistry::All() const {
  std::vector<EndpointRecord> all;
  all.reserve(entries_.size());
  for (const auto& [id, it] : entries_) {
    all.push_back(it.record);
  }
  return all;
}

void EndpointRegistry::RemoveExpired(Instant now) {
  std::erase_if(entries_, [&](const auto& it) {
    const bool old = it.second.record.state == EndpointState::kGone &&
                     now - it.second.changed > kGoneRetention;
    if (old) {
      digest_ ^= DigestOf(it.second.record);
      by_service_valid_ = false;
    }
    return old;
  });
}

}  // namespace baobabrun
