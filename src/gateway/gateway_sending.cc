// Handles a call from its first attempt to its end.
#include <algorithm>
#include <utility>

#include "base/log.h"
#include "gateway/gateway.h"

namespace baobabrun {
namespace {

// A call that no endpoint can run now waits for this fraction of its target
// latency. After that, a retry by the caller is a better use of the time.
constexpr int kPlacingDivisor = 8;
// After these times the caller may retry a call that no endpoint took.
constexpr Duration kRetryNoEndpoint = milliseconds(250);
constexpr Duration kRetryNotRun = milliseconds(60);
// A call is given up after this many connections that couldn't be opened.
constexpr std::int32_t kMaxFailedConnects = 3;
// A call that may be retried is sent to another endpoint if no byte of an
// answer arrived within this many times its target latency, or no further event
// within this many times the longest pause.
constexpr int kSilentTargets = 2;
constexpr int kSilentPauses = 3;
// An engine may be silent for a second or so and go on. Callers wait longer for
// an event of a stream that has begun.
constexpr Duration kMinStreamSilence = milliseconds(1'400);
// How long a list of the silent endpoints is used.
constexpr Duration kSilentInterval = milliseconds(20);
// If the endpoint answers other calls in the meantime, the call is waiting in
// its queue, and would have to start again in another. It stays there for this
// many target latencies; then its answer is assumed to be lost.
constexpr int kQueueTargets = 4;
// A first token that is this much later than predicted indicates that the
// source of the cached parts doesn't answer, which delays it by some hundred
// milliseconds.
constexpr Duration kDeadSourceDelay = milliseconds(250);
// A longer delay has another cause: the engine itself was silent.
constexpr Duration kMaxDeadSourceDelay = milliseconds(950);
// An engine that runs streams and sends no event for this long is silent.
constexpr Duration kEngineSilence = milliseconds(500);
// An attempt that is given up sooner than this shows nothing about its
// endpoint.
constexpr Duration kMinSilence = milliseconds(200);
// An endpoint that sends events for this long doesn't crash under the call.
constexpr Duration kSoundAfter = milliseconds(150);

// The ids of the parts of a prompt that other calls may share, for the log.
// They show what calls that fail have in common.
std::string SharedPartIds(const GatewayCall& call) {
  std::string ids;
  for (std::size_t n = 0; n + 1 < call.parts.size(); ++n) {
    ids += (n == 0 ? "" : ",") + call.parts[n].id;
  }
  return ids;
}

bool MayHaveRun(SendOutcome outcome) {
  return outcome == SendOutcome::kBroken || outcome == SendOutcome::kSilent ||
         outcome == SendOutcome::kCancelled || outcome == SendOutcome::kFailure;
}

}  // namespace

std::vector<PickCandidate> Gateway::Candidates(const OpenCall& open,
                                               Instant now) {
  std::vector<PickCandidate> candidates;
  const auto& model = open.call->model;
  auto avoided = endpoints_.TimedOut(options_.silent_after, now);
  if (open.attempts > 0) {
    const auto& silent = SilentEndpoints(now);
    avoided.insert(silent.begin(), silent.end());
  }
  for (const auto* it : endpoints_.registry().LiveOf(open.service)) {
    if (it->state != EndpointState::kReady ||
        open.tried.contains(it->endpoint) ||
        !backoff_.MayCall(it->endpoint, it->incarnation, now)) {
      continue;
    }
    const auto weights = it->WeightsOf(model);
    const bool loading = it->loading != 0 && weights < it->loading;
    if (!model.empty() && (weights == 0 || loading)) {
      continue;
    }
    PickCandidate candidate;
    candidate.endpoint = it->endpoint;
    candidate.zone = it->zone;
    candidate.in_flight = load_.InFlight(it->endpoint);
    candidate.avoid = health_.Avoid(it->endpoint, it->zone, now) ||
                      avoided.contains(it->endpoint);
    candidate.record = it;
    candidate.superseded = weights_.SupersededFor(model, weights, now);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

// Cached prompt parts are valid for one version of the weights only, so
// endpoints are grouped by version.
void Gateway::EstimateLoads(const OpenCall& open,
                            std::vector<PickCandidate>& candidates,
                            Instant now) {
  const auto& model = open.call->model;
  const auto* service = manifest_->manifest().FindService(open.service);
  // A newer manifest may no longer have the service.
  const auto memory = service == nullptr ? 0 : service->engine.cache_tokens;
  struct Group {
    CallWork work;
    std::vector<LoadEndpoint> endpoints;
    CacheSources sources;
  };
  std::map<std::uint64_t, Group> groups;
  const auto describe = [&](const PickCandidate& it) {
    return LoadEndpoint{it.endpoint, it.record->address, it.zone, memory};
  };
  for (const auto& it : candidates) {
    const auto weights = it.record->WeightsOf(model);
    auto& group = groups[weights];
    if (group.work.parts.empty()) {
      group.work = WorkOf(open.call->parts, open.cache_scope, weights,
                          open.call->output_tokens);
    }
    if (!it.avoid) {
      group.endpoints.push_back(describe(it));
    }
  }
  const auto* store = UsableStore(now);
  for (auto& [weights, group] : groups) {
    if (store != nullptr) {
      group.endpoints.push_back({EndpointId(store->service),
                                 store->store_address, store->store_zone,
                                 store->store_tokens});
    }
    group.sources = load_.SourcesOf(group.work, group.endpoints, now);
  }
  for (auto& it : candidates) {
    const auto& group = groups[it.record->WeightsOf(model)];
    it.load = load_.Estimate(describe(it), group.work, group.sources, now);
  }
}

const ManifestService* Gateway::UsableStore(Instant now) const {
  const auto& services = manifest_->manifest().services;
  const auto it = std::find_if(services.begin(), services.end(),
                               [](const auto& it) { return it.cache_store; });
  if (it == services.end() ||
      health_.Avoid(EndpointId(it->service), it->store_zone, now)) {
    return nullptr;
  }
  return &*it;
}

// Records whether the source of cached parts was reachable. An unreachable one
// shows by a first token that comes much later than predicted.
void Gateway::UpdateSourceHealth(const OpenCall& open, Instant now) {
  if (open.fetched_from.empty()) {
    return;
  }
  const auto delay = now - open.sent - open.expected;
  const auto resumed = resumed_.find(open.endpoint);
  const bool engine_was_silent =
      resumed != resumed_.end() && resumed->second >= open.sent;
  if (engine_was_silent || delay > kMaxDeadSourceDelay) {
    return;
  }
  if (delay > kDeadSourceDelay) {
    health_.Unreachable(open.fetched_from, ZoneId(), now);
    // If the source was restarted, its cache is empty.
    load_.ClearCache(open.fetched_from);
  } else {
    health_.Succeeded(open.fetched_from, ZoneId(), now);
  }
}

// Updates the load model and queues a notice for the other entries.
void Gateway::RecordAttemptEvent(const OpenCall& open,
                                 CallNoticeKind kind,
                                 Instant now) {
  const auto serial = open.attempt.value();
  const FleetAttemptId key{options_.self, serial};
  CallNotice notice;
  notice.kind = kind;
  notice.serial = serial;
  switch (kind) {
    case CallNoticeKind::kSent:
      load_.Sent(key, open.endpoint, open.work, now, open.saved_to);
      notice.endpoint = open.endpoint;
      notice.saved_to = open.saved_to;
      notice.work = open.work;
      break;
    case CallNoticeKind::kBegan:
      load_.Began(key, now);
      break;
    case CallNoticeKind::kEnded:
      load_.Ended(key, now);
      break;
  }
  notices_.Add(std::move(notice));
}

void Gateway::Receive(const VmId& from,
                      const CallNotices& message,
                      Instant now) {
  for (const auto& it : message.notices) {
    const FleetAttemptId key{from, it.serial};
    switch (it.kind) {
      case CallNoticeKind::kSent:
        load_.Sent(key, it.endpoint, it.work, now, it.saved_to);
        break;
      case CallNoticeKind::kBegan:
        load_.Began(key, now);
        break;
      case CallNoticeKind::kEnded:
        load_.Ended(key, now);
        break;
    }
  }
  for (const auto& it : message.caches) {
    Receive(it, now);
  }
  for (const auto& it : message.crashes) {
    RecordCrash(it, now);
  }
  for (const auto& it : message.quarantines) {
    crash_causes_.Learn(it, now);
  }
  if (message.newest != 0) {
    load_.Retain(from, message.newest, message.in_flight, now);
  }
}

void Gateway::Place(OpenCall& open, Instant now) {
  if (RefuseIfQuarantined(open, now)) {
    return;
  }
  UpdateCacheScope(open);
  const PickRequest request{open.prefix};
  auto candidates = Candidates(open, now);
  if (open.prefix) {
    EstimateLoads(open, candidates, now);
  }
  const auto* choice = picker_.Pick(request, candidates);
  if (choice == nullptr) {
    HandleNoEndpoint(open, now);
  } else {
    Send(open, *choice, now);
  }
}

std::optional<Instant> Gateway::UncallableUntil(const std::string& service,
                                                Instant now) const {
  std::optional<Instant> until;
  for (const auto* it : endpoints_.registry().LiveOf(service)) {
    if (it->state == EndpointState::kReady) {
      const auto at = backoff_.CallableAt(it->endpoint, it->incarnation);
      if (at <= now) {
        return std::nullopt;
      }
      until = std::min(until.value_or(at), at);
    }
  }
  return until;
}

Duration Gateway::RetryDelay(const OpenCall& open,
                             Duration usual,
                             Instant now) {
  const auto until = UncallableUntil(open.service, now);
  const auto held =
      until && *until != Instant::max() ? *until - now : Duration::zero();
  return held + AddJitter(usual);
}

void Gateway::OnNotice(const EndpointNotice& notice, Instant now) {
  const auto& delay = notice.notice.retry_after;
  if (delay && backoff_.RecordRetryAfter(notice.endpoint, *delay, now)) {
    Log(Event::kEndpointHeldBack,
        "endpoint {} wants no requests for {} ms and gets none until then",
        notice.endpoint.value(),
        InMs(backoff_.HeldUntil(notice.endpoint) - now));
  }
  // A cache store has no incarnation, so its next start couldn't be noticed.
  if (notice.notice.leaving &&
      endpoints_.registry().Find(notice.endpoint) != nullptr &&
      backoff_.RecordLeaving(notice.endpoint, notice.incarnation)) {
    Log(Event::kEndpointLeaves,
        "endpoint {} answers that it leaves; it gets no more calls",
        notice.endpoint.value());
    OnEndpointsChanged(now);
  }
}

// Its answers were whole, but an endpoint that doesn't know where they end may
// take anything for an answer.
void Gateway::OnSurplus(const Surplus& surplus, Instant now) {
  for (const auto* it : endpoints_.registry().Live()) {
    if (it->address == surplus.endpoint) {
      Log(Event::kAnswerOverlong,
          {{"endpoint", it->endpoint.value()},
           {"found", NameOf(surplus.found)},
           {"local_port", surplus.local_port}},
          "endpoint {} at {} sent more than the answer that was due; it is "
          "avoided while others can take the calls",
          it->endpoint.value(), ToString(surplus.endpoint));
      health_.Failed(it->endpoint, now);
    }
  }
}

// Lets the call wait for an endpoint for a short time; once that is over, or if
// no endpoint can be called within it, its caller is told to retry later.
void Gateway::HandleNoEndpoint(OpenCall& open, Instant now) {
  const auto limit =
      open.call->arrived + open.route.target_latency / kPlacingDivisor;
  const auto callable = UncallableUntil(open.service, now).value_or(now);
  if (now < limit && callable < limit && open.attempts == 0 &&
      open.failed_connects == 0) {
    open.phase = Phase::kPlacing;
    open.phase_until = callable > now ? callable : limit;
    SetTimer(open);
    return;
  }
  if (open.may_have_run) {
    GiveUp(open, "no other endpoint can take the call");
    return;
  }
  Refuse(open, RefusalReason::kNoEndpoint,
         "no endpoint of service " + open.service + " can take the call",
         RetryDelay(open, kRetryNoEndpoint, now));
}

// Registers the endpoints and stores that have a cache, and the size of each.
void Gateway::RegisterCaches(Instant now) {
  if (manifest_ == nullptr) {
    return;
  }
  std::vector<CacheSource> sources;
  const auto& manifest = manifest_->manifest();
  for (const auto& it : manifest.services) {
    if (it.cache_store) {
      load_.SetMemory(EndpointId(it.service), it.store_tokens, true);
      sources.push_back(
          {EndpointId(it.service), it.store_address, it.store_zone});
    }
  }
  for (const auto* it : endpoints_.registry().Live()) {
    const auto* service = manifest.FindService(it->service);
    if (service != nullptr && service->model_engines &&
        !backoff_.Leaving(it->endpoint, it->incarnation)) {
      load_.SetMemory(it->endpoint, service->engine.cache_tokens, false);
      sources.push_back({it->endpoint, it->address, it->zone});
    }
  }
  feed_.SetSources(std::move(sources), now);
}

void Gateway::OnEndpointsChanged(Instant now) {
  RegisterCaches(now);
  for (const auto* it : endpoints_.registry().Live()) {
    auto& seen = weights_seen_[it->endpoint];
    if (seen != it->models) {
      seen = it->models;
      load_.ClearCache(it->endpoint);
    }
  }
  std::vector<RequestId> waiting;
  for (const auto& [id, it] : open_) {
    if (it.phase == Phase::kPlacing) {
      waiting.push_back(id);
    }
  }
  for (const auto& it : waiting) {
    Place(open_.at(it), now);
  }
}

void Gateway::Send(OpenCall& open, const PickCandidate& choice, Instant now) {
  const auto* record = endpoints_.registry().Find(choice.endpoint);
  const auto& call = *open.call;
  EndpointAttempt send;
  send.attempt =
      AttemptId(std::uint64_t{options_.attempt_prefix} << 32 | ++last_attempt_);
  send.call = open.call;
  send.endpoint = choice.endpoint;
  send.incarnation = record->incarnation;
  send.address = record->address;
  send.organisation = open.organisation;
  send.time_left = open.deadline - now;
  send.cache_scope = open.cache_scope;
  send.urgency = open.urgency;
  send.stream = open.route.kind == RouteKind::kStream;
  send.resume_after =
      open.last_event.empty() ? call.resume_after : open.last_event;
  if (!call.model.empty()) {
    send.weights = record->WeightsOf(call.model);
  }
  open.weights = send.weights.value_or(0);
  open.phase = Phase::kSent;
  open.sent = now;
  open.attempt = send.attempt;
  open.endpoint = choice.endpoint;
  open.incarnation = record->incarnation;
  open.first_event.reset();
  open.kept = false;
  open.tried.insert(choice.endpoint);
  send.fresh_connection = !open.tried_at.insert(ToString(send.address)).second;
  ++open.attempts;
  open.work = {};
  open.saved_to = EndpointId();
  open.fetched_from = EndpointId();
  if (open.prefix) {
    open.work = WorkOf(call.parts, open.cache_scope, send.weights.value_or(0),
                       call.output_tokens);
    open.work.fetched = choice.load.fetched;
    open.work.fetched_from = choice.load.fetch_source;
    send.fetch_from = choice.load.fetch_from;
    const auto* store = UsableStore(now);
    if (store != nullptr && send.fetch_from == store->store_address) {
      open.fetched_from = EndpointId(store->service);
      open.expected = choice.load.first_token;
    }
    if (store != nullptr &&
        load_.WorthSaving(EndpointId(store->service), open.work)) {
      open.saved_to = EndpointId(store->service);
      send.save_to = store->store_address;
    }
  }
  RecordAttemptEvent(open, CallNoticeKind::kSent, now);
  const auto timeout =
      std::max(kSilentTargets * open.route.target_latency, kMinSilence);
  open.phase_until = now + timeout;
  SetTimer(open);
  SetBeginTimer(open, now);
  Log(Event::kCallSent,
      {{"call", call.caller_id},
       {"organisation", open.organisation.value()},
       {"route", open.route.route.value()},
       {"manifest", open.manifest_number},
       {"quota", NameOf(open.quota)},
       {"cost", open.cost},
       {"endpoint", choice.endpoint.value()},
       {"attempt", fmt::format("{:x}", send.attempt.value())},
       {"sending", open.attempts},
       {"weights", send.weights.value_or(0)},
       {"superseded_ms", InMs(choice.superseded)},
       {"in_flight", choice.in_flight},
       {"wait_ms", InMs(choice.load.begin)},
       {"expected_ms", InMs(choice.load.first_token)},
       {"to_read", choice.load.to_prefill},
       {"to_fetch", choice.load.fetched}},
      "call {} is sent to endpoint {}, attempt {}", call.caller_id,
      choice.endpoint.value(), open.attempts);
  actions_.emplace_back(SendCall{std::move(send)});
}

void Gateway::Heard(const EndpointId& endpoint, Instant now) {
  auto& answered = answered_[endpoint];
  if (now - answered > kEngineSilence &&
      std::any_of(open_.begin(), open_.end(), [&](const auto& it) {
        return it.second.endpoint == endpoint && it.second.begun &&
               it.second.phase == Phase::kSent;
      })) {
    resumed_[endpoint] = now;
  }
  answered = now;
}

void Gateway::OnProgress(const AttemptProgress& progress, Instant now) {
  const auto it = open_.find(progress.request);
  if (it == open_.end() || it->second.attempt != progress.attempt) {
    return;
  }
  auto& open = it->second;
  Heard(open.endpoint, now);
  crash_causes_.AddAlive(open.endpoint, open.incarnation, open.sent);
  if (!open.begun) {
    RecordAttemptEvent(open, CallNoticeKind::kBegan, now);
    UpdateSourceHealth(open, now);
  }
  if (!open.first_event) {
    open.first_event = now;
  } else if (now - *open.first_event >= kSoundAfter) {
    RecordSound(open, now);
  }
  open.begun = true;
  open.can_resume = progress.can_resume;
  timers_.erase({open.begin_by, progress.request});
  timers_.erase({open.phase_until, progress.request});
  if (open.route.kind == RouteKind::kStream) {
    open.phase_until =
        now + std::max(kSilentPauses * open.route.target_event_gap,
                       kMinStreamSilence);
    SetTimer(open);
  }
}

bool Gateway::IsQueuedAtEndpoint(const OpenCall& open, Instant now) const {
  const auto answered = answered_.find(open.endpoint);
  return !open.begun && answered != answered_.end() &&
         answered->second > open.sent + open.route.target_latency &&
         now < open.sent + kQueueTargets * open.route.target_latency;
}

// Endpoints that have sent nothing since an answer of theirs became late.
const std::set<EndpointId>& Gateway::SilentEndpoints(Instant now) {
  if (now < silent_until_) {
    return silent_;
  }
  silent_until_ = now + kSilentInterval;
  silent_.clear();
  for (const auto& [id, it] : open_) {
    const bool waits = it.phase == Phase::kSent &&
                       (!it.begun || it.route.kind == RouteKind::kStream);
    if (!waits) {
      continue;
    }
    const auto answered = answered_.find(it.endpoint);
    const auto heard = answered == answered_.end()
                           ? it.sent
                           : std::max(it.sent, answered->second);
    const auto wait = it.begun ? kSilentPauses * it.route.target_event_gap
                               : it.route.target_latency;
    if (now > heard + wait) {
      silent_.insert(it.endpoint);
    }
  }
  return silent_;
}

// Whether an endpoint that isn't known to be ill or silent may take the call.
bool Gateway::OtherMayTakeOver(const OpenCall& open, Instant now) {
  const auto candidates = Candidates(open, now);
  return std::any_of(
      candidates.begin(), candidates.end(),
      [this](const auto& it) { return !it.avoid && picker_.MayBegin(it); });
}

// The endpoint has sent nothing of the call's answer for long. The call is sent
// to another endpoint if it may run twice and another one can take it.
void Gateway::OnSilence(OpenCall& open, Instant now) {
  if (IsQueuedAtEndpoint(open, now)) {
    open.phase_until = open.sent + kQueueTargets * open.route.target_latency;
    SetTimer(open);
    return;
  }
  if (!MaySendAgain(open)) {
    return;
  }
  if (!OtherMayTakeOver(open, now)) {
    if (!std::exchange(open.kept, true)) {
      Log(Event::kSendKept,
          {{"call", open.call->caller_id},
           {"endpoint", open.endpoint.value()},
           {"waited_ms", InMs(now - open.sent)}},
          "call {}: endpoint {} sent nothing for long, but no other can "
          "take the call now",
          open.call->caller_id, open.endpoint.value());
    }
    open.phase_until =
        now + std::max(open.route.target_latency / 2, kMinSilence);
    SetTimer(open);
    return;
  }
  if (retries_.TrySpend(open.service, now)) {
    open.phase = Phase::kCancelling;
    health_.Silent(open.endpoint, now);
    Log(Event::kSendGivenUp,
        {{"call", open.call->caller_id},
         {"endpoint", open.endpoint.value()},
         {"waited_ms", InMs(now - open.sent)}},
        "call {}: endpoint {} sent nothing for too long; the call is sent "
        "again",
        open.call->caller_id, open.endpoint.value());
    actions_.emplace_back(CancelSend{open.attempt});
  }
}

Instant Gateway::MustBeginBy(const OpenCall& open, Instant now) const {
  auto weights = open.weights;
  if (weights == 0) {
    return Instant::max();
  }
  // If the endpoint has loaded newer weights, it doesn't begin the call on
  // those that it had.
  const auto* record = endpoints_.registry().Find(open.endpoint);
  if (record != nullptr && record->incarnation == open.incarnation) {
    weights = std::max(weights, record->WeightsOf(open.call->model));
  }
  const auto superseded =
      weights_.SupersededFor(open.call->model, weights, now);
  return superseded == Duration::zero()
             ? Instant::max()
             : now - superseded + options_.begin_deadline;
}

void Gateway::SetBeginTimer(OpenCall& open, Instant now) {
  timers_.erase({open.begin_by, open.call->id});
  open.begin_by = Instant::max();
  // Only a stream shows that it has begun.
  const bool shows = open.route.kind == RouteKind::kStream;
  if (open.phase != Phase::kSent || open.first_event ||
      !(shows || MaySendAgain(open))) {
    return;
  }
  open.begin_by = MustBeginBy(open, now);
  if (open.begin_by != Instant::max()) {
    timers_.emplace(open.begin_by, open.call->id);
  }
}

void Gateway::Withdraw(OpenCall& open, Instant now) {
  const bool again = MaySendAgain(open) && retries_.TrySpend(open.service, now);
  Log(Event::kSendWithdrawn,
      {{"call", open.call->caller_id},
       {"endpoint", open.endpoint.value()},
       {"weights", open.weights},
       {"waited_ms", InMs(now - open.sent)},
       {"again", again}},
      "call {} hasn't begun at endpoint {}, whose weights {} are too old from "
      "now on, and is withdrawn from it",
      open.call->caller_id, open.endpoint.value(), open.weights);
  actions_.emplace_back(CancelSend{open.attempt});
  if (again) {
    open.phase = Phase::kCancelling;
    return;
  }
  RecordAttemptEvent(open, CallNoticeKind::kEnded, now);
  GiveUp(open, "the endpoint's weights became too old before the call began");
}

void Gateway::OnTimer(OpenCall& open, Instant now) {
  if (now >= open.deadline) {
    if (open.phase == Phase::kSent || open.phase == Phase::kCancelling) {
      RecordAttemptEvent(open, CallNoticeKind::kEnded, now);
      open.may_have_run = true;
      actions_.emplace_back(CancelSend{open.attempt});
    }
    Refuse(open, RefusalReason::kDeadline, "the call's time is over",
           AddJitter(kRetryNoEndpoint));
    return;
  }
  if (now >= open.begin_by && open.phase == Phase::kSent) {
    // The endpoint may have loaded newer weights in the meantime.
    SetBeginTimer(open, now);
    if (now >= open.begin_by) {
      Withdraw(open, now);
      return;
    }
  }
  if (now < open.phase_until) {
    return;
  }
  switch (open.phase) {
    case Phase::kQuota:
      quota_requests_.erase(open.quota_serial);
      TakeLocally(open, now);
      break;
    case Phase::kPlacing:
      Place(open, now);
      break;
    case Phase::kSent:
      OnSilence(open, now);
      break;
    case Phase::kCancelling:
      break;
  }
}

void Gateway::UpdateHealth(const OpenCall& open,
                           const AttemptResult& end,
                           Instant now) {
  const auto* record = endpoints_.registry().Find(open.endpoint);
  const auto zone = record == nullptr ? ZoneId() : record->zone;
  switch (end.outcome) {
    case SendOutcome::kAnswered:
      Heard(open.endpoint, now);
      health_.Succeeded(open.endpoint, zone, now);
      break;
    case SendOutcome::kNotSent:
      health_.Unreachable(open.endpoint, zone, now);
      break;
    case SendOutcome::kFailure:
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
    case SendOutcome::kWrongEndpoint:
      health_.Failed(open.endpoint, now);
      break;
    case SendOutcome::kNotRun:
    case SendOutcome::kCancelled:
      break;
  }
}

void Gateway::ObserveAnswer(const OpenCall& open,
                            const AttemptResult& end) const {
  CallObservation call;
  call.organisation = open.organisation;
  if (end.first_event) {
    call.first_event = *end.first_event - open.call->arrived;
    call.longest_pause = end.longest_pause;
  }
  Observe(call);
}

void Gateway::OnAttemptResult(const AttemptResult& end, Instant now) {
  const auto it = open_.find(end.request);
  if (it == open_.end() || it->second.attempt != end.attempt) {
    Log(Event::kSendClosed,
        {{"attempt", fmt::format("{:x}", end.attempt.value())},
         {"outcome", NameOf(end.outcome)},
         {"local_port", end.local_port}},
        "attempt {:x}, which nobody waits for, ended as {}",
        end.attempt.value(), NameOf(end.outcome));
    return;
  }
  auto& open = it->second;
  RecordAttemptEvent(open, CallNoticeKind::kEnded, now);
  timers_.erase({open.begin_by, end.request});
  timers_.erase({open.phase_until, end.request});
  UpdateHealth(open, end, now);
  open.begun |= end.begun;
  open.can_resume &= end.can_resume;
  open.may_have_run |= MayHaveRun(end.outcome);
  if (end.first_event) {
    open.first_event = end.first_event;
  }
  RecordEndpointSigns(open, end, now);
  if (!end.last_event.empty()) {
    open.last_event = end.last_event;
  }
  Log(end.outcome == SendOutcome::kAnswered ? Event::kSendEnded
                                            : Event::kSendFailed,
      {{"call", open.call->caller_id},
       {"endpoint", open.endpoint.value()},
       {"attempt", fmt::format("{:x}", end.attempt.value())},
       {"outcome", NameOf(end.outcome)},
       {"status", end.status},
       {"took_ms", InMs(now - open.sent)},
       {"first_event_ms",
        InMs(end.first_event.value_or(open.sent) - open.sent)},
       {"longest_pause_ms", InMs(end.longest_pause)},
       {"framing", NameOf(end.framing)},
       {"body_bytes", end.body_bytes},
       {"unfinished_bytes", end.unfinished_bytes},
       {"local_port", end.local_port},
       {"reused", end.reused},
       {"parts", SharedPartIds(*open.call)},
       {"detail", end.detail}},
      "call {}: the attempt at endpoint {} ended as {}", open.call->caller_id,
      open.endpoint.value(), NameOf(end.outcome));
  switch (end.outcome) {
    case SendOutcome::kAnswered:
      ObserveAnswer(open, end);
      Finish(end.request, CallDone{end.request});
      break;
    case SendOutcome::kNotSent:
      OnNotSent(open, now);
      break;
    case SendOutcome::kNotRun:
    case SendOutcome::kWrongEndpoint:
      OnNotRun(open, end, now);
      break;
    case SendOutcome::kFailure:
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
    case SendOutcome::kCancelled:
      OnBroken(open, end, now);
      break;
  }
}

bool Gateway::MaySendAgain(const OpenCall& open) const {
  return open.route.idempotent() && open.attempts < open.route.max_attempts &&
         (!open.begun ||
          (open.route.kind == RouteKind::kStream && open.can_resume));
}

void Gateway::SendAgain(OpenCall& open, Instant now) {
  Place(open, now);
}

void Gateway::RecordCrash(const OpenCall& open,
                          const AttemptResult& end,
                          Instant now) {
  CrashNotice notice;
  notice.fingerprint = open.fingerprint;
  notice.endpoint = open.endpoint;
  notice.incarnation = open.incarnation;
  notice.attempt = open.attempt.value();
  if (!end.first_event) {
    notice.answering = end.status != 0;
    notice.parts = crash_causes_.Describe(open.shared_parts, now);
  }
  RecordCrash(notice, now);
  notices_.Add(notice, now);
}

void Gateway::RecordCrash(const CrashNotice& notice, Instant now) {
  if (!notice.unreachable) {
    crashes_.Add(notice.fingerprint, notice.endpoint, now);
  }
  crash_causes_.Add(notice, now);
}

void Gateway::RecordEndpointSigns(const OpenCall& open,
                                  const AttemptResult& end,
                                  Instant now) {
  switch (end.outcome) {
    case SendOutcome::kAnswered:
      RecordSound(open, now);
      [[fallthrough]];
    case SendOutcome::kFailure:
    case SendOutcome::kNotRun:
      crash_causes_.AddAlive(open.endpoint, open.incarnation, open.sent);
      break;
    case SendOutcome::kBroken:
      RecordCrash(open, end, now);
      break;
    case SendOutcome::kNotSent:
      if (crash_causes_.AwaitsConfirmation(open.endpoint, open.incarnation)) {
        CrashNotice notice;
        notice.endpoint = open.endpoint;
        notice.incarnation = open.incarnation;
        notice.unreachable = true;
        RecordCrash(notice, now);
        notices_.Add(notice, now);
      }
      break;
    case SendOutcome::kSilent:
    case SendOutcome::kWrongEndpoint:
    case SendOutcome::kCancelled:
      break;
  }
}

void Gateway::RecordSound(const OpenCall& open, Instant now) {
  if (open.first_event) {
    crash_causes_.AddSound(open.shared_parts, *open.first_event, now);
  }
}

bool Gateway::RefuseIfQuarantined(OpenCall& open, Instant now) {
  const bool same_call = crashes_.Quarantined(open.fingerprint, now);
  const auto left = same_call
                        ? options_.crashes.remembered
                        : crash_causes_.QuarantinedFor(open.shared_parts, now);
  if (left <= Duration::zero()) {
    return false;
  }
  const auto* message =
      same_call ? "this call has crashed the endpoints that ran it"
                : "calls with a part of its prompt have crashed the endpoints "
                  "that ran them";
  if (open.may_have_run) {
    GiveUp(open, message);
  } else {
    Refuse(open, RefusalReason::kPoison, message, left);
  }
  return true;
}

void Gateway::OnBroken(OpenCall& open, const AttemptResult& end, Instant now) {
  const bool paid = open.phase == Phase::kCancelling;
  const bool failed_here =
      end.outcome == SendOutcome::kFailure && end.status < 500;
  if (!failed_here && MaySendAgain(open) &&
      !crashes_.Quarantined(open.fingerprint, now) &&
      !crash_causes_.Suspected(open.shared_parts) &&
      (paid || retries_.TrySpend(open.service, now))) {
    SendAgain(open, now);
    return;
  }
  if (end.outcome == SendOutcome::kFailure && !open.begun) {
    Finish(open.call->id, DeliverFailure{open.call->id});
    return;
  }
  GiveUp(open, "the endpoint's answer broke off");
}

// The endpoint states that it didn't run the call. If no further attempt is
// allowed, the caller is told to retry later.
void Gateway::OnNotRun(OpenCall& open, const AttemptResult& end, Instant now) {
  if (open.attempts < open.route.max_attempts &&
      retries_.TrySpend(open.service, now)) {
    SendAgain(open, now);
    return;
  }
  if (open.may_have_run) {
    GiveUp(open, "the endpoint refused the call");
    return;
  }
  Refuse(open, RefusalReason::kNoEndpoint,
         end.outcome == SendOutcome::kWrongEndpoint
             ? "the endpoint was replaced"
             : "the endpoint is full",
         RetryDelay(open, kRetryNotRun, now));
}

// No byte reached the endpoint, so another endpoint may run the call, whether
// or not the call is idempotent.
void Gateway::OnNotSent(OpenCall& open, Instant now) {
  --open.attempts;
  if (++open.failed_connects < kMaxFailedConnects) {
    Place(open, now);
    return;
  }
  if (open.may_have_run) {
    GiveUp(open, "no endpoint can be reached");
    return;
  }
  Refuse(open, RefusalReason::kNoEndpoint, "no endpoint can be reached",
         AddJitter(kRetryNoEndpoint));
}

void Gateway::GiveUp(OpenCall& open, std::string message) {
  open.may_have_run = true;
  Refuse(open, RefusalReason::kEndpointFailed, std::move(message), {});
}

}  // namespace baobabrun
