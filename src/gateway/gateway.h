// The decisions of an entry that serves by a manifest: which route and
// organisation a call belongs to, whether its quota admits it, which endpoint
// runs it, whether it is retried, and which answer its caller gets in the end.
//
// Each call ends with exactly one RefuseCall, DeliverFailure, AbortAnswer or
// CallDone, unless its caller has disconnected.
//
// This class has no threads, sockets or clock: typed messages and the current
// time go in, actions come out.
#ifndef GATEWAY_GATEWAY_H_
#define GATEWAY_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "control/weights_history.h"
#include "endpoints/surplus.h"
#include "gateway/cache_feed.h"
#include "gateway/call.h"
#include "gateway/crash_causes.h"
#include "gateway/crash_tracker.h"
#include "gateway/endpoint_backoff.h"
#include "gateway/endpoint_health.h"
#include "gateway/endpoint_picker.h"
#include "gateway/fleet_load.h"
#include "gateway/gateway_message.h"
#include "gateway/notice_relay.h"
#include "gateway/quota.h"
#include "gateway/retry_allowance.h"
#include "manifest/manifest.h"
#include "membership/peer_message.h"
#include "registry/registry_replicator.h"
#include "requests/refusal.h"
#include "settings/declarations.h"

namespace baobabrun {

// Who decides whether an organisation's quota admits a call.
enum class QuotaAuthority { kNotLimited, kLeader, kLocal };
std::string_view NameOf(QuotaAuthority authority);

struct SendCall {
  EndpointAttempt send;
};
struct CancelSend {
  AttemptId attempt;
};
// Send the caller a refusal. If an answer has begun, it is cut off instead.
struct RefuseCall {
  RequestId request;
  Refusal refusal;
};
// Send the caller the failure that an endpoint answered with.
struct DeliverFailure {
  RequestId request;
};
// Cut off an answer that has begun and can't be completed.
struct AbortAnswer {
  RequestId request;
};
// The whole answer was sent to the caller, or nothing more is to be sent.
struct CallDone {
  RequestId request;
};
// Query a cache for its changes. The result is passed to OnCacheUpdate.
struct QueryCache {
  CacheQuery query;
};
using GatewayAction = std::variant<SendCall,
                                   CancelSend,
                                   RefuseCall,
                                   DeliverFailure,
                                   AbortAnswer,
                                   CallDone,
                                   QueryCache>;

// The result of a call, for metrics.
struct CallObservation {
  OrganisationId organisation;
  // If set, the other fields below are not.
  std::optional<RefusalReason> refused;
  // Of a stream; time since the call arrived.
  std::optional<Duration> first_event;
  // Of the same stream, between two events.
  Duration longest_pause{};
};

struct GatewayOptions {
  VmId self;
  ZoneId zone;
  std::uint64_t seed = 0;
  // Random number drawn at process start; the upper half of attempt ids.
  std::uint32_t attempt_prefix = 0;
  RetryAllowanceOptions retries;
  QuotaBound quota;
  EndpointHealthOptions health;
  EndpointBackoffOptions backoff;
  CrashTrackerOptions crashes;
  CrashCausesOptions crash_causes;
  EndpointPickerOptions picker;
  // A call that hasn't begun by the time that its endpoint's weights were
  // superseded this long before is withdrawn from it, whatever made it wait.
  // Longer than `picker.weights_deadline`, so that few calls are withdrawn.
  Duration begin_deadline = seconds(8);
  FleetLoadOptions load;
  NoticeRelayOptions notices;  // `self` and `zone` are set by the gateway
  // Called once for each call that was answered or refused; must not block.
  std::function<void(const CallObservation& call)> observe;
  // An endpoint is avoided if no VM has had a report from it for this long.
  Duration silent_after = seconds(5);
};

class Gateway {
 public:
  // `endpoints` must outlive the gateway.
  Gateway(GatewayOptions options, const RegistryReplicator& endpoints);

  void OnCall(const GatewayCallPtr& call, Instant now);
  void OnCallerGone(RequestId request, Instant now);
  void OnProgress(const AttemptProgress& progress, Instant now);
  void OnAttemptResult(const AttemptResult& end, Instant now);
  void OnNotice(const EndpointNotice& notice, Instant now);
  void OnSurplus(const Surplus& surplus, Instant now);
  // `update` is null if the endpoint didn't answer, or not readably.
  void OnCacheUpdate(const EndpointId& endpoint,
                     const CacheUpdate* update,
                     Instant now);
  // Ignores a state that isn't newer than the last. `manifest` is the one of
  // the state, or null if the state has none.
  void OnState(FleetStatePtr state, ManifestViewPtr manifest, Instant now);
  // Weights were named at the given times at the latest. To be called before
  // OnState with the state that names them.
  void OnWeightsNamed(const std::vector<NamedWeightsAt>& named, Instant now);
  // `entries` is the number of entries of the fleet, including this one;
  // `others` are the other entries and `control` the control VMs.
  void SetPeers(std::size_t entries,
                const std::vector<EntryPeer>& others,
                std::vector<VmId> control,
                Instant now);
  void Receive(const VmId& from, const GatewayMessage& message, Instant now);
  // The endpoint registry changed: places the calls that wait for an endpoint
  // again.
  void OnEndpointsChanged(Instant now);
  void Advance(Instant now);

