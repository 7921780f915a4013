// What GET /metrics shows: histograms by organisation and priority class, and
// counters of refusals. Label sets are bounded: organisations beyond a cap
// share the label "other".
//
// All methods may be called from any thread.
#ifndef METRICS_METRICS_H_
#define METRICS_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/ids.h"
#include "base/time.h"
#include "requests/refusal.h"
#include "settings/declarations.h"

namespace baobabrun {

struct MetricsOptions {
  // Organisations with labels of their own; the first ones seen get them.
  std::size_t max_organisations = 1000;
};

// Whom an observation is about. An empty organisation, as on open routes,
// has the label "open".
struct MetricsSubject {
  const OrganisationId& organisation;
  PriorityClass priority = PriorityClass::kStandard;
};

class Metrics {
 public:
  explicit Metrics(MetricsOptions options = {});
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // From the request's arrival to the first token handed to its caller.
  void ObserveFirstToken(const MetricsSubject& subject, Duration time);
  // Between two tokens, or events, of one stream.
  void ObserveTokenGap(const MetricsSubject& subject, Duration time);
  // In the queue and while waiting for tokens of the rate.
  void ObserveQueueWait(const MetricsSubject& subject, Duration time);
  // One finished request: prompt, part of it found in a cache, completion.
  void ObserveTokens(const MetricsSubject& subject,
                     std::int64_t prompt_tokens,
                     std::int64_t cached_tokens,
                     std::int64_t completion_tokens);
  // `inside_rate`: as far as this VM knows, the organisation was inside its
  // rate and burst.
  void CountRefusal(const OrganisationId& organisation,
                    RefusalReason reason,
                    bool inside_rate);

  // The Prometheus text exposition format.
  std::string Render() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace baobabrun

#endif  // METRICS_METRICS_H_
