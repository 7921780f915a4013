// Decides on one organisation's requests.
#include "limits/organisation.h"

#include <algorithm>

namespace baobabrun {
namespace {

using Wide = __int128;

// The retry time that is reported when it isn't known when a slot gets free, or
// when VMs that hold the rest of the rate can't be reached.
constexpr Duration kDefaultRetryAfter = seconds(1);
constexpr Duration kMinRetryAfter = milliseconds(1);

// Returns the part of `total` that belongs to the VM at `fleet_position`. The
// parts of all VMs add up to `total`.
std::int64_t PartOf(std::int64_t total, FleetPosition fleet_position) {
  const auto below = [total, &fleet_position](std::int64_t index) {
    return static_cast<std::int64_t>(Wide{total} * index /
                                     fleet_position.count);
  };
  return below(fleet_position.index + 1) - below(fleet_position.index);
}

Portion TotalOf(const Contract& contract, LimitKind kind) {
  switch (kind) {
    case LimitKind::kTokens:
      return {ToMicro(contract.tokens_per_second),
              ToMicro(contract.burst_tokens), 0};
    case LimitKind::kRequests:
      return {ToMicro(contract.requests_per_second),
              ToMicro(std::max<std::int64_t>(contract.burst_requests, 1)), 0};
    case LimitKind::kSlots:
      return {0, ToMicro(contract.max_concurrent), 0};
  }
  return {};
}

Portion BaseOf(Portion total, LimitKind kind, FleetPosition fleet_position) {
  if (kind == LimitKind::kSlots) {
    return {0, PartOf(total.burst / kMicro, fleet_position) * kMicro, 0};
  }
  return {PartOf(total.rate, fleet_position),
          PartOf(total.burst, fleet_position), 0};
}

std::size_t Index(LimitKind kind) {
  return static_cast<std::size_t>(kind);
}

}  // namespace

Organisation::Organisation(OrganisationId id,
                           FleetPosition fleet_position,
                           LendingContext* context)
    : id_(std::move(id)), fleet_position_(fleet_position), context_(context) {}

void Organisation::SetContract(const Contract& contract,
                               std::int64_t drift_ppm,
                               std::optional<Instant> quarantine,
                               Instant now) {
  removed_ = false;
  SetAccount(LimitKind::kTokens, TotalOf(contract, LimitKind::kTokens),
             drift_ppm, quarantine, now);
  SetAccount(LimitKind::kSlots, TotalOf(contract, LimitKind::kSlots), drift_ppm,
             std::nullopt, now);
  service_calls_limited_ = contract.requests_per_second > 0;
  if (service_calls_limited_) {
    SetAccount(LimitKind::kRequests, TotalOf(contract, LimitKind::kRequests),
               drift_ppm, quarantine, now);
  } else if (auto* account = Find(LimitKind::kRequests)) {
    // The account is kept, since loans may be outstanding.
    account->SetTotal({}, {}, now);
  }
}

void Organisation::SetAccount(LimitKind kind,
                              Portion total,
                              std::int64_t drift_ppm,
                              std::optional<Instant> quarantine,
                              Instant now) {
  auto& account = accounts_[Index(kind)];
  const Portion base = BaseOf(total, kind, fleet_position_);
  if (account) {
    account->SetTotal(base, total, now);
    return;
  }
  const bool refills = kind != LimitKind::kSlots;
  Share share(base, refills, drift_ppm, now);
  if (quarantine && now < *quarantine) {
    share.Lend(kQuarantineLease, VmId(), base, *quarantine);
  }
  account = std::make_unique<Account>(LimitSubject{id_, kind}, std::move(share),
                                      total, context_);
}

void Organisation::RemoveContract(Instant now,
                                  std::vector<Decision>* decisions) {
  removed_ = true;
  for (auto* queue : {&model_calls_, &service_calls_}) {
    for (const auto& it : *queue) {
      decisions->push_back(
          {it.request, Admission::kRefused, RefusalReason::kForbidden, {}});
    }
    queue->clear();
  }
  UpdateWaiting();
  for (auto& it : accounts_) {
    if (it) {
      it->SetTotal({}, {}, now);
    }
  }
}

void Organisation::Admit(const Charge& charge,
                         Instant until,
                         Instant now,
                         std::vector<Decision>* decisions) {
  if (removed_) {
    decisions->push_back(
        {charge.request, Admission::kRefused, RefusalReason::kForbidden, {}});
    return;
  }
  const auto kind =
      charge.service_call ? LimitKind::kRequests : LimitKind::kTokens;
  WaitingRequest waiting_request;
  waiting_request.request = charge.request;
  waiting_request.tokens = charge.service_call ? 0 : charge.tokens;
  waiting_request.prompt_bytes = charge.prompt_bytes;
  waiting_request.until = until;
  for (auto& it : accounts_) {
    if (it) {
      it->share().Advance(now);
    }
  }
  auto* account = ChargedAccount(kind);
  if (account != nullptr) {
    waiting_request.amount =
        charge.service_call ? kMicro : ToMicro(charge.tokens);
    account->AddDemand(
        std::min(waiting_request.amount, account->total().burst));
    if (waiting_request.amount > account->total().burst) {
      decisions->push_back({charge.request,
                            Admission::kRefused,
                            RefusalReason::kRateExceeded,
                            {}});
      return;
    }
  }
  if (QueueOf(kind).empty() && TryAdmit(waiting_request, kind)) {
    decisions->push_back({charge.request, Admission::kAdmitted, {}, {}});
    return;
  }
  QueueOf(kind).push_back(waiting_request);
  Process(now, decisions);
}

void Organisation::Abandon(RequestId request, Instant now) {
  for (auto* queue : {&model_calls_, &service_calls_}) {
    std::erase_if(*queue, [request](const WaitingRequest& it) {
      return it.request == request;
    });
  }
  UpdateWaiting();
  const auto it = running_.find(request);
  if (it != running_.end()) {
    Finish(request, 0, it->second.spent, now);
  }
}

void Organisation::Spend(RequestId request,
                         std::int64_t tokens_so_far,
                         Instant now) {
  const auto it = running_.find(request);
  if (it == running_.end()) {
    return;
  }
  it->second.spent = std::max(it->second.spent, tokens_so_far);
  auto* account = Find(it->second.kind);
  if (account != nullptr && it->second.kind == LimitKind::kTokens) {
    account->share().Advance(now);
    account->bucket().LimitRefund(
        request, ToMicro(it->second.tokens - it->second.spent));
  }
}

std::int64_t Organisation::Finish(RequestId request,
                                  std::int64_t prompt_tokens,
                                  std::int64_t completion_tokens,
                                  Instant now) {
  const auto found = running_.find(request);
  if (found == running_.end()) {
    return 0;
  }
  const Running it = found->second;
  running_.erase(found);
  if (auto* slots = Find(LimitKind::kSlots)) {
    slots->share().Advance(now);
    slots->bucket().Settle(request, kMicro);
  }
  auto* account = Find(it.kind);
  if (account == nullptr) {
    return 0;
  }
  account->share().Advance(now);
  if (it.kind == LimitKind::kRequests) {
    account->bucket().Settle(request, 0);
    return 0;
  }
  const auto used = prompt_tokens + completion_tokens;
  const Micro refund =
      account->bucket().Settle(request, ToMicro(it.tokens - used));
  account->AddDemand(-refund);
  account->bucket().AddDebt(ToMicro(used - it.tokens));
  return it.prompt_bytes;
}

void Organisation::Process(Instant now, std::vector<Decision>* decisions) {
  for (auto& it : accounts_) {
    if (it) {
      it->Advance(now);
    }
  }
  if (model_calls_.empty() && service_calls_.empty()) {
    return;
  }
  AdmitWaiting(LimitKind::kTokens, now, decisions);
  AdmitWaiting(LimitKind::kRequests, now, decisions);
  UpdateWaiting();
  for (auto& it : accounts_) {
    if (it) {
      it->AskIfMissing(now);
    }
  }
  RefuseUnservable(LimitKind::kTokens, now, decisions);
  RefuseUnservable(LimitKind::kRequests, now, decisions);
  UpdateWaiting();
}

void Organisation::Tick(Instant now, std::vector<Decision>* decisions) {
  for (auto& it : accounts_) {
    if (it) {
      it->Advance(now);
      it->Tick(now);
    }
  }
  Process(now, decisions);
}

void Organisation::OnHello(const VmId& peer, Instant now) {
  for (auto& it : accounts_) {
    if (it) {
      it->OnHello(peer, now);
    }
  }
}

void Organisation::EndQuarantine(Instant now) {
  for (auto& it : accounts_) {
    if (it) {
      it->EndQuarantine(now);
    }
  }
}

std::optional<Instant> Organisation::NextEvent() const {
  std::optional<Instant> next;
  const auto consider = [&next](std::optional<Instant> at) {
    if (at) {
      next = next ? std::min(*next, *at) : *at;
    }
  };
  for (const auto& it : accounts_) {
    if (it) {
      consider(it->NextEvent());
    }
  }
  for (const auto* queue : {&model_calls_, &service_calls_}) {
    const auto kind =
        queue == &model_calls_ ? LimitKind::kTokens : LimitKind::kRequests;
    for (const auto& it : *queue) {
      consider(it.until);
    }
    const auto* account = ChargedAccount(kind);
    if (queue->empty() || account == nullptr) {
      continue;
    }
    const auto& bucket = account->share().bucket();
    const auto wait = bucket.TimeUntil(queue->front().amount, 0, 0);
    if (wait > Duration::zero() && wait < Duration(seconds(3600))) {
      consider(bucket.refilled_until() + wait);
    }
  }
  return next;
}

bool Organisation::busy() const {
  const bool asks_pending =
      std::any_of(accounts_.begin(), accounts_.end(),
                  [](const auto& it) { return it && it->HasPendingAsks(); });
  return asks_pending || !model_calls_.empty() || !service_calls_.empty();
}

Account* Organisation::Find(LimitKind kind) {
  return accounts_[Index(kind)].get();
}

const Account* Organisation::Find(LimitKind kind) const {
  return accounts_[Index(kind)].get();
}

Account* Organisation::ChargedAccount(LimitKind kind) {
  const bool limited = kind != LimitKind::kRequests || service_calls_limited_;
  return limited ? Find(kind) : nullptr;
}

const Account* Organisation::ChargedAccount(LimitKind kind) const {
  const bool limited = kind != LimitKind::kRequests || service_calls_limited_;
  return limited ? Find(kind) : nullptr;
}

bool Organisation::TryAdmit(const WaitingRequest& waiting_request,
                            LimitKind kind) {
  auto* account = ChargedAccount(kind);
  auto* slots = Find(LimitKind::kSlots);
  if (account != nullptr &&
      account->bucket().level() < waiting_request.amount) {
    return false;
  }
  if (!slots->bucket().Take(waiting_request.request, kMicro)) {
    return false;
  }
  if (account != nullptr) {
    account->bucket().Take(waiting_request.request, waiting_request.amount);
  }
  running_[waiting_request.request] = {kind, waiting_request.tokens,
                                       waiting_request.prompt_bytes, 0};
  return true;
}

void Organisation::AdmitWaiting(LimitKind kind,
                                Instant now,
                                std::vector<Decision>* decisions) {
  auto& queue = QueueOf(kind);
  while (!queue.empty() && queue.front().until > now &&
         TryAdmit(queue.front(), kind)) {
    decisions->push_back({queue.front().request, Admission::kAdmitted, {}, {}});
    queue.pop_front();
  }
}

void Organisation::UpdateWaiting() {
  const auto sum = [](const Queue& queue) {
    Micro total = 0;
    for (const auto& it : queue) {
      total = std::min(total + it.amount, kMaxMicro);
    }
    return total;
  };
  const auto set = [this](LimitKind kind, Micro amount, Micro first) {
    if (auto* account = Find(kind)) {
      account->SetWaiting(amount, first);
    }
  };
  const auto first = [](const Queue& queue) {
    return queue.empty() ? Micro{0} : queue.front().amount;
  };
  set(LimitKind::kTokens, sum(model_calls_), first(model_calls_));
  set(LimitKind::kRequests, sum(service_calls_), first(service_calls_));
  set(LimitKind::kSlots,
      static_cast<Micro>(model_calls_.size() + service_calls_.size()) * kMicro,
      kMicro);
}

void Organisation::RefuseUnservable(LimitKind kind,
                                    Instant now,
                                    std::vector<Decision>* decisions) {
  auto& queue = QueueOf(kind);
  Queue kept;
  Micro ahead = 0;
  for (const auto& it : queue) {
    const auto wait_estimate = EstimateWait(it, kind, ahead, kept.size());
    const bool late = it.until <= now || (!wait_estimate.may_improve &&
                                          wait_estimate.wait > it.until - now);
    if (late) {
      decisions->push_back({it.request, Admission::kRefused,
                            wait_estimate.reason,
                            RetryAfter(wait_estimate, it, kind)});
      continue;
    }
    ahead = std::min(ahead + it.amount, kMaxMicro);
    kept.push_back(it);
  }
  queue = std::move(kept);
}

Organisation::WaitEstimate Organisation::EstimateWait(
    const WaitingRequest& waiting_request,
    LimitKind kind,
    Micro ahead,
    std::size_t queue_index) const {
  WaitEstimate wait_estimate;
  if (const auto* account = ChargedAccount(kind)) {
    wait_estimate.wait = account->WaitFor(waiting_request.amount, ahead);
    wait_estimate.may_improve = account->MayStillObtain();
  }
  const auto* slots = Find(LimitKind::kSlots);
  const auto free = slots->share().bucket().level() / kMicro;
  if (wait_estimate.wait == Duration::zero() &&
      free <= static_cast<Micro>(queue_index)) {
    wait_estimate.reason = RefusalReason::kTooManyConcurrent;
    wait_estimate.wait = Duration::max();
    wait_estimate.may_improve = slots->MayStillObtain();
  }
  return wait_estimate;
}

Duration Organisation::RetryAfter(const WaitEstimate& wait_estimate,
                                  const WaitingRequest& waiting_request,
                                  LimitKind kind) const {
  if (wait_estimate.wait != Duration::max()) {
    return std::max(wait_estimate.wait, kMinRetryAfter);
  }
  const auto* account = ChargedAccount(kind);
  if (wait_estimate.reason == RefusalReason::kTooManyConcurrent ||
      account == nullptr) {
    return kDefaultRetryAfter;
  }
  const auto at_full_rate = account->share().bucket().TimeUntil(
      waiting_request.amount, 0, account->total().rate);
  return std::max(at_full_rate, kDefaultRetryAfter);
}

}  // namespace baobabrun
