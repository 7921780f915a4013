// Hashes of prefix blocks. A prompt is divided into blocks of a fixed number of
// bytes, and each block is hashed together with the hash of the preceding
// block, which forms a hash chain. The chain starts from a seed computed from
// organisation, model, adapter and weights version, so that no cache entry can
// match a prompt that differs in any of these. Engines receive the seed as
// `cache_salt`, compute the same hashes and publish them in their cache events.
#ifndef PREFIX_BLOCK_HASH_H_
#define PREFIX_BLOCK_HASH_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/ids.h"

namespace baobabrun {

using BlockHash = std::uint64_t;

// Assumed average number of bytes of text per token.
constexpr std::size_t kBytesPerToken = 4;

BlockHash BlockSeed(const OrganisationId& organisation,
                    const ModelId& model,
                    std::string_view adapter,
                    std::string_view weights);

// Returns one hash for each complete block of `prompt`. An incomplete last
// block has no hash.
std::vector<BlockHash> HashBlocks(std::string_view prompt,
                                  BlockHash seed,
                                  std::size_t block_bytes);

}  // namespace baobabrun

#endif  // PREFIX_BLOCK_HASH_H_
