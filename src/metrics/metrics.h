// The metrics that GET /metrics returns: histograms by organisation and
// priority class, and counters of refusals. The number of label values is
// bounded: organisations beyond a cap share the label "other".
//
// All methods may be called from any thread.
#ifndef METRICS_METRICS_H_
#define METRICS_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/time.h"
#include "requests/refusal.h"
#include "settings/declarations.h"

namespace baobabrun {

struct MetricsOptions {
  // Number of organisations with their own label. The first organisations that
  // occur get one.
  std::size_t max_organisations = 1000;
};

// The organisation and priority class of an observation. An empty organisation,
// as on routes that need no key, has the label "open".
struct MetricsLabels {
  const OrganisationId& organisation;
  PriorityClass priority = PriorityClass::kStandard;
};

class Metrics {
 public:
  explicit Metrics(MetricsOptions options = {});
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Time from the request's arrival to the first token passed to its caller.
  void ObserveFirstToken(const MetricsLabels& labels, Duration time);
  // Time between two tokens, or events, of one stream.
  void ObserveTokenGap(const MetricsLabels& labels, Duration time);
  // Time spent in the queue and waiting for the rate limiter.
  void ObserveQueueWait(const MetricsLabels& labels, Duration time);
  // Token counts of one finished request. `cached_tokens` is the part of the
  // prompt that was found in an endpoint's prefix cache.
  void ObserveTokens(const MetricsLabels& labels,
                     std::int64_t prompt_tokens,
                     std::int64_t cached_tokens,
                     std::int64_t completion_tokens);
  // Counts one refusal. `inside_rate` is true if the organisation was within
  // its rate and burst as far as this VM knows.
  void CountRefusal(const OrganisationId& organisation,
                    RefusalReason reason,
                    bool inside_rate);

  // Sets the amount that the process holds of `resource`, such as connections
  // or bytes; the name says the unit.
  void SetResource(std::string_view resource, std::int64_t amount);

  // Returns all metrics in the Prometheus text exposition format.
  std::string Render() const;

 private:
  class Impl;

  std::unique_ptr<Impl> impl_;
};

}  // namespace baobabrun

#endif  // METRICS_METRICS_H_
