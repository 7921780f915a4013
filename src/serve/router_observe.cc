// Records the router's measurements in the metrics.
#include "serve/router.h"

namespace baobabrun {

// Observes the time to the first byte, or the mean gap between the events since
// the previous report.
void Router::ObserveProgress(const AttemptReport& report, Instant now) {
  const auto it = open_.find(report.request);
  if (metrics_ == nullptr || it == open_.end()) {
    return;
  }
  auto& open = it->second;
  const MetricsLabels labels{open.request->organisation,
                             open.request->priority};
  if (report.kind == AttemptReport::Kind::kFirstByte) {
    metrics_->ObserveFirstToken(labels, now - open.request->caller.arrived);
  } else {
    metrics_->ObserveTokenGap(labels,
                              (now - open.last_progress) / kProgressEvents);
  }
  open.last_progress = now;
}

void Router::ObserveWait(const Request& request, Instant now) {
  auto& open = open_[request.caller.id];
  if (metrics_ != nullptr && !open.dispatched) {
    metrics_->ObserveQueueWait({request.organisation, request.priority},
                               now - request.caller.arrived);
  }
  open.dispatched = true;
}

void Router::ObserveEnd(const RequestResult& result) {
  const auto it = open_.find(result.request);
  if (metrics_ == nullptr || it == open_.end()) {
    return;
  }
  const auto& request = *it->second.request;
  if (!result.refusal) {
    metrics_->ObserveTokens({request.organisation, request.priority},
                            result.prompt_tokens, result.cached_tokens,
                            result.completion_tokens);
    return;
  }
  // The limiter had admitted the request, so it was within the contract's rate.
  metrics_->CountRefusal(request.organisation, result.refusal->reason, true);
}

}  // namespace baobabrun
