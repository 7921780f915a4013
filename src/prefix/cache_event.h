// What an engine publishes about its prefix cache.
#ifndef PREFIX_CACHE_EVENT_H_
#define PREFIX_CACHE_EVENT_H_

#include <cstdint>
#include <vector>

#include "prefix/block_hash.h"

namespace baobabrun {

struct CacheEvent {
  enum class Op { kStore, kEvict };
  Op op = Op::kStore;
  BlockHash hash = 0;
};

// Cache events numbered from `first`; numbers count up over one incarnation.
struct CacheEvents {
  std::uint64_t first = 0;
  std::vector<CacheEvent> items;
};

}  // namespace baobabrun

#endif  // PREFIX_CACHE_EVENT_H_