  std::optional<Instant> NextEvent() const;
  std::vector<GatewayAction> TakeActions();
  std::vector<PeerMessage> TakeMessages(Instant now);

  bool has_manifest() const { return manifest_ != nullptr; }
  const ManifestViewPtr& manifest() const { return manifest_; }
  std::size_t open_calls() const { return open_.size(); }

 private:
  enum class Phase {
    kQuota,    // waits for the leader's answer
    kPlacing,  // waits for an endpoint that may run it
    kSent,
    kCancelling,  // an attempt is being cancelled, to be followed by another
  };
  struct OpenCall {
    GatewayCallPtr call;
    // Of the manifest in force when the call arrived, `manifest_number`. A
    // copy, so that an open call doesn't keep a whole manifest in memory.
    ManifestRoute route;
    std::uint64_t manifest_number = 0;
    OrganisationId organisation;
    bool rate_limited = false;
    std::string service;
    // By the manifest in force at the newest attempt; without the weights.
    std::string cache_scope;
    std::int32_t urgency = 0;
    std::int64_t cost = 0;
    std::uint64_t fingerprint = 0;
    std::optional<std::uint64_t> prefix;
    std::vector<std::uint64_t> shared_parts;  // SharedPartsOf
    Instant deadline;                         // for the final answer
    Phase phase = Phase::kPlacing;
    // When Advance handles the call next, besides the deadline.
    Instant phase_until;
    QuotaAuthority quota = QuotaAuthority::kNotLimited;
    std::uint64_t quota_serial = 0;
    Instant quota_asked;
    // Of the newest attempt, as are the fields up to `kept`.
    CallWork work;
    EndpointId saved_to;  // a store; empty if the prompt isn't saved
    // A store; empty if no parts are fetched from it.
    EndpointId fetched_from;
    Duration expected{};  // predicted time until the first token
    AttemptId attempt;
    Instant sent;
    EndpointId endpoint;
    Incarnation incarnation;    // of the endpoint
    std::uint64_t weights = 0;  // zero for calls without a model
    // When the call is withdrawn from the endpoint unless it has begun;
    // Instant::max() while the endpoint's weights are the newest.
    Instant begin_by = Instant::max();
    std::optional<Instant> first_event;  // when it arrived
    bool kept = false;  // left at a silent endpoint for want of another
    // Attempts that reached an endpoint, or may have.
    std::int32_t attempts = 0;
    std::int32_t failed_connects = 0;
    bool may_have_run = false;
    bool begun = false;
    bool can_resume = true;
    std::string last_event;
    std::set<EndpointId> tried;
    std::set<std::string> tried_at;  // their addresses
  };
  using OpenCalls = std::unordered_map<RequestId, OpenCall>;

  // gateway.cc
  bool ResolveCall(OpenCall& open, Refusal* refusal);
  void UpdateCacheScope(OpenCall& open) const;
  void RecordNamed(const NamedWeightsAt& named, Instant now);
  std::string ChooseService(const ManifestRoute& route);
  void AskQuota(OpenCall& open, Instant now);
  void OnQuotaAnswer(const QuotaAnswer& answer, Instant now);
  void TakeLocally(OpenCall& open, Instant now);
  bool CallerGaveUp(const OpenCall& open, Instant now) const;
  Duration AddJitter(Duration middle);
  void Observe(const CallObservation& call) const;
  void Refuse(OpenCall& open,
              RefusalReason reason,
              std::string message,
              Duration retry_after);
  void Finish(RequestId request, GatewayAction action);
  void SetTimer(const OpenCall& open);
  void DropTimers(const OpenCall& open);

