// Events that an engine publishes about changes of its prefix cache.
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

// Consecutive cache events. `first` is the sequence number of the first item.
// Sequence numbers start from 1 in each incarnation.
struct CacheEvents {
  std::uint64_t first = 0;
  std::vector<CacheEvent> items;
};

}  // namespace baobabrun

#endif  // PREFIX_CACHE_EVENT_H_
