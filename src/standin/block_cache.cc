// Eviction of least recently used blocks and publication of cache events.
#include "standin/block_cache.h"

#include <algorithm>

namespace baobabrun::standin {
namespace {

constexpr std::uint64_t kPartsPerMillion = 1'000'000;

}  // namespace

BlockCache::BlockCache(BlockCacheOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

std::size_t BlockCache::Lookup(std::span<const BlockHash> chain) {
  std::size_t found = 0;
  while (found < chain.size() && Contains(chain[found])) {
    ++found;
  }
  MarkUsed(chain.first(found));
  return found;
}

void BlockCache::Store(std::span<const BlockHash> chain, Instant now) {
  for (const auto hash : chain) {
    if (!Contains(hash)) {
      by_use_.push_front(hash);
      blocks_[hash] = by_use_.begin();
      RecordEvent(CacheEvent::Op::kStore, hash, now);
    }
  }
  MarkUsed(chain);
  EvictBeyondCapacity(now);
}

void BlockCache::Reset() {
  by_use_.clear();
  blocks_.clear();
  pending_.clear();
  last_number_ = 0;
}

CacheEvents BlockCache::TakeEvents(Instant now) {
  CacheEvents out;
  const std::size_t max_items = options_.events_per_batch == 0
                                    ? pending_.size()
                                    : options_.events_per_batch;
  while (!pending_.empty() && pending_.front().due <= now &&
         out.items.size() < max_items) {
    const auto& it = pending_.front();
    if (out.items.empty()) {
      out.first = it.number;
    }
    if (it.number != out.first + out.items.size()) {
      break;
    }
    out.items.push_back(it.event);
    pending_.pop_front();
  }
  return out;
}

void BlockCache::MarkUsed(std::span<const BlockHash> chain) {
  for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
    by_use_.splice(by_use_.begin(), by_use_, blocks_[*it]);
  }
}

void BlockCache::EvictBeyondCapacity(Instant now) {
  while (by_use_.size() > options_.capacity_blocks) {
    const auto hash = by_use_.back();
    by_use_.pop_back();
    blocks_.erase(hash);
    RecordEvent(CacheEvent::Op::kEvict, hash, now);
  }
}

void BlockCache::RecordEvent(CacheEvent::Op op, BlockHash hash, Instant now) {
  ++last_number_;
  const auto draw = static_cast<std::int32_t>(random_() % kPartsPerMillion);
  if (draw < options_.event_loss_ppm) {
    return;
  }
  // An event is never due before the previous one. Otherwise it would overtake
  // earlier events after the delay has been reduced.
  const Instant due = pending_.empty() ? now + options_.event_delay
                                       : std::max(now + options_.event_delay,
                                                  pending_.back().due);
  pending_.push_back({last_number_, due, {op, hash}});
}

}  // namespace baobabrun::standin
