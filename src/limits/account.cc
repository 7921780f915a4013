// Decides when a VM borrows, lends and returns loans.
#include "limits/account.h"

#include <algorithm>

namespace baobabrun {
namespace {

using Wide = __int128;

// Peers that are asked in one round.
constexpr std::size_t kPeersPerRound = 8;
// Wait after a round in which no peer had spare tokens. Doubles each time, up
// to kMaxRoundBackoff.
constexpr Duration kMinRoundBackoff = milliseconds(50);
constexpr Duration kMaxRoundBackoff = milliseconds(400);
// A share gives spare tokens to one with more room only while it is filled
// above this percentage.
constexpr int kNearlyFullPercent = 75;
// A share asks for spare tokens when at least 1/4 of its capacity is empty.
constexpr Micro kBalanceRoomDivisor = 4;
constexpr Duration kMinBalanceBackoff = milliseconds(500);
constexpr Duration kMaxBalanceBackoff = seconds(4);
constexpr std::size_t kPeersPerBalance = 2;
// Demand below 1/256 of the contract's rate counts as none.
constexpr Micro kIdleDemandDivisor = 256;
// How many times an ask is sent before its peer is skipped.
constexpr int kMaxAskSends = 3;
// After this many consecutive rounds without enough tokens, the fleet is taken
// not to have what is missing.
constexpr int kMaxFailedRounds = 3;
// How long after the last failed round the count of failed rounds is kept.
constexpr Duration kFailedRoundsReset = seconds(1);
// Wait before asking again for a part of other VMs' refill.
constexpr Duration kRateBackoff = milliseconds(750);
// A loan of tokens alone is returned after this time if no request waits.
constexpr Duration kMinTokenLoanTime = milliseconds(250);
// Ticks in a second, and ticks over which demand is averaged.
constexpr Micro kTicksPerSecond = seconds(1) / kLimitsTick;
constexpr Micro kDemandAveragingTicks = 8;
// One tick's demand is clamped to this many seconds of the contract's rate.
constexpr Micro kMaxSampleSeconds = 4;
// A VM doesn't lend tokens that it is likely to need itself within this time.
constexpr Duration kReserveTime = milliseconds(100);
// A part of the refill below 1/16 of the base share isn't worth a loan.
constexpr Micro kMinLoanDivisor = 16;

// Returns the micro-units that `rate` yields in `time`.
Micro AmountOver(Micro rate, Duration time) {
  return static_cast<Micro>(Wide{rate} * time.count() /
                            Duration(seconds(1)).count());
}

Micro Percent(Micro amount, int percent) {
  return static_cast<Micro>(Wide{amount} * percent / 100);
}

}  // namespace

Account::Account(LimitSubject subject,
                 Share share,
                 Portion total,
                 LendingContext* context)
    : subject_(std::move(subject)),
      share_(std::move(share)),
      total_(total),
      context_(context),
      round_backoff_(kMinRoundBackoff),
      balance_backoff_(kMinBalanceBackoff) {}

void Account::SetTotal(Portion base, Portion total, Instant now) {
  share_.SetBase(base, total_, total, now);
  total_ = total;
}

bool Account::HasPendingAsks() const {
  return std::any_of(pending_.begin(), pending_.end(), [](const auto& it) {
    return !it.second.message.spare_time;
  });
}

bool Account::MayStillObtain() const {
  return HasPendingAsks() || (failed_rounds_ < kMaxFailedRounds &&
                              !context_->peers.empty() && Missing() > 0);
}

void Account::AskIfMissing(Instant now) {
  if (now > next_round_ + kFailedRoundsReset) {
    failed_rounds_ = 0;
    round_backoff_ = kMinRoundBackoff;
  }

  if (HasPendingAsks() || now < next_round_) {
    return;
  }
  if (context_->peers.empty()) {
    peer_reports_ = {};
    return;
  }
  if (Missing() > 0) {
    AskForMissing(context_->peers, now);
  }
}

Duration Account::WaitFor(Micro amount, Micro ahead) const {
  const auto& bucket = share_.bucket();
  const auto alone = bucket.TimeUntil(amount, ahead, 0);
  if (peer_reports_.refill == 0) {
    return alone;
  }
  // Peers' unused refill also serves what waits at those peers.
  const auto together = bucket.TimeUntil(amount, ahead + peer_reports_.missing,
                                         peer_reports_.refill);
  return std::min(alone, together);
}

void Account::OnAsk(const VmId& from, const AskMessage& message, Instant now) {
  share_.Advance(now);
  auto& batch = context_->outbox[from];
  if (const auto* grant = FindSentGrant(from, message.ask, now)) {
    batch.grants.push_back(grant->message);
    return;
  }
  auto grant = MakeGrant(from, message, now);
  const Micro lacking = message.wanted.level - grant.portion.level;
  batch.grants.push_back(grant);
  sent_grants_.push_back({from, now, std::move(grant)});
  // Tokens in borrowed room can't be lent again. After they are returned, their
  // lenders can lend them.
  RepayLoans(lacking);
}

// Returns the grant sent earlier for an ask that arrives again because the
// grant was lost or late; null if there is none.
const Account::SentGrant* Account::FindSentGrant(const VmId& to,
                                                 std::uint64_t ask,
                                                 Instant now) {
  while (!sent_grants_.empty() &&
         sent_grants_.front().at + context_->lease < now) {
    sent_grants_.pop_front();
  }
  const auto it =
      std::find_if(sent_grants_.begin(), sent_grants_.end(),
                   [&to, ask](const SentGrant& grant) {
                     return grant.message.ask == ask && grant.to == to;
                   });
  return it == sent_grants_.end() ? nullptr : &*it;
}

GrantMessage Account::MakeGrant(const VmId& from,
                                const AskMessage& message,
                                Instant now) {
  GrantMessage grant;
  grant.subject = subject_;
  grant.ask = message.ask;
  grant.lease = LeaseId(context_->next_id++);
  auto& bucket = share_.bucket();
  Micro given = Spare(message.missing).level;
  if (message.spare_time) {
    const Micro reserved = Percent(bucket.Capacity(), kNearlyFullPercent);
    given = std::min(given, bucket.level() + bucket.refundable() - reserved);
  }
  grant.gift = std::min(std::max<Micro>(given, 0), message.gift);
  bucket.GiveAway(grant.gift);
  const Portion portion = LoanFor(message.wanted, Spare(message.missing));
  grant.portion =
      share_.Lend(grant.lease, from, portion, now + context_->lender_lease);
  grant.spare = Spare(message.missing);
  if (waiting_ > 0) {
    grant.missing = std::max<Micro>(Missing(), 0);
    grant.refill = bucket.rate();
  } else {
    grant.refill = std::max<Micro>(bucket.rate() - demand_, 0);
  }
  return grant;
}

// Returns the part of `spare` to lend for the tokens or the refill in `wanted`.
Portion Account::LoanFor(const Portion& wanted, const Portion& spare) const {
  Portion portion;
  portion.rate = std::min(wanted.rate, spare.rate);
  portion.level = std::min({wanted.level, spare.level, share_.OwnBurst()});
  portion.burst = portion.level;
  if (portion.rate > 0) {
    // The bound is lent with the refill, except for the part in use.
    const Micro part = static_cast<Micro>(Wide{share_.OwnBurst()} *
                                          portion.rate / share_.OwnRate());
    const Micro room = std::max<Micro>(share_.bucket().Room(), 0);
    portion.burst = std::clamp(part, portion.level, portion.level + room);
  } else if (portion.burst > 0 && Refills()) {
    // The refill that would fill the lent room is lent with it; it would be
    // lost otherwise.
    portion.rate = static_cast<Micro>(Wide{share_.OwnRate()} * portion.burst /
                                      share_.OwnBurst());
  }
  return portion;
}

void Account::OnGrant(const VmId& from,
                      const GrantMessage& message,
                      Instant now) {
  const auto it = pending_.find(message.ask);
  if (it == pending_.end() || it->second.peer != from) {
    return;  // a duplicate, or an ask that was given up
  }
  share_.Advance(now);
  const Instant until = it->second.sent + context_->lease;
  const AskMessage ask = it->second.message;
  EndAsk(it, message.gift);
  if (now < until && !message.portion.empty()) {
    share_.Borrow(message.lease, from, message.portion, now, until);
    share_.borrowed().at(message.lease).for_rate = ask.wanted.rate > 0;
  }
  if (ask.spare_time) {
    if (message.gift > 0) {
      next_balance_ = now;
      balance_backoff_ = kMinBalanceBackoff;
    }
    return;
  }
  if (message.spare.level > 0) {
    peers_with_spare_.push_back(from);
  }
  round_reports_.missing =
      std::min(round_reports_.missing + message.missing, kMaxMicro);
  round_reports_.refill =
      std::min(round_reports_.refill + message.refill, kMaxMicro);
  if (!HasPendingAsks()) {
    EndRound(now);
  }
}

// Frees the room reserved for the ask's gift and adds the tokens that were
// given.
Account::PendingAsks::iterator Account::EndAsk(PendingAsks::iterator it,
                                               Micro gift) {
  const Micro reserved = it->second.message.gift;
  share_.bucket().Reclaim(reserved, std::min(gift, reserved));
  return pending_.erase(it);
}

void Account::OnRenew(const VmId& from,
                      const RenewMessage& message,
                      Instant now) {
  share_.Advance(now);
  const bool needs_own_share =
      Refills() && (waiting_ > 0 || Percent(demand_, 110) > share_.OwnRate());
  if (needs_own_share && demand_ > 0) {
    return;  // without a renewal the loan expires
  }
  if (share_.Renew(message.lease, from, now + context_->lender_lease)) {
    context_->outbox[from].renewed.push_back(
        {subject_, message.lease, message.renewal});
  }
}

void Account::OnRenewed(const VmId& from,
                        const RenewedMessage& message,
                        Instant now) {
  share_.Advance(now);
  const auto it = share_.borrowed().find(message.lease);
  if (it == share_.borrowed().end() || it->second.lender != from ||
      it->second.renewal != message.renewal) {
    return;
  }
  auto& lease = it->second;
  lease.until = std::max(lease.until, lease.renewal_sent + context_->lease);
}

void Account::OnReturn(const VmId& from,
                       const ReturnMessage& message,
                       Instant now) {
  share_.Advance(now);
  share_.TakeBack(message.lease, from, message.level);
}

void Account::OnHello(const VmId& peer, Instant now) {
  share_.Advance(now);
  auto& borrowed = share_.borrowed();
  for (auto it = borrowed.begin(); it != borrowed.end();) {
    const auto id = it->first;
    const bool ended = it->second.lender == peer;
    ++it;
    if (ended) {
      share_.GiveBack(id, 0);
    }
  }
  // A grant from the earlier incarnation may still be in transit.
  bool ended = false;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.peer != peer) {
      ++it;
      continue;
    }
    ended = ended || !it->second.message.spare_time;
    it = EndAsk(it, 0);
  }
  if (ended && !HasPendingAsks()) {
    EndRound(now);
  }
}

