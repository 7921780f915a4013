// When the operator named the weights of each model, as far as a VM knows.
//
// A version is superseded when the next one is named, however many follow it:
// the age of each counts from its own acknowledgement. VMs tell each other the
// ages along with the state, so that one that starts or catches up, and learns
// of several versions at once, knows them too.
#ifndef CONTROL_WEIGHTS_HISTORY_H_
#define CONTROL_WEIGHTS_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "settings/declarations.h"

namespace baobabrun {

// `named` is by this VM's clock, and the latest time at which it may have been.
struct NamedWeightsAt {
  ModelId model;
  std::uint64_t weights = 0;
  Instant named;
};

class WeightsHistory {
 public:
  // Returns whether the weights were not known, or were named earlier than
  // known. Versions that were superseded more than kKept before `now` are
  // dropped.
  bool Add(const NamedWeightsAt& named, Instant now);
  bool Knows(const NamedWeights& named) const;

  // How long ago weights newer than `weights` were first named; zero if none
  // were.
  Duration SupersededFor(const ModelId& model,
                         std::uint64_t weights,
                         Instant now) const;
  // All that is known, oldest first within a model.
  std::vector<NamedWeightsAt> All() const;

 private:
  // Far longer than any version may be used after a newer one was named.
  static constexpr Duration kKept = std::chrono::minutes(2);
  static constexpr std::size_t kMaxVersions = 256;  // of a model

  // Versions rise with time: each was named no later than the next.
  std::map<ModelId, std::map<std::uint64_t, Instant>> named_;
};

}  // namespace baobabrun

#endif  // CONTROL_WEIGHTS_HISTORY_H_
