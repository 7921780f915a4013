// Handles a call up to its first attempt: route, key and quota. Also handles
// the state of the fleet and messages of other VMs.
#include "gateway/gateway.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace baobabrun {
namespace {

// After this time a caller may retry at a VM that has no manifest yet.
constexpr Duration kRetryWithoutManifest = milliseconds(400);
// How long a call waits for the leader's answer on a quota; a round trip
// normally takes a few milliseconds.
constexpr Duration kQuotaTimeout = milliseconds(80);
// A leader that hasn't sent a message for this long isn't asked.
constexpr Duration kLeaderTimeout = milliseconds(1'200);
// How often control VMs get a report of what this VM consumed of quotas.
constexpr Duration kReportInterval = milliseconds(400);
constexpr Duration kExpireInterval = seconds(10);

constexpr NameEntry<SendOutcome> kOutcomes[] = {
    {SendOutcome::kAnswered, "answered"},
    {SendOutcome::kFailure, "failure"},
    {SendOutcome::kNotSent, "not-sent"},
    {SendOutcome::kNotRun, "not-run"},
    {SendOutcome::kWrongEndpoint, "wrong-endpoint"},
    {SendOutcome::kBroken, "broken"},
    {SendOutcome::kSilent, "silent"},
    {SendOutcome::kCancelled, "cancelled"},
};

constexpr NameEntry<QuotaAuthority> kQuotaAuthorities[] = {
    {QuotaAuthority::kNotLimited, "not-limited"},
    {QuotaAuthority::kLeader, "leader"},
    {QuotaAuthority::kLocal, "alone"},
};

std::uint64_t FingerprintOf(const GatewayCall& call,
                            const OrganisationId& organisation) {
  const auto head =
      FastHash(call.method + " " + call.target, FastHash(organisation.value()));
  return call.body == nullptr ? head : FastHash(*call.body, head);
}

// Hashes the parts that other calls may share. The last part belongs to this
// call only.
std::optional<std::uint64_t> PrefixOf(const GatewayCall& call,
                                      const std::string& cache_scope) {
  if (call.parts.empty()) {
    return std::nullopt;
  }
  auto hash = FastHash(cache_scope);
  const auto shared = std::max<std::size_t>(call.parts.size() - 1, 1);
  for (std::size_t n = 0; n < shared; ++n) {
    hash = FastHash(call.parts[n].id, hash);
  }
  return hash;
}

CrashCausesOptions WithReports(CrashCausesOptions options,
                               const RegistryReplicator& endpoints) {
  options.last_report = [&endpoints](const EndpointId& endpoint) {
    return endpoints.registry().LastReportAt(endpoint);
  };
  return options;
}

NoticeRelayOptions WithPlace(NoticeRelayOptions options,
                             const GatewayOptions& gateway) {
  options.self = gateway.self;
  options.zone = gateway.zone;
  return options;
}

// What a message takes of the link beside its payload: the transport's
// envelope, and the headers of TCP and IP.
constexpr std::size_t kMessageOverheadBytes = 120;

}  // namespace

std::string_view NameOf(SendOutcome outcome) {
  return NameOf<SendOutcome>(kOutcomes, outcome);
}

std::string_view NameOf(QuotaAuthority authority) {
  return NameOf<QuotaAuthority>(kQuotaAuthorities, authority);
}

Gateway::Gateway(GatewayOptions options, const RegistryReplicator& endpoints)
    : options_(std::move(options)),
      endpoints_(endpoints),
      random_(options_.seed),
      retries_(options_.retries),
      local_quota_(options_.quota),
      health_(options_.health),
      backoff_(options_.backoff),
      crashes_(options_.crashes),
      crash_causes_(WithReports(options_.crash_causes, endpoints_),
                    options_.seed + 2),
      picker_(options_.picker, std::mt19937_64(options_.seed + 1)),
      load_(options_.load),
      feed_({options_.self, options_.zone}),
      notices_(WithPlace(options_.notices, options_)) {}

void Gateway::OnCall(const GatewayCallPtr& call, Instant now) {
  OpenCall open;
  open.call = call;
  open.deadline = Instant::max();
  Refusal refusal;
  if (!ResolveCall(open, &refusal)) {
    Log(Event::kCallRefused,
        {{"call", call->caller_id},
         {"reason", RefusalEntryOf(refusal.reason).code},
         {"not_run", true},
         {"manifest", manifest_ == nullptr ? std::uint64_t{0}
                                           : manifest_->manifest().number},
         {"retry_ms", InMs(refusal.retry_after)}},
        "call {} for {}{} was refused: {}", call->caller_id, call->host,
        call->path, refusal.message);
    Observe({OrganisationId(), refusal.reason, std::nullopt, {}});
    actions_.emplace_back(RefuseCall{call->id, std::move(refusal)});
    return;
  }
  const auto wait = call->caller_timeout
                        ? std::min(*call->caller_timeout, open.route.timeout)
                        : open.route.timeout;
  open.deadline = call->arrived + wait;
  retries_.CountRequest(open.service, now);
  auto& kept = open_.emplace(call->id, std::move(open)).first->second;
  timers_.emplace(kept.deadline, call->id);
  if (!RefuseIfQuarantined(kept, now)) {
    AskQuota(kept, now);
  }
}

// Finds the route, organisation and service of a call. Returns false and sets
// `refusal` if the call must be refused.
bool Gateway::ResolveCall(OpenCall& open, Refusal* refusal) {
  const auto refuse = [refusal](RefusalReason reason, std::string message,
                                Duration retry_after = {}) {
    *refusal = {reason, std::move(message), true, retry_after};
    return false;
  };
  const auto& call = *open.call;
  if (manifest_ == nullptr) {
    return refuse(RefusalReason::kNoQuorum, "this VM has no manifest yet",
                  AddJitter(kRetryWithoutManifest));
  }
  const auto& limits = manifest_->manifest().limits;
  if (call.header_bytes > limits.max_header_bytes) {
    return refuse(RefusalReason::kHeadersTooLarge, "the headers are too large");
  }
  if (call.body != nullptr && call.body->size() > limits.max_body_bytes) {
    return refuse(RefusalReason::kBodyTooLarge, "the body is too large");
  }
  const auto* route = manifest_->MatchRoute(call.host, call.path);
  if (route == nullptr) {
    return refuse(RefusalReason::kUnknownRoute,
                  "no route has this host and path");
  }
  open.route = *route;
  open.manifest_number = manifest_->manifest().number;
  open.urgency = route->priority;
  const ManifestOrganisation* organisation = nullptr;
  if (!route->open && !manifest_->manifest().organisations.empty()) {
    organisation = manifest_->FindKey(call.key);
    if (organisation == nullptr) {
      return refuse(call.key.empty() ? RefusalReason::kKeyMissing
                                     : RefusalReason::kKeyUnknown,
                    "the key is missing or not known");
    }
    open.organisation = organisation->organisation;
    open.rate_limited = organisation->rate != 0;
    open.cost = organisation->counts_tokens
                    ? call.tokens.value_or(organisation->default_request_cost)
                    : organisation->default_request_cost;
    if (organisation->has_priority) {
      open.urgency = organisation->priority;
    }
  }
  open.service = ChooseService(*route);
  open.fingerprint = FingerprintOf(call, open.organisation);
  if (route->uses_prompt_prefix) {
    open.shared_parts = SharedPartsOf(call);
  }
  UpdateCacheScope(open);
  return true;
}

// Each attempt goes by the manifest that is in force when it is sent: the one
// under which the call arrived may have shared a cache that is parted now.
void Gateway::UpdateCacheScope(OpenCall& open) const {
  open.cache_scope = manifest_->CacheScopeOf(open.organisation);
  if (open.route.uses_prompt_prefix) {
    open.prefix = PrefixOf(*open.call, open.cache_scope);
  }
}

std::string Gateway::ChooseService(const ManifestRoute& route) {
  std::int64_t all = 0;
  for (const auto& it : route.shares) {
    all += it.weight;
  }
  std::uniform_int_distribution<std::int64_t> pick(1, all);
  auto left = pick(random_);
  for (const auto& it : route.shares) {
    left -= it.weight;
    if (left <= 0) {
      return it.service;
    }
  }
  return route.shares.back().service;
}

void Gateway::AskQuota(OpenCall& open, Instant now) {
  if (!open.rate_limited) {
    Place(open, now);
    return;
  }
  if (leader_.empty() || now - leader_contact_ > kLeaderTimeout) {
    TakeLocally(open, now);
    return;
  }
  open.phase = Phase::kQuota;
  open.quota = QuotaAuthority::kLeader;
  open.phase_until = now + kQuotaTimeout;
  SetTimer(open);
  open.quota_serial = ++last_serial_;
  open.quota_asked = now;
  quota_requests_[open.quota_serial] = open.call->id;
  messages_.push_back({options_.self, leader_, PeerTopic::kLimits,
                       EncodeGatewayMessage(QuotaAsk{
                           open.quota_serial, open.organisation, open.cost})});
}

void Gateway::OnQuotaAnswer(const QuotaAnswer& answer, Instant now) {
  const auto asked = quota_requests_.extract(answer.serial);
  const auto it = asked.empty() ? open_.end() : open_.find(asked.mapped());
  if (it == open_.end() || it->second.phase != Phase::kQuota) {
    return;
  }
  if (answer.granted) {
    local_quota_.Granted(it->second.organisation, it->second.cost, answer.cap,
                         it->second.quota_asked, now);
    Place(it->second, now);
  } else if (answer.alone) {
    TakeLocally(it->second, now);
  } else {
    Refuse(it->second, RefusalReason::kRateExceeded,
           "the organisation's rate is used up", AddJitter(answer.retry_after));
  }
}

// No leader can be asked, so this VM decides by its own recent consumption.
void Gateway::TakeLocally(OpenCall& open, Instant now) {
  open.quota = QuotaAuthority::kLocal;
  if (local_quota_.TakeLocally(open.organisation, open.cost, now)) {
    Place(open, now);
  } else {
    Refuse(open, RefusalReason::kRateExceeded,
           "the organisation's rate is used up as far as this VM can tell "
           "without the control leader",
           AddJitter(local_quota_.Wait(open.organisation, open.cost, now)));
  }
}

// Randomises a retry delay, so that callers don't all retry at the same time.
Duration Gateway::AddJitter(Duration middle) {
  std::uniform_real_distribution<double> factor(0.75, 1.25);
  return std::chrono::duration_cast<Duration>(middle * factor(random_));
}

void Gateway::Observe(const CallObservation& call) const {
  if (options_.observe) {
    options_.observe(call);
  }
}

void Gateway::Refuse(OpenCall& open,
                     RefusalReason reason,
                     std::string message,
                     Duration retry_after) {
  const auto id = open.call->id;
  const bool not_run = !open.may_have_run;
  Log(Event::kCallRefused,
      {{"call", open.call->caller_id},
       {"organisation", open.organisation.value()},
       {"reason", RefusalEntryOf(reason).code},
       {"not_run", not_run},
       {"cut", open.begun},
       {"cost", open.cost},
       {"quota", NameOf(open.quota)},
       {"manifest", open.manifest_number},
       {"retry_ms", InMs(retry_after)}},
      "call {} wasn't completed: {}", open.call->caller_id, message);
  Observe({open.organisation, reason, std::nullopt, {}});
  if (open.begun) {
    Finish(id, AbortAnswer{id});
    return;
  }
  Finish(id,
         RefuseCall{id, {reason, std::move(message), not_run, retry_after}});
}

void Gateway::Finish(RequestId request, GatewayAction action) {
  const auto it = open_.find(request);
  DropTimers(it->second);
  quota_requests_.erase(it->second.quota_serial);
  open_.erase(it);
  actions_.push_back(std::move(action));
}

void Gateway::SetTimer(const OpenCall& open) {
  timers_.emplace(open.phase_until, open.call->id);
}

void Gateway::DropTimers(const OpenCall& open) {
  timers_.erase({open.deadline, open.call->id});
  timers_.erase({open.phase_until, open.call->id});
  timers_.erase({open.begin_by, open.call->id});
}

void Gateway::OnCallerGone(RequestId request, Instant now) {
  const auto it = open_.find(request);
  if (it == open_.end()) {
    return;
  }
  const auto attempt = it->second.attempt;
  Log(Event::kCallerGone,
      {{"call", it->second.call->caller_id},
       {"endpoint", it->second.endpoint.value()},
       {"attempt", fmt::format("{:x}", attempt.value())},
       {"waited_ms", InMs(now - it->second.call->arrived)}},
      "the caller of call {} disconnected", it->second.call->caller_id);
  const bool sent = it->second.phase == Phase::kSent ||
                    it->second.phase == Phase::kCancelling;
  if (sent) {
    RecordAttemptEvent(it->second, CallNoticeKind::kEnded, now);
    Finish(request, CancelSend{attempt});
  } else {
    Finish(request, CallDone{request});
  }
}

void Gateway::OnState(FleetStatePtr state,
                      ManifestViewPtr manifest,
                      Instant now) {
  if (state_ != nullptr && state->version <= state_->version) {
    return;
  }
  const bool first = state_ == nullptr;
  state_ = std::move(state);
  if (manifest != nullptr &&
      (manifest_ == nullptr ||
       manifest->manifest().number > manifest_->manifest().number)) {
    manifest_ = std::move(manifest);
    local_quota_.SetManifest(manifest_);
    Log(Event::kManifestInForce, "manifest {} with {} routes is in force",
        manifest_->manifest().number, manifest_->manifest().routes.size());
    for (const auto& it : manifest_->manifest().organisations) {
      Log(Event::kQuotaInForce, "organisation {} has rate {}, burst {}{}",
          it.organisation.value(), it.rate, it.burst,
          it.isolated ? ", isolated" : "");
    }
  }
  for (const auto& it : state_->named_weights) {
    if (!weights_.Knows(it)) {
      // Those in the first state may have been named long before this VM
      // started.
      RecordNamed({it.model, it.weights,
                   first ? now - options_.picker.weights_deadline / 2 : now},
                  now);
    }
  }
  OnEndpointsChanged(now);
}

void Gateway::OnWeightsNamed(const std::vector<NamedWeightsAt>& named,
                             Instant now) {
  for (const auto& it : named) {
    RecordNamed(it, now);
  }
}

void Gateway::RecordNamed(const NamedWeightsAt& named, Instant now) {
  if (!weights_.Add(named, now)) {
    return;
  }
  Log(Event::kWeightsNamed,
      {{"model", named.model.value()},
       {"weights", named.weights},
       {"age_ms", InMs(now - named.named)}},
      "weights {} of {} were named {} ms ago", named.weights,
      named.model.value(), InMs(now - named.named));
  for (auto& [id, it] : open_) {
    if (it.call->model == named.model) {
      SetBeginTimer(it, now);
    }
  }
}

void Gateway::SetPeers(std::size_t entries,
                       const std::vector<EntryPeer>& others,
                       std::vector<VmId> control,
                       Instant now) {
  control_ = std::move(control);
  retries_.SetSharers(entries);
  local_quota_.SetSharers(entries);
  notices_.SetEntries(others);
  feed_.SetEntries(others, now);
}

void Gateway::OnCacheUpdate(const EndpointId& endpoint,
                            const CacheUpdate* update,
                            Instant now) {
  CacheNotice notice;
  notice.endpoint = endpoint;
  notice.emptied = feed_.OnUpdate(endpoint, update, now);
  if (notice.emptied) {
    load_.ClearCache(endpoint);
  }
  if (update == nullptr) {
    return;
  }
  for (const auto& it : update->changes) {
    const CachedPart part{PartKey(it.scope, it.weights, it.part), it.tokens};
    if (load_.ApplyCacheReport(endpoint, part.part, part.tokens, now)) {
      notice.parts.push_back(part);
    }
  }
  if (notice.emptied || !notice.parts.empty()) {
    notices_.Add(std::move(notice));
  }
}

void Gateway::Receive(const VmId& from,
                      const GatewayMessage& message,
                      Instant now) {
  if (const auto* answer = std::get_if<QuotaAnswer>(&message)) {
    OnQuotaAnswer(*answer, now);
  } else if (const auto* offer = std::get_if<QuotaOffer>(&message)) {
    if (offer->term >= leader_term_) {
      const bool changed = leader_ != from;
      leader_term_ = offer->term;
      leader_ = from;
      leader_contact_ = now;
      if (changed) {
        next_report_ = now;
      }
    }
  } else if (const auto* notice = std::get_if<CrashNotice>(&message)) {
    RecordCrash(*notice, now);
  } else if (const auto* notices = std::get_if<CallNotices>(&message)) {
    Receive(from, *notices, now);
    if (notices->relay) {
      notices_.Relay(from, *notices, now);
    }
  } else if (const auto* relayed = std::get_if<RelayedNotices>(&message)) {
    for (const auto& it : relayed->from) {
      if (it.origin != options_.self) {
        Receive(it.origin, it.notices, now);
      }
    }
  } else if (std::holds_alternative<NoticeAck>(message)) {
    notices_.OnAck(from);
  } else if (const auto* cache = std::get_if<CacheNotice>(&message)) {
    Receive(*cache, now);
  }
}

void Gateway::Receive(const CacheNotice& notice, Instant now) {
  if (notice.emptied) {
    load_.ClearCache(notice.endpoint);
  }
  for (const auto& it : notice.parts) {
    load_.ApplyCacheReport(notice.endpoint, it.part, it.tokens, now);
  }
}

void Gateway::Advance(Instant now) {
  const bool leader_reachable =
      !leader_.empty() && now - leader_contact_ <= kLeaderTimeout;
  if (leader_reachable && now >= next_report_) {
    next_report_ = now + kReportInterval;
    const auto report = EncodeGatewayMessage(local_quota_.Report(now));
    for (const auto& it : control_) {
      messages_.push_back({options_.self, it, PeerTopic::kLimits, report});
    }
  }
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const auto id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    const auto it = open_.find(id);
    if (it != open_.end()) {
      OnTimer(it->second, now);
    }
  }
  crash_causes_.Advance(now);
  for (const auto& it : crash_causes_.TakeNotices(now)) {
    notices_.Add(it);
  }
  for (auto& it : feed_.TakeDue(now)) {
    const auto held_until = backoff_.HeldUntil(it.source.endpoint);
    if (now < held_until) {
      feed_.Postpone(it.source.endpoint, held_until);
      continue;
    }
    actions_.emplace_back(QueryCache{std::move(it)});
  }
  if (now >= next_expire_) {
    next_expire_ = now + kExpireInterval;
    crashes_.Expire(now);
    crash_causes_.Expire(now);
    const auto known = [this](const auto& it) {
      return endpoints_.registry().Find(it) != nullptr;
    };
    backoff_.Expire(known, now);
    const auto is_old = [now](const auto& it) {
      return now - it.second > kExpireInterval;
    };
    std::erase_if(answered_, is_old);
    std::erase_if(resumed_, is_old);
    load_.Expire(now);
  }
}

std::optional<Instant> Gateway::NextEvent() const {
  auto next = feed_.NextDue();
  if (!timers_.empty() && (!next || timers_.begin()->first < *next)) {
    next = timers_.begin()->first;
  }
  for (const auto& due : {notices_.NextDue(), crash_causes_.NextDue()}) {
    if (due && (!next || *due < *next)) {
      next = due;
    }
  }
  return next;
}

std::vector<GatewayAction> Gateway::TakeActions() {
  return std::exchange(actions_, {});
}

std::vector<PeerMessage> Gateway::TakeMessages(Instant now) {
  const auto newest =
      std::uint64_t{options_.attempt_prefix} << 32 | last_attempt_;
  for (const auto& out : notices_.TakeDue(newest, now)) {
    const auto payload = EncodeGatewayMessage(out.message);
    notices_.OnSent(out.to.size() * (payload.size() + kMessageOverheadBytes),
                    now);
    for (const auto& it : out.to) {
      messages_.push_back(
          {options_.self, it, PeerTopic::kPlacement, payload, out.priority});
    }
  }
  return std::exchange(messages_, {});
}

}  // namespace baobabrun