  // gateway_sending.cc
  void Place(OpenCall& open, Instant now);
  std::vector<PickCandidate> Candidates(const OpenCall& open, Instant now);
  void EstimateLoads(const OpenCall& open,
                     std::vector<PickCandidate>& candidates,
                     Instant now);
  // Returns the store of cached parts; null if there is none or it is avoided.
  const ManifestService* UsableStore(Instant now) const;
  void RegisterCaches(Instant now);
  void UpdateSourceHealth(const OpenCall& open, Instant now);
  // Records that an endpoint sent a part of an answer.
  void Heard(const EndpointId& endpoint, Instant now);
  void RecordAttemptEvent(const OpenCall& open,
                          CallNoticeKind kind,
                          Instant now);
  void Receive(const VmId& from, const CallNotices& message, Instant now);
  void Receive(const CacheNotice& notice, Instant now);
  void Send(OpenCall& open, const PickCandidate& choice, Instant now);
  void HandleNoEndpoint(OpenCall& open, Instant now);
  // If every ready endpoint of the service has asked for no requests, returns
  // until when; Instant::max() if all leave. Otherwise returns null.
  std::optional<Instant> UncallableUntil(const std::string& service,
                                         Instant now) const;
  // When the caller may retry a call that no endpoint took: after `usual`, but
  // not before an endpoint can be called.
  Duration RetryDelay(const OpenCall& open, Duration usual, Instant now);
  void OnBroken(OpenCall& open, const AttemptResult& end, Instant now);
  void OnNotRun(OpenCall& open, const AttemptResult& end, Instant now);
  void OnNotSent(OpenCall& open, Instant now);
  void SendAgain(OpenCall& open, Instant now);
  bool MaySendAgain(const OpenCall& open) const;
  void GiveUp(OpenCall& open, std::string message);
  void ObserveAnswer(const OpenCall& open, const AttemptResult& end) const;
  void UpdateHealth(const OpenCall& open,
                    const AttemptResult& end,
                    Instant now);
  void RecordCrash(const OpenCall& open, const AttemptResult& end, Instant now);
  void RecordCrash(const CrashNotice& notice, Instant now);
  // Records what the end of an attempt shows of the endpoint: that it answers
  // or has crashed.
  void RecordEndpointSigns(const OpenCall& open,
                           const AttemptResult& end,
                           Instant now);
  // Records that no part of the call crashes endpoints.
  void RecordSound(const OpenCall& open, Instant now);
  // Refuses the call if it is known to crash endpoints. Returns whether it did.
  bool RefuseIfQuarantined(OpenCall& open, Instant now);
  const std::set<EndpointId>& SilentEndpoints(Instant now);
  bool OtherMayTakeOver(const OpenCall& open, Instant now);
  bool IsQueuedAtEndpoint(const OpenCall& open, Instant now) const;
  // By when the call must begin at its endpoint; see OpenCall::begin_by.
  Instant MustBeginBy(const OpenCall& open, Instant now) const;
  void SetBeginTimer(OpenCall& open, Instant now);
  // Takes a call that hasn't begun back from an endpoint whose weights become
  // too old. It is sent to another endpoint if it may run twice, and given up
  // otherwise.
  void Withdraw(OpenCall& open, Instant now);
  void OnSilence(OpenCall& open, Instant now);
  void OnTimer(OpenCall& open, Instant now);

  const GatewayOptions options_;
  const RegistryReplicator& endpoints_;
  std::mt19937_64 random_;
  RetryAllowance retries_;
  LocalQuota local_quota_;
  EndpointHealth health_;
  EndpointBackoff backoff_;
  CrashTracker crashes_;
  CrashCauses crash_causes_;
  EndpointPicker picker_;
  FleetLoad load_;
  CacheFeed feed_;

  FleetStatePtr state_;       // null until the first
  ManifestViewPtr manifest_;  // null until the first
  WeightsHistory weights_;
  std::vector<VmId> control_;
  VmId leader_;  // answers QuotaAsk; empty if no leader is known
  std::uint64_t leader_term_ = 0;
  Instant leader_contact_;
  Instant next_report_;  // next QuotaReport to the control VMs

  OpenCalls open_;
  // Timers that Advance handles: for each call, one for its deadline, one for
  // its phase and one for `begin_by`.
  std::set<std::pair<Instant, RequestId>> timers_;
  // Calls that wait for the leader's answer, by serial.
  std::map<std::uint64_t, RequestId> quota_requests_;
  // Last known weights of each endpoint; newer ones empty its cache.
  std::map<EndpointId, std::vector<ModelWeights>> weights_seen_;
  // When an endpoint last sent a part of an answer to any call of this VM.
  std::map<EndpointId, Instant> answered_;
  // When an engine last sent an event after it had been silent.
  std::map<EndpointId, Instant> resumed_;
  std::set<EndpointId> silent_;  // SilentEndpoints(), until silent_until_
  Instant silent_until_;
  NoticeRelay notices_;  // for the other entries
  std::uint64_t last_attempt_ = 0;
  std::uint64_t last_serial_ = 0;
  Instant next_expire_;
  std::vector<GatewayAction> actions_;
  std::vector<PeerMessage> messages_;
};

}  // namespace baobabrun

#endif  // GATEWAY_GATEWAY_H_
