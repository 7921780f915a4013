// Decisions about one organisation's requests.
#include "limits/organisation.h"

#include <algorithm>

namespace baobabrun {
namespace {

using Wide = __int128;

// Advice when nothing is known about when a slot gets free, or when VMs that
// hold the rest of the rate can't be reached.
constexpr Duration kRetryUnknown = seconds(1);
constexpr Duration kShortestRetry = milliseconds(1);

// The part of `total` that the VM at `place` has. All parts add up to `total`.
std::int64_t PartOf(std::int64_t total, FleetPlace place) {
  const auto below = [total, &place](std::int64_t index) {
    return static_cast<std::int64_t>(Wide{total} * index / place.count);
  };
  return below(place.index + 1) - below(place.index);
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

Portion BaseOf(Portion total, LimitKind kind, FleetPlace place) {
  if (kind == LimitKind::kSlots) {
    return {0, PartOf(total.burst / kMicro, place) * kMicro, 0};
  }
  return {PartOf(total.rate, place), PartOf(total.burst, place), 0};
}

std::size_t Index(LimitKind kind) {
  return static_cast<std::size_t>(kind);
}

}  // namespace

Organisation::Organisation(OrganisationId id,
                           FleetPlace place,
                           LendingContext* context)
    : id_(std::move(id)), place_(place), context_(context) {}

void Organisation::SetContract(const Contract& contract,
                               std::int64_t drift_ppm,
                               std::optional<Instant> quarantine,
                               Instant now) {
  removed_ = false;
  SetAccount(LimitKind::kTokens, TotalOf(contract, LimitKind::kTokens),
             drift_ppm, quarantine, now);
  SetAccount(LimitKind::kSlots, TotalOf(contract, LimitKind::kSlots), drift_ppm,
             std::nullopt, now);
  services_limited_ = contract.requests_per_second > 0;
  if (services_limited_) {
    SetAccount(LimitKind::kRequests, TotalOf(contract, LimitKind::kRequests),
               drift_ppm, quarantine, now);
  } else if (auto* account = Find(LimitKind::kRequests)) {
    account->SetTotal({}, {}, now);  // stays, since loans may be outstanding
  }
}

void Organisation::SetAccount(LimitKind kind,
                              Portion total,
                              std::int64_t drift_ppm,
                              std::optional<Instant> quarantine,
                              Instant now) {
  auto& account = accounts_[Index(kind)];
  const Portion base = BaseOf(total, kind, place_);
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
  for (auto* queue : {&calls_, &services_}) {
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
  Waiter waiter;
  waiter.request = charge.request;
  waiter.tokens = charge.service_call ? 0 : charge.tokens;
  waiter.prompt_bytes = charge.prompt_bytes;
  waiter.until = until;
  for (auto& it : accounts_) {
    if (it) {
      it->share().Advance(now);
    }
  }
  auto* account = Charged(kind);
  if (account != nullptr) {
    waiter.amount = charge.service_call ? kMicro : ToMicro(charge.tokens);
    account->NoteDemand(std::min(waiter.amount, account->total().burst));
    if (waiter.amount > account->total().burst) {
      decisions->push_back({charge.request,
                            Admission::kRefused,
                            RefusalReason::kRateExceeded,
                            {}});
      return;
    }
  }
  if (QueueOf(kind).empty() && TryRun(waiter, kind)) {
    decisions->push_back({charge.request, Admission::kAdmitted, {}, {}});
    return;
  }
  QueueOf(kind).push_back(waiter);
  Process(now, decisions);
}

void Organisation::Abandon(RequestId request, Instant now) {
  for (auto* queue : {&calls_, &services_}) {
    std::erase_if(
        *queue, [request](const Waiter& it) { return it.request == request; });
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
  account->NoteDemand(-refund);
  account->bucket().Owe(ToMicro(used - it.tokens));
  return it.prompt_bytes;
}

void Organisation::Process(Instant now, std::vector<Decision>* decisions) {
  for (auto& it : accounts_) {
    if (it) {
      it->Advance(now);
    }
  }
  if (calls_.empty() && services_.empty()) {
    return;
  }
  Serve(LimitKind::kTokens, now, decisions);
  Serve(LimitKind::kRequests, now, decisions);
  UpdateWaiting();
  for (auto& it : accounts_) {
    if (it) {
      it->Seek(now);
    }
  }
  RefuseHopeless(LimitKind::kTokens, now, decisions);
  RefuseHopeless(LimitKind::kRequests, now, decisions);
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
  for (const auto* queue : {&calls_, &services_}) {
    const auto kind =
        queue == &calls_ ? LimitKind::kTokens : LimitKind::kRequests;
    for (const auto& it : *queue) {
      consider(it.until);
    }
    const auto* account = Charged(kind);
    if (queue->empty() || account == nullptr) {
      continue;
    }
    const auto& bucket = account->share().bucket();
    const auto wait = bucket.TimeUntil(queue->front().amount, 0, 0);
    if (wait > Duration::zero() && wait < Duration(seconds(3600))) {
      consider(bucket.advanced() + wait);
    }
  }
  return next;
}

bool Organisation::busy() const {
  const bool seeking =
      std::any_of(accounts_.begin(), accounts_.end(),
                  [](const auto& it) { return it && it->seeking(); });
  return seeking || !calls_.empty() || !services_.empty();
}

Account* Organisation::Find(LimitKind kind) {
  return accounts_[Index(kind)].get();
}

const Account* Organisation::Find(LimitKind kind) const {
  return accounts_[Index(kind)].get();
}

Account* Organisation::Charged(LimitKind kind) {
  const bool limited = kind != LimitKind::kRequests || services_limited_;
  return limited ? Find(kind) : nullptr;
}

const Account* Organisation::Charged(LimitKind kind) const {
  const bool limited = kind != LimitKind::kRequests || services_limited_;
  return limited ? Find(kind) : nullptr;
}

bool Organisation::TryRun(const Waiter& waiter, LimitKind kind) {
  auto* account = Charged(kind);
  auto* slots = Find(LimitKind::kSlots);
  if (account != nullptr && account->bucket().level() < waiter.amount) {
    return false;
  }
  if (!slots->bucket().Take(waiter.request, kMicro)) {
    return false;
  }
  if (account != nullptr) {
    account->bucket().Take(waiter.request, waiter.amount);
  }
  running_[waiter.request] = {kind, waiter.tokens, waiter.prompt_bytes, 0};
  return true;
}

void Organisation::Serve(LimitKind kind,
                         Instant now,
                         std::vector<Decision>* decisions) {
  auto& queue = QueueOf(kind);
  while (!queue.empty() && queue.front().until > now &&
         TryRun(queue.front(), kind)) {
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
  set(LimitKind::kTokens, sum(calls_), first(calls_));
  set(LimitKind::kRequests, sum(services_), first(services_));
  set(LimitKind::kSlots,
      static_cast<Micro>(calls_.size() + services_.size()) * kMicro, kMicro);
}

void Organisation::RefuseHopeless(LimitKind kind,
                                  Instant now,
                                  std::vector<Decision>* decisions) {
  auto& queue = QueueOf(kind);
  Queue kept;
  Micro ahead = 0;
  for (const auto& it : queue) {
    const auto prospect = Judge(it, kind, ahead, kept.size());
    const bool late =
        it.until <= now || (!prospect.open && prospect.wait > it.until - now);
    if (late) {
      decisions->push_back({it.request, Admission::kRefused, prospect.reason,
                            RetryAfter(prospect, it, kind)});
      continue;
    }
    ahead = std::min(ahead + it.amount, kMaxMicro);
    kept.push_back(it);
  }
  queue = std::move(kept);
}

Organisation::Prospect Organisation::Judge(const Waiter& waiter,
                                           LimitKind kind,
                                           Micro ahead,
                                           std::size_t position) const {
  Prospect prospect;
  if (const auto* account = Charged(kind)) {
    prospect.wait = account->WaitFor(waiter.amount, ahead);
    prospect.open = account->MayFind();
  }
  const auto* slots = Find(LimitKind::kSlots);
  const auto free = slots->share().bucket().level() / kMicro;
  if (prospect.wait == Duration::zero() &&
      free <= static_cast<Micro>(position)) {
    prospect.reason = RefusalReason::kTooManyConcurrent;
    prospect.wait = Duration::max();
    prospect.open = slots->MayFind();
  }
  return prospect;
}

Duration Organisation::RetryAfter(const Prospect& prospect,
                                  const Waiter& waiter,
                                  LimitKind kind) const {
  if (prospect.wait != Duration::max()) {
    return std::max(prospect.wait, kShortestRetry);
  }
  const auto* account = Charged(kind);
  if (prospect.reason == RefusalReason::kTooManyConcurrent ||
      account == nullptr) {
    return kRetryUnknown;
  }
  const auto at_full_rate = account->share().bucket().TimeUntil(
      waiter.amount, 0, account->total().rate);
  return std::max(at_full_rate, kRetryUnknown);
}

}  // namespace baobabrun
