// Estimates how many tokens a prompt has from its bytes, for each
// organisation, since languages and tokenizers differ. Corrected by what
// endpoints count.
#ifndef LIMITS_PROMPT_ESTIMATOR_H_
#define LIMITS_PROMPT_ESTIMATOR_H_

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"

namespace baobabrun {

class PromptEstimator {
 public:
  // Tokens that a prompt of `bytes` likely has at most; at least 1.
  std::int64_t Estimate(const OrganisationId& organisation,
                        std::int64_t bytes) const;
  // A prompt of `bytes` had `tokens`, both above 0.
  void Correct(const OrganisationId& organisation,
               std::int64_t bytes,
               std::int64_t tokens);

 private:
  // Tokens in a million bytes, averaged over recent prompts.
  std::unordered_map<OrganisationId, std::int64_t> density_;
};

}  // namespace baobabrun

#endif  // LIMITS_PROMPT_ESTIMATOR_H_
