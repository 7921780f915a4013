// Makes all decisions about an admitted request: when and on which endpoint it
// runs, what happens after each attempt, and how the request ends. The
// dispatcher uses no threads, sockets or clock. Its callers pass in typed
// messages and the current time, and execute the actions that it returns.
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

// The result of a request. The dispatcher emits exactly one for each submitted
// request.
struct RequestResult {
  RequestId request;
  std::optional<Refusal> refusal;  // nullopt: the answer is complete
  // True if at least one byte of the answer reached the caller.
  bool answer_begun = false;
  // Counted by the endpoint. 0 if the endpoint gave no count.
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;  // sum over all attempts
  // The endpoint of the last attempt. Empty if there was no attempt.
  EndpointId endpoint;
};

// Requests the cancellation of an attempt. The caller must still report the end
// of the attempt with kEnded.
struct CancelAttempt {
  AttemptId attempt;
};

using DispatcherAction = std::variant<Dispatch, CancelAttempt, RequestResult>;

struct DispatcherOptions {
  ZoneId zone;
  // Upper 32 bits of all attempt ids. Drawn at random at each process start.
  std::uint32_t attempt_prefix = 0;
  std::uint64_t seed = 0;  // of the generator that breaks ties
  EndpointTableOptions endpoints;
  PolicyOptions policy;
  RetryBudgetOptions retries;
  SuspectTrackerOptions suspects;
  PrefixIndexOptions prefix;
  // Replaces the policy in comparisons. If null, the policy chooses.
  ChooseEndpoint choose;
  // Maximum number of attempts per request, including the first.
  std::int32_t max_attempts_per_request = 4;
  // Maximum number of requests that wait for the same model or service. If
  // there are more, requests of the organisation furthest above its share are
  // refused.
  std::size_t max_queued = 512;
  // Tokens that an organisation of weight 1 receives in one round of the fair
  // queue.
  std::int64_t queue_quantum = 8192;
  // How long a request waits for an endpoint when no endpoint can run it.
  Duration endpoint_wait = seconds(2);
  // How many requests beyond its slots an endpoint may receive, as a multiple
  // of its slots. A request may then wait at an endpoint that has cached its
  // prefix where that is faster than computing the prefix again at an endpoint
  // with a free slot.
  double overcommit = 2.0;
  // A repeatable request that has not received a first byte after this time is
  // moved from a slow endpoint to another one, if the retry budget allows it.
  Duration reroute_after = seconds(2);
  // Interval between two reports to the peers. Each report contains the
  // requests in flight and repeats suspected crashes.
  Duration report_interval = milliseconds(100);
};

class Dispatcher {
 public:
  // Errors: PlacementError::kBadOptions.
  static Result<std::unique_ptr<Dispatcher>> Create(DispatcherOptions options);

  // Takes over an admitted request. The request is queued if no endpoint has
  // capacity for it.
  void Submit(RequestPtr request, Instant now);
  // Ends a request because the caller disconnected or its key was withdrawn.
  // The refusal in RequestResult has this `reason`.
  void Abandon(RequestId request,
               Instant now,
               RefusalReason reason = RefusalReason::kInternal);
  void OnReport(const AttemptReport& report, Instant now);
  void OnAnnouncement(const Announcement& it, Instant now);
  void SetRetired(std::vector<EndpointId> retired, Instant now);
  // Handles a message that a peer sent under PeerTopic::kPlacement.
  void Receive(const VmId& from, std::string_view payload, Instant now);
  // Starts a graceful shutdown: new requests are refused, and requests that
  // were submitted before are completed.
  void BeginDrain() { draining_ = true; }
  void Advance(Instant now);
  // The time at which Advance must be called next. Empty if nothing is
  // scheduled.
  std::optional<Instant> NextEvent() const;

  std::vector<DispatcherAction> TakeActions();
  // Payloads to broadcast to all peers under PeerTopic::kPlacement.
  std::vector<std::string> TakeMessages();