void Account::EndQuarantine(Instant now) {
  share_.Advance(now);
  share_.TakeBack(kQuarantineLease, VmId(), 0);
}

void Account::Advance(Instant now) {
  share_.Advance(now);
  bool timed_out = false;
  for (auto it = pending_.begin(); it != pending_.end();) {
    auto& pending = it->second;
    if (pending.sent + context_->ask_timeout * pending.tries > now) {
      ++it;
      continue;
    }
    if (pending.tries < kMaxAskSends &&
        !context_->on_ask_timeout(pending.peer, now)) {
      ++pending.tries;
      context_->outbox[pending.peer].asks.push_back(pending.message);
      ++it;
      continue;
    }
    timed_out = timed_out || !pending.message.spare_time;
    it = EndAsk(it, 0);
  }
  if (timed_out && !HasPendingAsks()) {
    EndRound(now);
  }
}

void Account::Tick(Instant now) {
  const Micro sample =
      std::clamp<Micro>(demand_this_tick_, 0, total_.rate * kMaxSampleSeconds);
  demand_this_tick_ = std::min<Micro>(demand_this_tick_, 0);
  demand_ += (sample * kTicksPerSecond - demand_) / kDemandAveragingTicks;
  demand_ = std::min(demand_, Percent(total_.rate, 125));
  if (demand_ < total_.rate / kIdleDemandDivisor) {
    demand_ = 0;
  }
  MaintainLoans(now);
  AskForRate(now);
  AskIfMissing(now);
  Balance(now);
}

