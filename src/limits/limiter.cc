// Passes requests and messages to the organisations that they concern.
#include "limits/limiter.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "limits/messages.h"
#include "limits/organisation.h"
#include "limits/prompt_estimator.h"

namespace baobabrun {
namespace {

constexpr std::int64_t kMillion = 1'000'000;
constexpr std::int64_t kMaxDriftPpm = 100'000;
// A peer that leaves this many asks in a row unanswered isn't asked for
// kSkipTime.
constexpr int kTimeoutsUntilSkipped = 3;
constexpr Duration kSkipTime = milliseconds(500);

constexpr NameEntry<LimitsError> kErrorNames[] = {
    {LimitsError::kNotInFleet, "not in the fleet"},
    {LimitsError::kDrift, "clock drift out of range"},
    {LimitsError::kLease, "lease out of range"},
};

// Returns how long a lender must wait by its own clock until a borrower, whose
// clock may drift in the other direction, has certainly counted to `lease`.
Duration LenderLease(Duration lease, std::int64_t drift_ppm) {
  const auto product =
      static_cast<__int128>(lease.count()) * (kMillion + drift_ppm);
  return Duration(static_cast<std::int64_t>(product / (kMillion - drift_ppm)) +
                  1);
}

struct PeerHealth {
  int timeouts = 0;
  Instant skip_until;
};

}  // namespace

std::error_code make_error_code(LimitsError error) {
  static const ErrorCategory<LimitsError> kCategory("limits", kErrorNames);
  return kCategory.Code(error);
}

class Limiter::Impl {
 public:
  Impl(LimiterOptions options, FleetPosition fleet_position)
      : options_(std::move(options)), fleet_position_(fleet_position) {
    std::mt19937_64 random(options_.seed);
    context_.lease = options_.lease;
    context_.lender_lease =
        LenderLease(options_.lease, options_.clock_drift_ppm);
    context_.ask_timeout = options_.ask_timeout;
    // The random upper half distinguishes this incarnation's ids from those of
    // an earlier one.
    context_.next_id = random() | 1;
    incarnation_ = random() | 1;
    for (const auto& it : options_.fleet) {
      if (it.vm != options_.self) {
        uncleared_.insert(it.vm);
      }
    }
    context_.on_ask_timeout = [this](const VmId& peer, Instant now) {
      return OnAskTimeout(peer, now);
    };
  }

  void SetState(FleetStatePtr state, Instant now) {
    if (state_ && state->version < state_->version) {
      return;
    }
    EnsureStarted(now);
    for (auto& [id, organisation] : organisations_) {
      if (state->declarations.FindContract(id) == nullptr) {
        organisation->RemoveContract(now, &decisions_);
      }
    }
    for (const auto& it : state->declarations.contracts) {
      auto& organisation = organisations_[it.organisation];
      if (!organisation) {
        organisation = std::make_unique<Organisation>(
            it.organisation, fleet_position_, &context_);
      }
      organisation->SetContract(it, options_.clock_drift_ppm, quarantine_, now);
      Process(organisation.get(), now);
    }
    state_ = std::move(state);
  }

  void SetMembers(std::vector<LimitsMember> alive, Instant now) {
    EnsureStarted(now);
    alive_ = std::move(alive);
    std::erase_if(alive_, [this](const LimitsMember& it) {
      return it.vm == options_.self;
    });
    std::sort(alive_.begin(), alive_.end(),
              [](const LimitsMember& left, const LimitsMember& right) {
                return left.vm < right.vm;
              });
    // Each VM starts with a different peer, so that the asks of all VMs spread
    // over all peers.
    const auto after = std::find_if(
        alive_.begin(), alive_.end(),
        [this](const LimitsMember& it) { return it.vm > options_.self; });
    std::rotate(alive_.begin(), after, alive_.end());
    std::stable_partition(
        alive_.begin(), alive_.end(),
        [this](const LimitsMember& it) { return it.zone == OwnZone(); });
    UpdatePeers(now);
  }

