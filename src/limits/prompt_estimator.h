// Estimates the number of tokens in a prompt from its size in bytes. Each
// organisation has its own estimate, since languages and tokenizers differ.
// Token counts from endpoints correct the estimate.
#ifndef LIMITS_PROMPT_ESTIMATOR_H_
#define LIMITS_PROMPT_ESTIMATOR_H_

#include <cstdint>
#include <unordered_map>

#include "base/ids.h"

namespace baobabrun {

class PromptEstimator {
 public:
  // Returns the estimated tokens of a prompt of `bytes`; at least 1.
  std::int64_t Estimate(const OrganisationId& organisation,
                        std::int64_t bytes) const;
  // Corrects the estimate with a prompt of `bytes` that had `tokens`. Ignored
  // unless both are above 0.
  void Correct(const OrganisationId& organisation,
               std::int64_t bytes,
               std::int64_t tokens);

 private:
  // Tokens in a million bytes, averaged over recent prompts.
  std::unordered_map<OrganisationId, std::int64_t> density_;
};

}  // namespace baobabrun

#endif  // LIMITS_PROMPT_ESTIMATOR_H_