std::optional<Instant> Account::NextEvent() const {
  std::optional<Instant> next = share_.NextExpiry();
  const auto consider = [&next](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [ask, it] : pending_) {
    consider(it.sent + context_->ask_timeout * it.tries);
  }
  if (waiting_ > 0 && Missing() > 0 && !HasPendingAsks() &&
      !context_->peers.empty()) {
    consider(next_round_);
  }
  return next;
}

Micro Account::Missing() const {
  return std::min(waiting_, total_.burst) - share_.bucket().level();
}

Micro Account::MissingToFirst() const {
  return std::max<Micro>(first_waiting_ - share_.bucket().level(), 0);
}

// Returns the tokens that this VM will soon need itself.
Micro Account::Reserve() const {
  return AmountOver(demand_, kReserveTime);
}

Portion Account::Spare(Micro missing) const {
  // Of two VMs with waiting requests, the one that lacks less goes first.
  // Otherwise both would hold parts that suffice for neither.
  if (waiting_ > 0 && (missing <= 0 || missing >= MissingToFirst())) {
    return {};
  }
  Portion spare;
  const Micro reserve = waiting_ > 0 ? 0 : Reserve();
  spare.level = share_.bucket().level() - reserve;
  if (!Refills()) {
    spare.level -= spare.level % kMicro;
  }
  spare.level = std::max<Micro>(spare.level, 0);
  spare.burst = spare.level;
  spare.rate = share_.OwnRate() - Percent(demand_, 125);
  if (waiting_ > 0 || spare.rate < share_.base().rate / kMinLoanDivisor) {
    spare.rate = 0;
  }
  return spare;
}