  Decision Admit(const Charge& charge, Instant deadline, Instant now) {
    EnsureStarted(now);
    const auto it = organisations_.find(charge.organisation);
    if (charge.organisation.empty()) {
      // A request of an open route has no organisation and isn't limited.
      return {charge.request, Admission::kAdmitted, {}, {}};
    }
    if (it == organisations_.end()) {
      return Count(
          {charge.request, Admission::kRefused, RefusalReason::kForbidden, {}});
    }
    const auto until = std::min(deadline, now + options_.max_wait);
    owners_[charge.request] = it->second.get();
    it->second->Admit(charge, until, now, &decisions_);
    UpdateBusy(it->second.get());
    const auto made = std::find_if(
        decisions_.begin(), decisions_.end(),
        [&charge](const Decision& d) { return d.request == charge.request; });
    if (made == decisions_.end()) {
      ++counts_.waited;
      return {charge.request, Admission::kWaiting, {}, {}};
    }
    const Decision decision = *made;
    decisions_.erase(made);
    return Count(decision);
  }

  void Abandon(RequestId request, Instant now) {
    EnsureStarted(now);
    std::erase_if(decisions_, [request](const Decision& it) {
      return it.request == request;
    });
    if (auto* owner = TakeOwner(request)) {
      owner->Abandon(request, now);
      Process(owner, now);
    }
  }

  void Spend(RequestId request, std::int64_t tokens_so_far, Instant now) {
    const auto it = owners_.find(request);
    if (it != owners_.end()) {
      it->second->Spend(request, tokens_so_far, now);
    }
  }

  void Finish(RequestId request,
              std::int64_t prompt_tokens,
              std::int64_t completion_tokens,
              Instant now) {
    EnsureStarted(now);
    if (auto* owner = TakeOwner(request)) {
      const auto bytes =
          owner->Finish(request, prompt_tokens, completion_tokens, now);
      estimator_.Correct(owner->id(), bytes, prompt_tokens);
      Process(owner, now);
    }
  }

  std::int64_t EstimatePrompt(const OrganisationId& organisation,
                              std::int64_t bytes) const {
    return estimator_.Estimate(organisation, bytes);
  }

  void Receive(const VmId& from, std::string_view payload, Instant now) {
    EnsureStarted(now);
    const auto batch = DecodeBatch(payload);
    if (!batch) {
      ++counts_.malformed;
      return;
    }
    health_[from].timeouts = 0;
    if (batch->hello != 0) {
      OnHello(from, batch->hello, now);
    }
    if (batch->cleared == incarnation_) {
      OnCleared(from, now);
    }
    const auto dispatch = [this, now](const LimitSubject& subject,
                                      const auto& handle) {
      const auto it = organisations_.find(subject.organisation);
      auto* account =
          it == organisations_.end() ? nullptr : it->second->Find(subject.kind);
      if (account != nullptr) {
        handle(*account);
        Process(it->second.get(), now);
      }
    };
    for (const auto& it : batch->returns) {
      dispatch(it.subject, [&](Account& a) { a.OnReturn(from, it, now); });
    }
    for (const auto& it : batch->grants) {
      dispatch(it.subject, [&](Account& a) { a.OnGrant(from, it, now); });
    }
    for (const auto& it : batch->renewed) {
      dispatch(it.subject, [&](Account& a) { a.OnRenewed(from, it, now); });
    }
    for (const auto& it : batch->renews) {
      dispatch(it.subject, [&](Account& a) { a.OnRenew(from, it, now); });
    }
    for (const auto& it : batch->asks) {
      dispatch(it.subject, [&](Account& a) { a.OnAsk(from, it, now); });
    }
  }

  void Advance(Instant now) {
    EnsureStarted(now);
    if (now < next_tick_) {
      const auto busy = busy_;
      for (const auto& [id, it] : busy) {
        Process(it, now);
      }
      return;
    }
    next_tick_ = now + kLimitsTick;
    UpdatePeers(now);
    SendHello(now);
    for (auto& [id, it] : organisations_) {
      it->Tick(now, &decisions_);
      UpdateBusy(it.get());
    }
  }

