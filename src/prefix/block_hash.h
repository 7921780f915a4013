// Prefix blocks: a prompt is cut into blocks of a fixed number of bytes, each
// hashed together with the hash of all before it. The first link of the chain
// is a seed made of organisation, model, adapter and weights version, so that
// no entry can match across any of these. Engines get the seed as `cache_salt`,
// hash in the same way and publish these hashes in their cache events.
#ifndef PREFIX_BLOCK_HASH_H_
#define PREFIX_BLOCK_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace baobabrun {

using BlockHash = std::uint64_t;

// Average bytes of text a token stands for.
constexpr std::size_t kBytesPerToken = 4;

BlockHash BlockSeed(const OrganisationId& organisation,
                    const ModelId& model,
                    std::string_view adapter,
                    std::string_view weights);

// One hash for each whole block of `prompt`; an incomplete last block has none.
std::vector<BlockHash> HashBlocks(std::string_view prompt,
                                  BlockHash seed,
                                  std::size_t block_bytes);

}  // namespace baobabrun

#endif  // PREFIX_BLOCK_HASH_H_
