// Merging of endpoint records.
#include "registry/endpoint_registry.h"

#include <fmt/core.h>

#include <algorithm>
#include <tuple>

#include "base/error.h"
#include "base/hash.h"

namespace baobabrun {
namespace {

// How long records of endpoints that are gone are kept, so that late reports
// don't add them again.
constexpr std::chrono::minutes kGoneRetention{10};
// An endpoint that reports this often, and for this long, after another one has
// claimed its place is still there. Reports of one that has ended may be
// delayed, but they end.
constexpr std::int32_t kProofReports = 3;
constexpr milliseconds kProofTime{2'000};

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
  // Left out where they aren't set, as earlier versions of this program do.
  if (it.deregistered) {
    text += "/deregistered";
  }
  if (it.outlived != Incarnation()) {
    text += fmt::format("/outlived={}", it.outlived.value());
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

// Of two records of one incarnation.
EndpointState MergedState(const EndpointRecord& known,
                          const EndpointRecord& record) {
  const auto is_gone = [](const EndpointRecord& it) {
    return it.state == EndpointState::kGone;
  };
  bool gone = is_gone(known) || is_gone(record);
  if (!known.deregistered && !record.deregistered &&
      known.outlived != record.outlived) {
    // Went on to report after an earlier version had taken it for gone.
    gone = is_gone(known.outlived > record.outlived ? known : record);
  }
  if (gone) {
    return EndpointState::kGone;
  }
  const bool newer = record.sequence > known.sequence;
  const auto& first = newer ? record : known;
  const auto& second = newer ? known : record;
  return is_gone(first) ? second.state : first.state;
}

// The incarnation with which a record competes for an id or an address.
Incarnation RankOf(const EndpointRecord& it) {
  return std::max(it.incarnation, it.outlived);
}

// Whether `left`, rather than `right`, stands for the id that both have. A
// record without a service says that the endpoint deregistered.
bool Precedes(const EndpointRecord& left, const EndpointRecord& right) {
  const auto rank = [](const EndpointRecord& it) {
    return std::tuple(RankOf(it), it.outlived, it.service.empty());
  };
  return rank(left) != rank(right) ? rank(left) > rank(right)
                                   : left.service < right.service;
}

void MergeNewer(EndpointRecord& known, const EndpointRecord& record) {
  if (record.incarnation < known.incarnation) {
    return;
  }
  if (record.incarnation > known.incarnation) {
    known = record;
    return;
  }
  const auto state = MergedState(known, record);
  if (record.sequence > known.sequence) {
    known.sequence = record.sequence;
    known.address = record.address;
    known.zone = record.zone;
    known.slots = record.slots;
  }
  known.state = state;
  known.deregistered |= record.deregistered;
  known.outlived = std::max(known.outlived, record.outlived);
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

EndpointRegistry::Key EndpointRegistry::KeyOf(const EndpointRecord& record) {
  return {record.endpoint, record.service};
}

bool EndpointRegistry::Named(const std::string& service) const {
  return service.empty() || !services_ || services_->contains(service);
}

bool EndpointRegistry::SetServices(std::set<std::string> services) {
  if (services_ == services) {
    return false;
  }
  services_ = std::move(services);
  index_.reset();
  return true;
}

const EndpointRegistry::Index& EndpointRegistry::GetIndex() const {
  if (index_) {
    return *index_;
  }
  auto& index = index_.emplace();
  for (const auto& [key, it] : entries_) {
    if (Named(key.second)) {
      const auto*& best = index.by_id[key.first];
      if (best == nullptr || Precedes(it.record, *best)) {
        best = &it.record;
      }
    }
  }
  // The latest start at each address, also of an endpoint that is gone since.
  std::map<std::pair<std::string, std::uint16_t>, Incarnation> latest;
  const auto address = [](const EndpointRecord& it) {
    return std::pair(it.address.host, it.address.port);
  };
  for (const auto& [id, it] : index.by_id) {
    auto& newest = latest[address(*it)];
    newest = std::max(newest, it->incarnation);
  }
  for (const auto& [id, it] : index.by_id) {
    if (it->state != EndpointState::kGone &&
        RankOf(*it) >= latest[address(*it)]) {
      index.live.push_back(it);
      index.by_service[it->service].push_back(it);
    }
  }
  return index;
}

EndpointRegistry::Entry* EndpointRegistry::FindEntry(
    const EndpointId& endpoint) {
  const auto* record = Find(endpoint);
  return record == nullptr ? nullptr : &entries_.at(KeyOf(*record));
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
  index_.reset();
  entry.changed = now;
  return true;
}

bool EndpointRegistry::Merge(const EndpointRecord& record, Instant now) {
  const auto [it, added] =
      entries_.try_emplace(KeyOf(record), Entry{record, now, now, {}});
  if (added) {
    digest_ ^= DigestOf(record);
    index_.reset();
    return true;
  }
  auto& entry = it->second;
  const auto incarnation = entry.record.incarnation;
  const bool changed = Update(
      entry, now, [&](EndpointRecord& known) { MergeNewer(known, record); });
  if (entry.record.incarnation != incarnation) {
    entry.heard = now;
    entry.evidence = {};
  }
  return changed;
}

bool EndpointRegistry::Report(const EndpointRecord& record, Instant now) {
  const auto known = entries_.find(KeyOf(record));
  const bool fresh = known != entries_.end() &&
                     known->second.record.incarnation == record.incarnation &&
                     known->second.record.sequence < record.sequence;
  bool changed = Merge(record, now);
  auto& entry = entries_.at(KeyOf(record));
  if (entry.record.incarnation == record.incarnation) {
    entry.heard = now;
  }
  if (fresh) {
    changed |= AddEvidence(entry, record.state, now);
  }
  return changed;
}

bool EndpointRegistry::AddEvidence(Entry& entry,
                                   EndpointState reported,
                                   Instant now) {
  const auto& record = entry.record;
  Incarnation against;
  for (const auto& [key, it] : entries_) {
    const auto started = it.record.incarnation;
    const bool contests = key.first == record.endpoint
                              ? started >= record.incarnation
                              : it.record.address == record.address &&
                                    started > record.incarnation;
    if (contests && &it != &entry) {
      against = std::max(against, started);
    }
  }
  auto& evidence = entry.evidence;
  if (against <= record.outlived || record.deregistered) {
    evidence = {};
    return false;
  }
  if (evidence.against != against) {
    evidence = {against, 0, now};
  }
  if (++evidence.reports < kProofReports || now - evidence.first < kProofTime) {
    return false;
  }
  return Update(entry, now, [&](EndpointRecord& it) {
    it.outlived = against;
    it.state = reported;
  });
}

bool EndpointRegistry::MarkGone(const EndpointId& endpoint,
                                Incarnation incarnation,
                                Instant now) {
  EndpointRecord gone;
  gone.endpoint = endpoint;
  gone.state = EndpointState::kGone;
  gone.incarnation = incarnation;
  gone.deregistered = true;
  const auto* known = Find(endpoint);
  if (known != nullptr && incarnation == Incarnation()) {
    gone.incarnation = known->incarnation;
  }
  bool changed = false;
  bool found = false;
  for (auto it = entries_.lower_bound({endpoint, {}});
       it != entries_.end() && it->first.first == endpoint; ++it) {
    auto& entry = it->second;
    if (entry.record.incarnation == gone.incarnation) {
      found = true;
      changed |= Update(entry, now, [](EndpointRecord& record) {
        record.state = EndpointState::kGone;
        record.deregistered = true;
      });
    }
  }
  if (found) {
    return changed;
  }
  // An earlier incarnation is gone anyway.
  const bool late = known != nullptr && gone.incarnation < known->incarnation;
  return !late && Merge(gone, now);
}

bool EndpointRegistry::SetWeights(const EndpointId& endpoint,
                                  const ModelWeights& weights) {
  auto* entry = FindEntry(endpoint);
  return entry != nullptr &&
         Update(*entry, entry->changed, [&](EndpointRecord& known) {
           RaiseWeights(known.models, weights);
         });
}

bool EndpointRegistry::SetLoading(const EndpointId& endpoint,
                                  std::uint64_t weights,
                                  std::uint64_t order_stamp) {
  auto* entry = FindEntry(endpoint);
  return entry != nullptr &&
         Update(*entry, entry->changed, [&](EndpointRecord& known) {
           if (order_stamp > known.order_stamp) {
             known.order_stamp = order_stamp;
             known.loading = weights;
           }
         });
}

void EndpointRegistry::RecordReportTime(const EndpointId& endpoint,
                                        Instant now) {
  if (auto* entry = FindEntry(endpoint)) {
    entry->heard = now;
  }
}

const EndpointRecord* EndpointRegistry::Find(const EndpointId& endpoint) const {
  const auto& by_id = GetIndex().by_id;
  const auto it = by_id.find(endpoint);
  return it == by_id.end() ? nullptr : it->second;
}

Instant EndpointRegistry::LastReportAt(const EndpointId& endpoint) const {
  const auto* record = Find(endpoint);
  return record == nullptr ? Instant::min() : entries_.at(KeyOf(*record)).heard;
}

const std::vector<const EndpointRecord*>& EndpointRegistry::Live() const {
  return GetIndex().live;
}

const std::vector<const EndpointRecord*>& EndpointRegistry::LiveOf(
    const std::string& service) const {
  static const std::vector<const EndpointRecord*> kNone;
  const auto& by_service = GetIndex().by_service;
  const auto it = by_service.find(service);
  return it == by_service.end() ? kNone : it->second;
}

std::vector<EndpointRecord> EndpointRegistry::All() const {
  std::vector<EndpointRecord> all;
  all.reserve(entries_.size());
  for (const auto& [key, it] : entries_) {
    all.push_back(it.record);
  }
  return all;
}

std::vector<EndpointRecord> EndpointRegistry::AllOf(
    const EndpointId& endpoint) const {
  std::vector<EndpointRecord> all;
  for (auto it = entries_.lower_bound({endpoint, {}});
       it != entries_.end() && it->first.first == endpoint; ++it) {
    all.push_back(it->second.record);
  }
  return all;
}

void EndpointRegistry::RemoveExpired(Instant now) {
  const auto is_old = [now](const Entry& it) {
    return it.record.state == EndpointState::kGone &&
           now - it.changed > kGoneRetention;
  };
  std::vector<EndpointRecord> old;
  for (const auto& [key, it] : entries_) {
    if (is_old(it)) {
      old.push_back(it.record);
    }
  }
  if (old.empty()) {
    return;
  }
  const auto was_taken_over = [&old](const EndpointRecord& it) {
    return std::any_of(old.begin(), old.end(), [&it](const auto& by) {
      return by.address == it.address && by.incarnation > RankOf(it);
    });
  };
  std::erase_if(entries_, [&](const auto& it) {
    const bool erased = is_old(it.second) || was_taken_over(it.second.record);
    if (erased) {
      digest_ ^= DigestOf(it.second.record);
    }
    return erased;
  });
  index_.reset();
}

}  // namespace baobabrun