  std::optional<Instant> NextEvent() const {
    std::optional<Instant> next = next_tick_;
    for (const auto& [id, it] : busy_) {
      if (const auto at = it->NextEvent()) {
        next = std::min(*next, *at);
      }
    }
    return next;
  }

  std::vector<PeerMessage> TakeMessages() {
    std::vector<PeerMessage> out;
    for (const auto& [to, batch] : context_.outbox) {
      out.push_back(
          {options_.self, to, PeerTopic::kLimits, EncodeBatch(batch)});
    }
    context_.outbox.clear();
    return out;
  }

  std::vector<Decision> TakeDecisions() {
    auto out = std::exchange(decisions_, {});
    for (const auto& it : out) {
      Count(it);
    }
    return out;
  }

  const LimiterCounts& counts() const { return counts_; }

  ShareView View(const OrganisationId& organisation) const {
    const auto it = organisations_.find(organisation);
    if (it == organisations_.end()) {
      return {};
    }
    const auto& bucket = it->second->Find(LimitKind::kTokens)->bucket();
    return {bucket.rate(), bucket.Capacity(), bucket.level()};
  }

 private:
  // Starts the quarantine on the first call: loans granted by an earlier
  // incarnation may be outstanding for one lease after the start.
  void EnsureStarted(Instant now) {
    if (!quarantine_) {
      quarantine_ =
          fleet_position_.count > 1 ? now + context_.lender_lease : now;
      next_tick_ = now + kLimitsTick;
      SendHello(now);
    }
  }

  // Until the quarantine ends, asks every VM of the fleet to end loans from
  // earlier incarnations of this VM. Repeated at each tick, since messages may
  // be lost.
  void SendHello(Instant now) {
    if (now >= *quarantine_) {
      return;
    }
    for (const auto& it : uncleared_) {
      context_.outbox[it].hello = incarnation_;
    }
  }

  void OnHello(const VmId& from, std::uint64_t incarnation, Instant now) {
    for (auto& [id, it] : organisations_) {
      it->OnHello(from, now);
      Process(it.get(), now);
    }
    context_.outbox[from].cleared = incarnation;
  }

  void OnCleared(const VmId& from, Instant now) {
    uncleared_.erase(from);
    if (!uncleared_.empty() || now >= *quarantine_) {
      return;
    }
    quarantine_ = now;
    for (auto& [id, it] : organisations_) {
      it->EndQuarantine(now);
      Process(it.get(), now);
    }
  }

  void Process(Organisation* organisation, Instant now) {
    organisation->Process(now, &decisions_);
    UpdateBusy(organisation);
  }

  void UpdateBusy(Organisation* organisation) {
    if (organisation->busy()) {
      busy_[organisation->id()] = organisation;
    } else {
      busy_.erase(organisation->id());
    }
  }

  const Decision& Count(const Decision& decision) {
    if (decision.admission == Admission::kRefused) {
      ++counts_.refused;
      owners_.erase(decision.request);
    } else {
      ++counts_.admitted;
    }
    return decision;
  }

  Organisation* TakeOwner(RequestId request) {
    const auto it = owners_.find(request);
    if (it == owners_.end()) {
      return nullptr;
    }
    auto* owner = it->second;
    owners_.erase(it);
    return owner;
  }

  const ZoneId& OwnZone() const {
    const auto it = std::find_if(
        options_.fleet.begin(), options_.fleet.end(),
        [this](const LimitsMember& m) { return m.vm == options_.self; });
    return it->zone;
  }

  void UpdatePeers(Instant now) {
    context_.peers.clear();
    for (const auto& it : alive_) {
      if (health_[it.vm].skip_until <= now) {
        context_.peers.push_back(it.vm);
      }
    }
  }

  bool OnAskTimeout(const VmId& peer, Instant now) {
    auto& health = health_[peer];
    if (++health.timeouts >= kTimeoutsUntilSkipped) {
      health.skip_until = now + kSkipTime;
      std::erase(context_.peers, peer);
      return true;
    }
    return false;
  }

