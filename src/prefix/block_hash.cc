// Chained hashing of prefix blocks.
#include "prefix/block_hash.h"

#include "base/hash.h"

namespace baobabrun {

BlockHash BlockSeed(const OrganisationId& organisation,
                    const ModelId& model,
                    std::string_view adapter,
                    std::string_view weights) {
  // Each field is hashed with the hash of the preceding field as its seed, so
  // "ab","c" differs from "a","bc".
  BlockHash seed = FastHash(organisation.value());
  seed = FastHash(model.value(), seed);
  seed = FastHash(adapter, seed);
  return FastHash(weights, seed);
}

std::vector<BlockHash> HashBlocks(std::string_view prompt,
                                  BlockHash seed,
                                  std::size_t block_bytes) {
  std::vector<BlockHash> hashes;
  hashes.reserve(prompt.size() / block_bytes);
  BlockHash hash = seed;
  for (std::size_t n = 0; n + block_bytes <= prompt.size(); n += block_bytes) {
    hash = FastHash(prompt.substr(n, block_bytes), hash);
    hashes.push_back(hash);
  }
  return hashes;
}

}  // namespace baobabrun
