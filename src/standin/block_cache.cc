// Least recently used eviction and the cache's event feed.
#include "standin/block_cache.h"

#include <algorithm>

namespace baobabrun::standin {
namespace {

constexpr std::uint64_t kPartsPerMillion = 1'000'000;

}  // namespace

BlockCache::BlockCache(BlockCacheOptions options, std::uint64_t seed)
    : options_(options), random_(seed) {}

std::size_t BlockCache::Lookup(std::span<const BlockHash> chain) {
  std::size_t held = 0;
  while (held < chain.size() && Contains(chain[held])) {
    ++held;
  }
  TouchFromEnd(chain.first(held));
  return held;
}

void BlockCache::Store(std::span<const BlockHash> chain, Instant now) {
  for (const auto hash : chain) {
    if (!Contains(hash)) {
      by_use_.push_front(hash);
      blocks_[hash] = by_use_.begin();
      Record(CacheEvent::Op::kStore, hash, now);
    }
  }
  TouchFromEnd(chain);
  EvictOver(now);
}

void BlockCache::Reset() {
  by_use_.clear();
  blocks_.clear();
  pending_.clear();
  last_number_ = 0;
}

CacheEvents BlockCache::TakeEvents(Instant now) {
  CacheEvents out;
  const std::size_t most = options_.events_per_batch == 0
                               ? pending_.size()
                               : options_.events_per_batch;
  while (!pending_.empty() && pending_.front().due <= now &&
         out.items.size() < most) {
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

void BlockCache::TouchFromEnd(std::span<const BlockHash> chain) {
  for (auto it = chain.rbegin(); it != chain.rend(); ++it) {
    by_use_.splice(by_use_.begin(), by_use_, blocks_[*it]);
  }
}

void BlockCache::EvictOver(Instant now) {
  while (by_use_.size() > options_.capacity_blocks) {
    const auto hash = by_use_.back();
    by_use_.pop_back();
    blocks_.erase(hash);
    Record(CacheEvent::Op::kEvict, hash, now);
  }
}

void BlockCache::Record(CacheEvent::Op op, BlockHash hash, Instant now) {
  ++last_number_;
  const auto draw = static_cast<std::int32_t>(random_() % kPartsPerMillion);
  if (draw < options_.event_loss_ppm) {
    return;
  }
  // A shortened delay must not let events overtake earlier ones.
  const Instant due = pending_.empty() ? now + options_.event_delay
                                       : std::max(now + options_.event_delay,
                                                  pending_.back().due);
  pending_.push_back({last_number_, due, {op, hash}});
}

}  // namespace baobabrun::standin
