// When a VM borrows, lends and gives back.
#include "limits/account.h"

#include <algorithm>

namespace baobabrun {
namespace {

using Wide = __int128;

// Peers asked in one round.
constexpr std::size_t kFanOut = 8;
// Wait after a round in which nobody had anything, doubled each time.
constexpr Duration kFirstBackoff = milliseconds(50);
constexpr Duration kLastBackoff = milliseconds(400);
// A share gives tokens to one with more room while it is fuller than this.
constexpr int kNearlyFullPercent = 75;
// A share asks for some when a fourth of it is empty.
constexpr Micro kRoomToBalance = 4;
constexpr Duration kBalanceBackoff = milliseconds(500);
constexpr Duration kLastBalanceBackoff = seconds(4);
constexpr std::size_t kBalanceFanOut = 2;
// Below this part of the contract's rate there is no demand.
constexpr Micro kIdlePart = 256;
// How often an ask is sent before its peer is passed over.
constexpr int kAskTries = 3;
// After so many rounds without enough, what is missing isn't there.
constexpr int kDryRounds = 3;
// And for so long after the last of them.
constexpr Duration kDryMemory = seconds(1);
// Wait before asking again for a part of others' refill.
constexpr Duration kRateBackoff = milliseconds(750);
// Loans of tokens alone go back when nobody waits after this time.
constexpr Duration kTokenLoanAge = milliseconds(250);
// Ticks in a second, and ticks over which demand is averaged.
constexpr Micro kTicksPerSecond = seconds(1) / kLimitsTick;
constexpr Micro kDemandTicks = 8;
// One tick counts for no more than this many seconds of the contract's rate.
constexpr Micro kMaxSample = 4;
// A VM lends no tokens that it will likely need itself in this time.
constexpr Duration kReserveTime = milliseconds(100);
// Refill parts below 1/16 of the base share are not worth a loan.
constexpr Micro kSmallestPart = 16;

// Micro-units that `rate` brings in `time`.
Micro During(Micro rate, Duration time) {
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
      dry_backoff_(kFirstBackoff),
      balance_backoff_(kBalanceBackoff) {}

void Account::SetTotal(Portion base, Portion total, Instant now) {
  share_.SetBase(base, total_, total, now);
  total_ = total;
}

bool Account::seeking() const {
  return std::any_of(pending_.begin(), pending_.end(), [](const auto& it) {
    return !it.second.message.spare_time;
  });
}

bool Account::MayFind() const {
  return seeking() || (dry_rounds_ < kDryRounds && !context_->peers.empty() &&
                       Missing() > 0);
}

void Account::Seek(Instant now) {
  if (now > dry_until_ + kDryMemory) {
    dry_rounds_ = 0;
    dry_backoff_ = kFirstBackoff;
  }

  if (seeking() || now < dry_until_) {
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
  // All VMs together serve what waits at any of them.
  const auto together = bucket.TimeUntil(amount, ahead + peer_reports_.missing,
                                         peer_reports_.refill);
  return std::min(alone, together);
}

void Account::OnAsk(const VmId& from, const AskMessage& message, Instant now) {
  share_.Advance(now);
  auto& batch = context_->outbox[from];
  if (const auto* answer = FindAnswer(from, message.ask, now)) {
    batch.grants.push_back(answer->message);
    return;
  }
  auto answer = MakeGrant(from, message, now);
  const Micro lacking = message.wanted.level - answer.portion.level;
  batch.grants.push_back(answer);
  answers_.push_back({from, now, std::move(answer)});
  // Tokens in borrowed room can't be lent on, but their lenders can do so.
  RepayLoans(lacking);
}

// The answer to an ask that comes again after a lost or late answer.
const Account::Answer* Account::FindAnswer(const VmId& to,
                                           std::uint64_t ask,
                                           Instant now) {
  while (!answers_.empty() && answers_.front().at + context_->lease < now) {
    answers_.pop_front();
  }
  const auto it = std::find_if(
      answers_.begin(), answers_.end(), [&to, ask](const Answer& answer) {
        return answer.message.ask == ask && answer.to == to;
      });
  return it == answers_.end() ? nullptr : &*it;
}

GrantMessage Account::MakeGrant(const VmId& from,
                                const AskMessage& message,
                                Instant now) {
  GrantMessage answer;
  answer.subject = subject_;
  answer.ask = message.ask;
  answer.lease = LeaseId(context_->next_id++);
  auto& bucket = share_.bucket();
  Micro given = Spare(message.missing).level;
  if (message.spare_time) {
    const Micro kept = Percent(bucket.Capacity(), kNearlyFullPercent);
    given = std::min(given, bucket.level() + bucket.refundable() - kept);
  }
  answer.gift = std::min(std::max<Micro>(given, 0), message.gift);
  bucket.Give(answer.gift);
  const Portion portion = LoanFor(message.wanted, Spare(message.missing));
  answer.portion =
      share_.Lend(answer.lease, from, portion, now + context_->lender_lease);
  answer.spare = Spare(message.missing);
  if (waiting_ > 0) {
    answer.missing = std::max<Micro>(Missing(), 0);
    answer.refill = bucket.rate();
  } else {
    answer.refill = std::max<Micro>(bucket.rate() - demand_, 0);
  }
  return answer;
}

// What of `spare` goes along with tokens or refill that are wanted.
Portion Account::LoanFor(const Portion& wanted, const Portion& spare) const {
  Portion portion;
  portion.rate = std::min(wanted.rate, spare.rate);
  portion.level = std::min({wanted.level, spare.level, share_.OwnBurst()});
  portion.burst = portion.level;
  if (portion.rate > 0) {
    // The bound goes along with the refill, but not the part in use.
    const Micro part = static_cast<Micro>(Wide{share_.OwnBurst()} *
                                          portion.rate / share_.OwnRate());
    const Micro room = std::max<Micro>(share_.bucket().Room(), 0);
    portion.burst = std::clamp(part, portion.level, portion.level + room);
  } else if (portion.burst > 0 && Refills()) {
    // Refill goes along with its room, where it would be lost otherwise.
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
    return;  // doubled, or given up
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
      balance_after_ = now;
      balance_backoff_ = kBalanceBackoff;
    }
    return;
  }
  if (message.spare.level > 0) {
    with_spare_.push_back(from);
  }
  round_reports_.missing =
      std::min(round_reports_.missing + message.missing, kMaxMicro);
  round_reports_.refill =
      std::min(round_reports_.refill + message.refill, kMaxMicro);
  if (!seeking()) {
    EndRound(now);
  }
}

// Frees the room kept for a gift and puts what came of it there.
Account::PendingAsks::iterator Account::EndAsk(PendingAsks::iterator it,
                                               Micro gift) {
  const Micro kept = it->second.message.gift;
  share_.bucket().Reclaim(kept, std::min(gift, kept));
  return pending_.erase(it);
}

void Account::OnRenew(const VmId& from,
                      const RenewMessage& message,
                      Instant now) {
  share_.Advance(now);
  const bool short_of_own =
      Refills() && (waiting_ > 0 || Percent(demand_, 110) > share_.OwnRate());
  if (short_of_own && demand_ > 0) {
    return;  // the loan runs out
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
  // An answer by the earlier life may still be under way.
  bool ended = false;
  for (auto it = pending_.begin(); it != pending_.end();) {
    if (it->second.peer != peer) {
      ++it;
      continue;
    }
    ended = ended || !it->second.message.spare_time;
    it = EndAsk(it, 0);
  }
  if (ended && !seeking()) {
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
    if (pending.sent + context_->gather_timeout * pending.tries > now) {
      ++it;
      continue;
    }
    if (pending.tries < kAskTries && !context_->on_silent(pending.peer, now)) {
      ++pending.tries;
      context_->outbox[pending.peer].asks.push_back(pending.message);
      ++it;
      continue;
    }
    timed_out = timed_out || !pending.message.spare_time;
    it = EndAsk(it, 0);
  }
  if (timed_out && !seeking()) {
    EndRound(now);
  }
}

void Account::Tick(Instant now) {
  const Micro sample = std::clamp<Micro>(offered_, 0, total_.rate * kMaxSample);
  offered_ = std::min<Micro>(offered_, 0);
  demand_ += (sample * kTicksPerSecond - demand_) / kDemandTicks;
  demand_ = std::min(demand_, Percent(total_.rate, 125));
  if (demand_ < total_.rate / kIdlePart) {
    demand_ = 0;
  }
  LookAfterLoans(now);
  SeekRate(now);
  Seek(now);
  Balance(now);
}

std::optional<Instant> Account::NextEvent() const {
  std::optional<Instant> next = share_.NextExpiry();
  const auto consider = [&next](Instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const auto& [ask, it] : pending_) {
    consider(it.sent + context_->gather_timeout * it.tries);
  }
  if (waiting_ > 0 && Missing() > 0 && !seeking() && !context_->peers.empty()) {
    consider(dry_until_);
  }
  return next;
}

Micro Account::Missing() const {
  return std::min(waiting_, total_.burst) - share_.bucket().level();
}

Micro Account::MissingToFirst() const {
  return std::max<Micro>(first_ - share_.bucket().level(), 0);
}

// What this VM will soon need itself.
Micro Account::Reserve() const {
  return During(demand_, kReserveTime);
}

Portion Account::Spare(Micro missing) const {
  // Of two VMs whose requests wait, the one that lacks less goes first; else
  // both would sit on parts that serve nobody.
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
  if (waiting_ > 0 || spare.rate < share_.base().rate / kSmallestPart) {
    spare.rate = 0;
  }
  return spare;
}

// What fits into the room here is asked for as a gift; more comes as a loan
// that brings its room along.
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
  const std::size_t n = std::min(peers.size(), kFanOut);
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
  const auto again = std::exchange(with_spare_, {});
  if (missing <= 0) {
    dry_backoff_ = kFirstBackoff;
    dry_rounds_ = 0;
    return;
  }
  if (!again.empty()) {
    AskForMissing(again, now);
    return;
  }
  ++dry_rounds_;
  dry_until_ = now + dry_backoff_;
  dry_backoff_ = std::min(dry_backoff_ * 2, kLastBackoff);
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
    return now < lease.since + kTokenLoanAge;
  }
  const Micro without =
      share_.OwnRate() + share_.BorrowedRate() - lease.portion.rate;
  return Percent(demand_, 150) > without;
}

// Ends a loan and returns the tokens that went back with it.
Micro Account::Repay(LeaseId id, Micro level) {
  const VmId lender = share_.borrowed().at(id).lender;
  const auto left = share_.GiveBack(id, level);
  context_->outbox[lender].returns.push_back({subject_, id, left->level});
  return left->level;
}

// Gives back up to `wanted` tokens that are not needed here, with the loans
// they came in.
void Account::RepayLoans(Micro wanted) {
  auto& borrowed = share_.borrowed();
  for (auto it = borrowed.begin(); it != borrowed.end();) {
    const auto id = it->first;
    ++it;
    const Micro over = share_.bucket().level() - Reserve();
    if (waiting_ > 0 || over <= 0 || wanted <= 0) {
      return;
    }
    wanted -= Repay(id, std::min(wanted, over));
  }
}

void Account::LookAfterLoans(Instant now) {
  auto& borrowed = share_.borrowed();
  for (auto it = borrowed.begin(); it != borrowed.end();) {
    const LeaseId id = it->first;
    auto& lease = it->second;
    ++it;
    // A loan whose renewal was not answered goes back while it still counts.
    const bool ending = lease.until - now <= kLimitsTick && Refills();
    if (ending || !StillNeeded(lease, now)) {
      Repay(id, lease.portion.level);
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

void Account::SeekRate(Instant now) {
  if (!Refills() || seeking() || now < rate_dry_until_ ||
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
  rate_dry_until_ = now + kRateBackoff;
  AskMessage ask;
  ask.wanted = {wanted, burst, burst};
  AskPeers(context_->peers, ask, now);
}

// A full share loses its refill. So a share with much room asks the full ones
// for tokens before anybody waits for them.
void Account::Balance(Instant now) {
  const Micro room = share_.bucket().Room();
  if (!Refills() || demand_ == 0 || waiting_ > 0 || now < balance_after_ ||
      context_->peers.empty() || room <= 0 ||
      room < share_.bucket().Capacity() / kRoomToBalance) {
    return;
  }
  balance_after_ = now + balance_backoff_;
  balance_backoff_ = std::min(balance_backoff_ * 2, kLastBalanceBackoff);
  AskMessage ask;
  ask.gift = room / 2;
  ask.spare_time = true;
  // Others each time, since a few suffice.
  auto peers = context_->peers;
  const auto first =
      static_cast<std::ptrdiff_t>(context_->next_id % peers.size());
  std::rotate(peers.begin(), peers.begin() + first, peers.end());
  peers.resize(std::min(peers.size(), kBalanceFanOut));
  AskPeers(peers, ask, now);
}

}  // namespace baobabrun
