// Averages the density of tokens in an organisation's prompts.
#include "limits/prompt_estimator.h"

#include <algorithm>

namespace baobabrun {
namespace {

constexpr std::int64_t kMillionBytes = 1'000'000;
// One token in four bytes, until an endpoint has counted tokens.
constexpr std::int64_t kDefaultDensity = kMillionBytes / 4;
// Limits on the density, in case an endpoint counts wrongly: one token in 1 to
// 32 bytes.
constexpr std::int64_t kMaxDensity = kMillionBytes;
constexpr std::int64_t kMinDensity = kMillionBytes / 32;
constexpr std::int64_t kPromptsAveraged = 16;
constexpr std::int64_t kMaxPromptBytes = std::int64_t{1} << 40;

}  // namespace

std::int64_t PromptEstimator::Estimate(const OrganisationId& organisation,
                                       std::int64_t bytes) const {
  const auto it = density_.find(organisation);
  const auto density = it == density_.end() ? kDefaultDensity : it->second;
  const auto size = std::clamp<std::int64_t>(bytes, 0, kMaxPromptBytes);
  return size * density / kMillionBytes + 1;
}

void PromptEstimator::Correct(const OrganisationId& organisation,
                              std::int64_t bytes,
                              std::int64_t tokens) {
  if (bytes <= 0 || tokens <= 0 || bytes > kMaxPromptBytes) {
    return;
  }
  const auto capped = std::min(tokens, bytes);
  const auto observed =
      std::clamp(static_cast<std::int64_t>(static_cast<__int128>(capped) *
                                           kMillionBytes / bytes),
                 kMinDensity, kMaxDensity);
  auto& density =
      density_.try_emplace(organisation, kDefaultDensity).first->second;
  density += (observed - density) / kPromptsAveraged;
}

}  // namespace baobabrun