  const LimiterOptions options_;
  const FleetPosition fleet_position_;
  LendingContext context_;
  FleetStatePtr state_;
  std::vector<LimitsMember> alive_;  // without this VM, nearest first
  std::unordered_map<VmId, PeerHealth> health_;
  std::unordered_map<OrganisationId, std::unique_ptr<Organisation>>
      organisations_;  // never shrinks, so that loans stay counted
  // Organisations that Advance must process between ticks.
  std::map<OrganisationId, Organisation*> busy_;
  // Waiting and running requests; values point into organisations_.
  std::unordered_map<RequestId, Organisation*> owners_;
  PromptEstimator estimator_;
  std::vector<Decision> decisions_;
  LimiterCounts counts_;
  // Until this time, loans granted by an earlier incarnation of this VM may be
  // outstanding.
  std::optional<Instant> quarantine_;
  std::uint64_t incarnation_ = 0;
  // VMs that may still use loans from an earlier incarnation.
  std::set<VmId> uncleared_;
  Instant next_tick_;
};

Result<std::unique_ptr<Limiter>> Limiter::Create(LimiterOptions options) {
  std::vector<VmId> vms;
  for (const auto& it : options.fleet) {
    vms.push_back(it.vm);
  }
  std::sort(vms.begin(), vms.end());
  vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
  const auto self = std::find(vms.begin(), vms.end(), options.self);
  if (self == vms.end()) {
    return Error{LimitsError::kNotInFleet,
                 "vm '" + options.self.value() + "' is not in the fleet"};
  }
  if (options.clock_drift_ppm < 0 || options.clock_drift_ppm > kMaxDriftPpm) {
    return Error{LimitsError::kDrift,
                 "clock_drift_ppm must be from 0 to 100000"};
  }
  if (options.lease < milliseconds(500)) {
    return Error{LimitsError::kLease, "lease must be at least 500 ms"};
  }
  const FleetPosition fleet_position{self - vms.begin(),
                                     static_cast<std::int64_t>(vms.size())};
  return std::unique_ptr<Limiter>(
      new Limiter(std::make_unique<Impl>(std::move(options), fleet_position)));
}

Limiter::Limiter(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Limiter::~Limiter() = default;

void Limiter::SetState(FleetStatePtr state, Instant now) {
  impl_->SetState(std::move(state), now);
}

void Limiter::SetMembers(std::vector<LimitsMember> alive,
                         const std::optional<VmId>& /*leader*/,
                         Instant now) {
  impl_->SetMembers(std::move(alive), now);
}

Decision Limiter::Admit(const Charge& charge, Instant deadline, Instant now) {
  return impl_->Admit(charge, deadline, now);
}

void Limiter::Abandon(RequestId request, Instant now) {
  impl_->Abandon(request, now);
}

void Limiter::Spend(RequestId request,
                    std::int64_t tokens_so_far,
                    Instant now) {
  impl_->Spend(request, tokens_so_far, now);
}

void Limiter::Finish(RequestId request,
                     std::int64_t prompt_tokens,
                     std::int64_t completion_tokens,
                     Instant now) {
  impl_->Finish(request, prompt_tokens, completion_tokens, now);
}

std::int64_t Limiter::EstimatePrompt(const OrganisationId& organisation,
                                     std::int64_t bytes) const {
  return impl_->EstimatePrompt(organisation, bytes);
}

void Limiter::Receive(const VmId& from, std::string_view payload, Instant now) {
  impl_->Receive(from, payload, now);
}

void Limiter::Advance(Instant now) {
  impl_->Advance(now);
}

std::optional<Instant> Limiter::NextEvent() const {
  return impl_->NextEvent();
}

std::vector<PeerMessage> Limiter::TakeMessages() {
  return impl_->TakeMessages();
}

std::vector<Decision> Limiter::TakeDecisions() {
  return impl_->TakeDecisions();
}

const LimiterCounts& Limiter::counts() const {
  return impl_->counts();
}

Limiter::ShareView Limiter::View(const OrganisationId& organisation) const {
  return impl_->View(organisation);
}

}  // namespace baobabrun
