// Average density of tokens in an organisation's prompts.
#include "limits/prompt_estimator.h"

#include <algorithm>

namespace baobabrun {
namespace {

constexpr std::int64_t kMillionBytes = 1'000'000;
// One token in four bytes, until endpoints have counted.
constexpr std::int64_t kFirstDensity = kMillionBytes / 4;
// Bounds against a miscounting endpoint: one token in 1 to 32 bytes.
constexpr std::int64_t kMaxDensity = kMillionBytes;
constexpr std::int64_t kMinDensity = kMillionBytes / 32;
constexpr std::int64_t kPromptsAveraged = 16;
constexpr std::int64_t kLargestPrompt = std::int64_t{1} << 40;

}  // namespace

std::int64_t PromptEstimator::Estimate(const OrganisationId& organisation,
                                       std::int64_t bytes) const {
  const auto it = density_.find(organisation);
  const auto density = it == density_.end() ? kFirstDensity : it->second;
  const auto size = std::clamp<std::int64_t>(bytes, 0, kLargestPrompt);
  return size * density / kMillionBytes + 1;
}

void PromptEstimator::Correct(const OrganisationId& organisation,
                              std::int64_t bytes,
                              std::int64_t tokens) {
  if (bytes <= 0 || tokens <= 0 || bytes > kLargestPrompt) {
    return;
  }
  const auto capped = std::min(tokens, bytes);
  const auto seen =
      std::clamp(static_cast<std::int64_t>(static_cast<__int128>(capped) *
                                           kMillionBytes / bytes),
                 kMinDensity, kMaxDensity);
  auto& density =
      density_.try_emplace(organisation, kFirstDensity).first->second;
  density += (seen - density) / kPromptsAveraged;
}

}  // namespace baobabrun
