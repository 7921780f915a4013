// Assigns caches to entries by rendezvous hashing and schedules the queries.
#include "gateway/cache_feed.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/hash.h"

namespace baobabrun {
namespace {

// Rendezvous hashing: every entry ranks all entries for an endpoint in the same
// way, so exactly one of those that know each other has the lowest rank.
std::uint64_t Rank(const VmId& vm, const EndpointId& endpoint) {
  return FastHash(vm.value(), FastHash(endpoint.value()));
}

}  // namespace

void CacheFeed::SetEntries(const std::vector<EntryPeer>& others, Instant now) {
  others_.clear();
  by_zone_.clear();
  for (const auto& it : others) {
    others_.push_back(it.vm);
    by_zone_[it.zone].push_back(it.vm);
  }
  AssignCaches(now);
}

void CacheFeed::SetSources(std::vector<CacheSource> sources, Instant now) {
  if (sources == sources_) {
    return;
  }
  sources_ = std::move(sources);
  AssignCaches(now);
}

bool CacheFeed::IsPolledHere(const CacheSource& source) const {
  const auto in_zone = by_zone_.find(source.zone);
  const bool own_zone = source.zone == options_.zone;
  if (!own_zone && in_zone != by_zone_.end()) {
    return false;
  }
  const std::vector<VmId> none;
  const auto& rivals = !own_zone                   ? others_
                       : in_zone != by_zone_.end() ? in_zone->second
                                                   : none;
  const auto own = Rank(options_.self, source.endpoint);
  return std::none_of(rivals.begin(), rivals.end(), [&](const auto& it) {
    return Rank(it, source.endpoint) < own;
  });
}

void CacheFeed::AssignCaches(Instant now) {
  std::set<EndpointId> kept;
  for (const auto& it : sources_) {
    if (!IsPolledHere(it)) {
      continue;
    }
    kept.insert(it.endpoint);
    const auto [entry, added] = polled_.try_emplace(it.endpoint);
    auto& polled = entry->second;
    if (added || polled.address != it.address) {
      polled = {};
      polled.address = it.address;
      polled.due = now;
    }
  }
  std::erase_if(polled_,
                [&kept](const auto& it) { return !kept.contains(it.first); });
}

std::vector<CacheQuery> CacheFeed::TakeDue(Instant now) {
  std::vector<CacheQuery> due;
  for (auto& [endpoint, it] : polled_) {
    if (!it.querying && it.due <= now) {
      it.querying = true;
      due.push_back({{endpoint, it.address, ZoneId()}, it.since});
    }
  }
  return due;
}

std::optional<Instant> CacheFeed::NextDue() const {
  std::optional<Instant> next;
  for (const auto& [endpoint, it] : polled_) {
    if (!it.querying && (!next || it.due < *next)) {
      next = it.due;
    }
  }
  return next;
}

void CacheFeed::Postpone(const EndpointId& endpoint, Instant until) {
  const auto it = polled_.find(endpoint);
  if (it != polled_.end()) {
    it->second.querying = false;
    it->second.due = until;
  }
}

bool CacheFeed::OnUpdate(const EndpointId& endpoint,
                         const CacheUpdate* update,
                         Instant now) {
  const auto entry = polled_.find(endpoint);
  if (entry == polled_.end()) {
    return false;
  }
  auto& it = entry->second;
  it.querying = false;
  if (update == nullptr) {
    it.due = now + options_.retry_delay;
    return false;
  }
  const bool emptied =
      it.known && it.cache_incarnation != update->cache_incarnation;
  it.known = true;
  it.cache_incarnation = update->cache_incarnation;
  it.since = update->next;
  it.due = now + options_.interval;
  return emptied;
}

}  // namespace baobabrun