// Tokens that fit into the free room here are requested as a gift. More than
// that is requested as a loan, which brings its own room.
void Account::AskForMissing(const std::vector<VmId>& peers, Instant now) {
  AskMessage ask;
  const Micro missing = Missing();
  const Micro room = std::max<Micro>(share_.bucket().Room(), 0);
  ask.gift = Refills() ? std::min(missing, room) : 0;
  ask.wanted = {0, missing - ask.gift, missing - ask.gift};
  AskPeers(peers, ask, now);
}

void Account::AskPeers(const std::vector<VmId>& peers,
                       const AskMessage& whole,
                       Instant now) {
  const std::size_t n = std::min(peers.size(), kPeersPerRound);
  const auto divisor = static_cast<Micro>(n);
  const Micro unit = Refills() ? 1 : kMicro;
  const auto part = [divisor, unit](Micro amount) {
    const Micro units = (amount + unit - 1) / unit;
    return (units + divisor - 1) / divisor * unit;
  };
  AskMessage ask = whole;
  ask.subject = subject_;
  ask.wanted = {part(whole.wanted.rate), part(whole.wanted.burst),
                part(whole.wanted.level)};
  ask.gift = (whole.gift + divisor - 1) / divisor;
  ask.missing = MissingToFirst();
  for (std::size_t i = 0; i < n; ++i) {
    ask.ask = context_->next_id++;
    ask.gift = std::min(ask.gift, std::max<Micro>(share_.bucket().Room(), 0));
    share_.bucket().Lend(ask.gift, 0);
    pending_[ask.ask] = {peers[i], now, 1, ask};
    context_->outbox[peers[i]].asks.push_back(ask);
  }
}

void Account::EndRound(Instant now) {
  peer_reports_ = std::exchange(round_reports_, {});
  const Micro missing = Missing();
  const auto peers_to_ask = std::exchange(peers_with_spare_, {});
  if (missing <= 0) {
    round_backoff_ = kMinRoundBackoff;
    failed_rounds_ = 0;
    return;
  }
  if (!peers_to_ask.empty()) {
    AskForMissing(peers_to_ask, now);
    return;
  }
  ++failed_rounds_;
  next_round_ = now + round_backoff_;
  round_backoff_ = std::min(round_backoff_ * 2, kMaxRoundBackoff);
}

