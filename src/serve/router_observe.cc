// What the router tells the metrics.
#include "serve/router.h"

namespace baobabrun {

// Times the first byte, and the mean gap between the events since the last
// report.
void Router::ObserveProgress(const AttemptReport& report, Instant now) {
  const auto it = open_.find(report.request);
  if (metrics_ == nullptr || it == open_.end()) {
    return;
  }
  auto& open = it->second;
  const MetricsSubject subject{open.request->organisation,
                               open.request->priority};
  if (report.kind == AttemptReport::Kind::kFirstByte) {
    metrics_->ObserveFirstToken(subject, now - open.request->caller.arrived);
  } else {
    metrics_->ObserveTokenGap(subject,
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

void Router::ObserveEnd(const RequestOver& over) {
  const auto it = open_.find(over.request);
  if (metrics_ == nullptr || it == open_.end()) {
    return;
  }
  const auto& request = *it->second.request;
  if (!over.refusal) {
    metrics_->ObserveTokens({request.organisation, request.priority},
                            over.prompt_tokens, over.cached_tokens,
                            over.completion_tokens);
    return;
  }
  // The limiter admitted it, so it was inside the rate.
  metrics_->CountRefusal(request.organisation, over.refusal->reason, true);
}

}  // namespace baobabrun
