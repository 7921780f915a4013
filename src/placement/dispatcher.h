// The decisions over the life of an admitted request: when and where it runs,
// what happens after each try, and how it ends. No threads, sockets or clock:
// typed messages and `now` go in, actions come out.
#ifndef PLACEMENT_DISPATCHER_H_
#define PLACEMENT_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "endpoints/announcement.h"
#include "placement/endpoint_table.h"
#include "placement/open_request.h"
#include "placement/peer_report.h"
#include "placement/policy.h"
#include "placement/retry_budget.h"
#include "placement/suspects.h"
#include "placement/waiting_requests.h"
#include "prefix/prefix_index.h"
#include "requests/request.h"

namespace baobabrun {

// The end of a request. Comes exactly once for each one submitted.
struct RequestOver {
  RequestId request;
  std::optional<Refusal> refusal;  // nullopt: the whole answer was delivered
  bool answer_begun = false;       // a byte of the answer reached the caller
  std::int64_t prompt_tokens = 0;  // as the endpoint counted; 0: unknown
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;  // over all tries
  EndpointId endpoint;                 // of the last try; empty: none
};

// An order to give a try up. Its kEnded report must still come.
struct CancelAttempt {
  AttemptId attempt;
};

using DispatcherAction = std::variant<Dispatch, CancelAttempt, RequestOver>;

struct DispatcherOptions {
  ZoneId zone;
  // Upper half of all attempt ids; drawn anew at each process start.
  std::uint32_t attempt_prefix = 0;
  std::uint64_t seed = 0;  // of the tie-breaking generator
  EndpointTableOptions endpoints;
  PolicyOptions policy;
  RetryBudgetOptions retries;
  SuspectsOptions suspects;
  PrefixIndexOptions prefix;
  // Replaces the policy, for comparisons. Null: the policy.
  ChooseEndpoint choose;
  // Most tries of one request, the first included.
  std::int32_t most_tries = 4;
  // Most requests waiting for the same model or service. Beyond it, those of
  // the organisation furthest above its share are refused.
  std::size_t most_queued = 512;
  // Tokens that an organisation of weight 1 gets in one round of the queue.
  std::int64_t queue_quantum = 8192;
  // How long a request waits for an endpoint when none is known.
  Duration endpoint_wait = seconds(2);
  // Requests sent to an endpoint beyond its slots, as a share of them. It must
  // be worth to wait at an endpoint that holds the prefix instead of using
  // another with a free slot, which computes it again.
  double overcommit = 2.0;
  // A repeatable request without first byte is moved from a slow endpoint to
  // another after this time, within the retry budget.
  Duration replace_after = seconds(2);
  // How often peers are told of requests in flight, and of losses again.
  Duration report_interval = milliseconds(100);
};

class Dispatcher {
 public:
  // Errors: PlacementError::kBadOptions.
  static Result<std::unique_ptr<Dispatcher>> Create(DispatcherOptions options);

  // Takes over an admitted request; it is queued if no endpoint has room.
  void Submit(RequestPtr request, Instant now);
  // The caller has gone, or its key was withdrawn. `reason` is what RequestOver
  // then says.
  void Abandon(RequestId request,
               Instant now,
               RefusalReason reason = RefusalReason::kInternal);
  void OnReport(const AttemptReport& report, Instant now);
  void OnAnnouncement(const Announcement& it, Instant now);
  void SetRetired(std::vector<EndpointId> retired, Instant now);
  // A peer's payload under PeerTopic::kPlacement.
  void Receive(const VmId& from, std::string_view payload, Instant now);
  // Graceful shutdown: refuses new requests, finishes those it has.
  void BeginDrain() { draining_ = true; }
  void Advance(Instant now);
  // When Advance has work next.
  std::optional<Instant> NextEvent() const;

  std::vector<DispatcherAction> TakeActions();
  // Payloads to broadcast to all peers under PeerTopic::kPlacement.
  std::vector<std::string> TakeMessages();

  std::vector<EndpointView> Endpoints() const { return table_.Views(); }
  // Requests without a final answer yet.
  std::size_t open_requests() const { return open_.size(); }
  // Reports that named no running try (late, doubled or made up).
  std::uint64_t ignored_reports() const { return ignored_reports_; }

 private:
  explicit Dispatcher(DispatcherOptions options);

  // Waiting requests.
  WaitingRequests& QueueOf(const PoolKey& pool);
  void Wait(OpenRequest& it, bool again, Instant now);
  void DrainQueue(const PoolKey& pool, Instant now);
  void DrainQueues(Instant now);
  void SetTimer(OpenRequest& it, std::optional<Instant> timer);
  void SetWaitTimer(OpenRequest& it, Instant now);
  void OnTimer(OpenRequest& it, Instant now);

  // Placing.
  // Whether Place would start the request or must decide on it otherwise.
  bool CanStart(OpenRequest& it, Instant now);
  // Returns false if the request must wait; else it runs or is over.
  bool Place(OpenRequest& it, Instant now);
  bool MustWaitAside(OpenRequest& it, Standing standing);
  std::vector<EndpointSlot> Candidates(const OpenRequest& it,
                                       bool suspect,
                                       Instant now) const;
  bool HasRoom(EndpointSlot slot, Instant now) const;
  bool ResumeInPlace(OpenRequest& it, Instant now);
  void Start(OpenRequest& it,
             EndpointSlot slot,
             bool suspect,
             const PlacementQuery& query);
  PlacementQuery QueryFor(const OpenRequest& it, Instant now);
  Instant LatestStart(const OpenRequest& it, Instant now);

  // Requests that may crash endpoints.
  Fingerprint FingerprintFor(OpenRequest& it);
  bool SameRuns(Fingerprint fingerprint);
  void AddLoss(Loss loss, Instant now);
  void TellPeers(Instant now);

  // After a try.
  void OnFirstByte(Attempt& attempt,
                   OpenRequest& it,
                   const AttemptReport& report,
                   Instant now);
  void OnEnded(const Attempt& attempt,
               OpenRequest& it,
               const AttemptReport& report,
               Instant now);
  void Collect(OpenRequest& it, const AttemptReport& report);
  std::optional<Refusal> WhyNotAgain(const OpenRequest& it,
                                     const Attempt& attempt,
                                     const AttemptReport& report);
  void TryAgain(OpenRequest& it,
                const Attempt& attempt,
                const AttemptReport& report,
                Instant now);

  // Requests that wait too long for their first byte.
  void CheckOverdue(Instant now);
  void Replace(AttemptId id, Attempt& attempt, Instant now);

  void GiveUp(OpenRequest& it, Refusal refusal);
  void Finish(OpenRequest& it, std::optional<Refusal> refusal);
  void LoseAttempts(EndpointSlot slot);

  const DispatcherOptions options_;
  EndpointTable table_;
  Policy policy_;
  RetryBudget budget_;
  std::unordered_map<RequestId, OpenRequest> open_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::map<PoolKey, WaitingRequests> queues_;
  PrefixIndex index_;
  std::vector<std::uint16_t> depths_;  // of the last query, by slot
  Suspects suspects_;
  Instant next_tell_;
  bool told_work_ = false;  // peers know of requests in flight
  std::set<std::pair<Instant, RequestId>> timers_;  // one for each set timer
  std::uint32_t last_attempt_ = 0;
  std::uint64_t ignored_reports_ = 0;
  bool draining_ = false;
  std::vector<DispatcherAction> actions_;
  std::vector<std::string> messages_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_DISPATCHER_H_