bool Account::StillNeeded(const BorrowedLease& lease, Instant now) const {
  const auto& bucket = share_.bucket();
  if (waiting_ > 0) {
    return true;
  }
  if (!Refills()) {
    return bucket.level() < lease.portion.burst;
  }
  if (!lease.for_rate) {
    return now < lease.since + kMinTokenLoanTime;
  }
  const Micro without =
      share_.OwnRate() + share_.BorrowedRate() - lease.portion.rate;
  return Percent(demand_, 150) > without;
}

// Ends a loan and returns the amount of tokens that went back with it.
Micro Account::RepayLoan(LeaseId id, Micro level) {
  const VmId lender = share_.borrowed().at(id).lender;
  const auto remaining = share_.GiveBack(id, level);
  context_->outbox[lender].returns.push_back({subject_, id, remaining->level});
  return remaining->level;
}

// Returns up to `wanted` tokens that aren't needed here, together with the
// loans that they came in.
void Account::RepayLoans(Micro wanted) {
  auto& borrowed = share_.borrowed();
  for (auto it = borrowed.begin(); it != borrowed.end();) {
    const auto id = it->first;
    ++it;
    const Micro over = share_.bucket().level() - Reserve();
    if (waiting_ > 0 || over <= 0 || wanted <= 0) {
      return;
    }
    wanted -= RepayLoan(id, std::min(wanted, over));
  }
}

void Account::MaintainLoans(Instant now) {
  auto& borrowed = share_.borrowed();
  for (auto it = borrowed.begin(); it != borrowed.end();) {
    const LeaseId id = it->first;
    auto& lease = it->second;
    ++it;
    // A loan whose renewal wasn't answered is returned before it expires, so
    // that its tokens aren't lost.
    const bool ending = lease.until - now <= kLimitsTick && Refills();
    if (ending || !StillNeeded(lease, now)) {
      RepayLoan(id, lease.portion.level);
      continue;
    }
    if (lease.until - now <= context_->lease / 2 + kLimitsTick / 2) {
      ++lease.renewal;
      lease.renewal_sent = now;
      context_->outbox[lease.lender].renews.push_back(
          {subject_, id, lease.renewal});
    }
  }
}

void Account::AskForRate(Instant now) {
  if (!Refills() || HasPendingAsks() || now < next_rate_ask_ ||
      context_->peers.empty()) {
    return;
  }
  const Micro rate = share_.OwnRate() + share_.BorrowedRate();
  const Micro wanted = std::min(Percent(demand_, 120), total_.rate) - rate;
  if (demand_ <= Percent(rate, 90) || wanted <= 0) {
    return;
  }
  const Micro burst =
      static_cast<Micro>(Wide{total_.burst} * wanted / total_.rate);
  next_rate_ask_ = now + kRateBackoff;
  AskMessage ask;
  ask.wanted = {wanted, burst, burst};
  AskPeers(context_->peers, ask, now);
}

// A full share loses its refill. So a share with much room asks full shares for
// tokens before any request waits for them.
void Account::Balance(Instant now) {
  const Micro room = share_.bucket().Room();
  if (!Refills() || demand_ == 0 || waiting_ > 0 || now < next_balance_ ||
      context_->peers.empty() || room <= 0 ||
      room < share_.bucket().Capacity() / kBalanceRoomDivisor) {
    return;
  }
  next_balance_ = now + balance_backoff_;
  balance_backoff_ = std::min(balance_backoff_ * 2, kMaxBalanceBackoff);
  AskMessage ask;
  ask.gift = room / 2;
  ask.spare_time = true;
  // Different peers are asked each time, since a few suffice.
  auto peers = context_->peers;
  const auto first =
      static_cast<std::ptrdiff_t>(context_->next_id % peers.size());
  std::rotate(peers.begin(), peers.begin() + first, peers.end());
  peers.resize(std::min(peers.size(), kPeersPerBalance));
  AskPeers(peers, ask, now);
}

}  // namespace baobabrun