  std::vector<EndpointView> Endpoints() const { return table_.Views(); }
  // Number of requests for which no RequestResult has been emitted yet.
  std::size_t open_requests() const { return open_.size(); }
  // Number of reports whose attempt id matches no running attempt, because they
  // were late, duplicated or invalid.
  std::uint64_t ignored_reports() const { return ignored_reports_; }

 private:
  explicit Dispatcher(DispatcherOptions options);

  // Waiting requests.
  WaitingRequests& QueueOf(const PoolKey& pool);
  void Enqueue(OpenRequest& it, bool is_retry, Instant now);
  void DrainQueue(const PoolKey& pool, Instant now);
  void DrainQueues(Instant now);
  void SetTimer(OpenRequest& it, std::optional<Instant> timer);
  void SetWaitTimer(OpenRequest& it, Instant now);
  void OnTimer(OpenRequest& it, Instant now);

  // Placement.
  // Returns whether Place can decide about the request now, either by starting
  // it or in another way.
  bool CanStart(OpenRequest& it, Instant now);
  // Returns false if the request must wait. Otherwise the request was started
  // or has ended.
  bool Place(OpenRequest& it, Instant now);
  bool MustWaitAsSuspect(OpenRequest& it, SuspectStatus status);
  std::vector<EndpointIndex> Candidates(const OpenRequest& it,
                                        bool suspect,
                                        Instant now) const;
  bool HasCapacity(EndpointIndex slot, Instant now) const;
  bool ResumeInPlace(OpenRequest& it, Instant now);
  void Start(OpenRequest& it,
             EndpointIndex slot,
             bool suspect,
             const PlacementQuery& query);
  PlacementQuery QueryFor(const OpenRequest& it, Instant now);
  Instant LatestStart(const OpenRequest& it, Instant now);

  // Requests that may crash endpoints.
  Fingerprint FingerprintFor(OpenRequest& it);
  bool IsDuplicateRunning(Fingerprint fingerprint);
  void AddSuspectedCrash(SuspectedCrash crash, Instant now);
  void ReportToPeers(Instant now);

  // Reports of attempts.
  void OnFirstByte(Attempt& attempt,
                   OpenRequest& it,
                   const AttemptReport& report,
                   Instant now);
  void OnEnded(const Attempt& attempt,
               OpenRequest& it,
               const AttemptReport& report,
               Instant now);
  void MergeReport(OpenRequest& it, const AttemptReport& report);
  std::optional<Refusal> RefusalInsteadOfRetry(const OpenRequest& it,
                                               const Attempt& attempt,
                                               const AttemptReport& report);
  void ScheduleRetry(OpenRequest& it,
                     const Attempt& attempt,
                     const AttemptReport& report,
                     Instant now);

  // Attempts that have waited too long for their first byte.
  void CheckOverdue(Instant now);
  void Reroute(AttemptId id, Attempt& attempt, Instant now);

  void EndWithRefusal(OpenRequest& it, Refusal refusal);
  void Finish(OpenRequest& it, std::optional<Refusal> refusal);
  void CancelAttemptsOfOldIncarnation(EndpointIndex slot);

  const DispatcherOptions options_;
  EndpointTable table_;
  Policy policy_;
  RetryBudget budget_;
  std::unordered_map<RequestId, OpenRequest> open_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::map<PoolKey, WaitingRequests> queues_;
  PrefixIndex index_;
  // Cached leading blocks of the last query, by endpoint slot.
  std::vector<std::uint16_t> depths_;
  SuspectTracker suspects_;
  Instant next_report_at_;
  // True if the last report to the peers contained requests in flight.
  bool reported_load_ = false;
  std::set<std::pair<Instant, RequestId>> timers_;  // all timers that are set
  std::uint32_t last_attempt_ = 0;
  std::uint64_t ignored_reports_ = 0;
  bool draining_ = false;
  std::vector<DispatcherAction> actions_;
  std::vector<std::string> messages_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_DISPATCHER_H_
