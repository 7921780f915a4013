// Chooses relays by rendezvous hashing and batches notices.
#include "gateway/notice_relay.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace baobabrun {
namespace {

std::uint64_t RankOf(const VmId& vm) {
  return FastHash(vm.value());
}

PeerPriority PriorityOf(const CallNotices& notices) {
  return notices.urgent() ? PeerPriority::kUrgent : PeerPriority::kBulk;
}

// Encoded sizes, roughly.
constexpr std::size_t kPartBytes = 14;
constexpr std::size_t kNoticeBytes = 16;
constexpr std::size_t kOriginBytes = 32;
constexpr Duration kDropLogInterval = seconds(1);
// Batches take this share of the notices' part of the link, as the transport
// drops what it can't send within a second.
constexpr double kBatchesShare = 0.9;

std::size_t SizeOf(const CallNotice& it) {
  return kNoticeBytes + it.endpoint.value().size() +
         it.saved_to.value().size() + it.work.fetched_from.value().size() +
         it.work.parts.size() * kPartBytes;
}

std::size_t SizeOf(const CacheNotice& it) {
  return kNoticeBytes + it.endpoint.value().size() +
         it.parts.size() * kPartBytes;
}

// The size of what may be dropped, and of the list of attempts.
std::size_t SizeOf(const CallNotices& notices) {
  std::size_t bytes =
      kOriginBytes + notices.in_flight.size() * sizeof(std::uint64_t);
  for (const auto& it : notices.notices) {
    bytes += SizeOf(it);
  }
  for (const auto& it : notices.caches) {
    bytes += SizeOf(it);
  }
  return bytes;
}

// Drops the oldest elements until `share` of their bytes are left. Returns how
// many were dropped.
template <class Notice>
std::size_t KeepShare(std::vector<Notice>& notices, double share) {
  std::size_t all = 0;
  for (const auto& it : notices) {
    all += SizeOf(it);
  }
  const auto most = static_cast<std::size_t>(share * static_cast<double>(all));
  std::size_t kept_bytes = 0;
  auto first = notices.end();
  while (first != notices.begin()) {
    kept_bytes += SizeOf(*(first - 1));
    if (kept_bytes > most) {
      break;
    }
    --first;
  }
  const auto dropped = static_cast<std::size_t>(first - notices.begin());
  notices.erase(notices.begin(), first);
  return dropped;
}

Duration Spaced(std::size_t messages, Duration spacing) {
  return static_cast<Duration::rep>(messages) * spacing;
}

}  // namespace

NoticeRelay::NoticeRelay(NoticeRelayOptions options)
    : options_(std::move(options)) {}

void NoticeRelay::SetEntries(const std::vector<EntryPeer>& others) {
  others_.clear();
  zone_mates_.clear();
  zones_.clear();
  zones_[options_.zone].entries.push_back(options_.self);
  for (const auto& it : others) {
    others_.push_back(it.vm);
    zones_[it.zone].entries.push_back(it.vm);
    if (it.zone == options_.zone) {
      zone_mates_.push_back(it.vm);
    }
  }
  for (auto& [zone, it] : zones_) {
    std::sort(it.entries.begin(), it.entries.end(),
              [](const auto& left, const auto& right) {
                return std::pair(RankOf(left), left) <
                       std::pair(RankOf(right), right);
              });
    it.relays = std::min(it.entries.size(), options_.most_relays);
  }
  std::erase_if(relays_, [this](const auto& it) {
    return std::find(others_.begin(), others_.end(), it.first) == others_.end();
  });
}

void NoticeRelay::Add(CallNotice notice) {
  if (notice.kind == CallNoticeKind::kSent) {
    in_flight_.insert(notice.serial);
    in_flight_changed_ = true;
  } else if (notice.kind == CallNoticeKind::kEnded) {
    in_flight_.erase(notice.serial);
    in_flight_changed_ = true;
  }
  own_.notices.push_back(std::move(notice));
}

void NoticeRelay::Add(CacheNotice notice) {
  own_.caches.push_back(std::move(notice));
}

void NoticeRelay::Add(const CrashNotice& notice, Instant now) {
  own_.crashes.push_back(notice);
  auto again = notice;
  again.age += options_.crash_repetition;
  crashes_again_.emplace(now + options_.crash_repetition, std::move(again));
}

void NoticeRelay::Add(const QuarantineNotice& notice) {
  own_.quarantines.push_back(notice);
}

void NoticeRelay::AddCrashesAgain(Instant now) {
  while (!crashes_again_.empty() && crashes_again_.begin()->first <= now) {
    own_.crashes.push_back(crashes_again_.begin()->second);
    crashes_again_.erase(crashes_again_.begin());
  }
}

void NoticeRelay::Relay(const VmId& from,
                        const CallNotices& notices,
                        Instant now) {
  Collect(from, notices, now);
  if (to_acknowledge_.empty()) {
    acks_due_ = std::max(acks_due_, now);
  }
  to_acknowledge_.insert(from);
}

void NoticeRelay::OnAck(const VmId& from) {
  const auto it = relays_.find(from);
  if (it != relays_.end()) {
    it->second.unacknowledged.reset();
  }
}

void NoticeRelay::Collect(const VmId& origin,
                          const CallNotices& notices,
                          Instant now) {
  if (collected_.empty()) {
    collected_due_ = std::max(collected_due_, now + options_.relay_delay);
  }
  collected_urgent_ |= notices.urgent();
  auto& to = collected_[origin];
  to.notices.insert(to.notices.end(), notices.notices.begin(),
                    notices.notices.end());
  to.caches.insert(to.caches.end(), notices.caches.begin(),
                   notices.caches.end());
  to.crashes.insert(to.crashes.end(), notices.crashes.begin(),
                    notices.crashes.end());
  to.quarantines.insert(to.quarantines.end(), notices.quarantines.begin(),
                        notices.quarantines.end());
  if (notices.newest >= to.newest) {
    to.newest = notices.newest;
    to.in_flight = notices.in_flight;
  }
}

bool NoticeRelay::IsOwnRelay(const Zone& zone) const {
  const auto end =
      zone.entries.begin() + static_cast<std::ptrdiff_t>(zone.relays);
  return std::find(zone.entries.begin(), end, options_.self) != end;
}

bool NoticeRelay::Avoided(const VmId& relay, Instant now) {
  const auto it = relays_.find(relay);
  if (it == relays_.end()) {
    return false;
  }
  auto& [unacknowledged, avoided_until] = it->second;
  if (unacknowledged && now - *unacknowledged > options_.ack_timeout) {
    Log(Event::kNoticeRelayFailed,
        {{"relay", relay.value()},
         {"waited_ms", InMs(now - *unacknowledged)},
         {"avoided_ms", InMs(options_.avoid_time)}},
        "vm {} doesn't acknowledge the notices that it is to relay",
        relay.value());
    unacknowledged.reset();
    avoided_until = now + options_.avoid_time;
  }
  return now < avoided_until;
}

// Each entry prefers another one of a zone's relays, so that they share the
// work. If all have failed, each prefers another one of the zone's other
// entries: a single one couldn't do the work of all relays.
const VmId* NoticeRelay::ChooseRelay(const Zone& zone, Instant now) {
  const VmId* best = nullptr;
  std::uint64_t best_rank = 0;
  for (std::size_t n = 0; n < zone.entries.size(); ++n) {
    if (n == zone.relays && best != nullptr) {
      break;
    }
    const auto& it = zone.entries[n];
    const auto rank = FastHash(it.value(), RankOf(options_.self));
    if (it != options_.self && !Avoided(it, now) &&
        (best == nullptr || rank < best_rank)) {
      best = &it;
      best_rank = rank;
    }
  }
  return best;
}

CallNotices NoticeRelay::TakeOwn(std::uint64_t newest_attempt, Instant now) {
  DropOverflow({&own_}, direct() ? others_.size() : zones_.size(), now);
  auto own = std::exchange(own_, {});
  if (in_flight_changed_ && now >= next_list_) {
    in_flight_changed_ = false;
    next_list_ = now + options_.list_interval;
    own.newest = newest_attempt;
    own.in_flight.assign(in_flight_.begin(), in_flight_.end());
  }
  return own;
}

Instant NoticeRelay::Paced(Instant due, bool urgent) const {
  return urgent ? due : std::max(due, link_free_);
}

void NoticeRelay::OnSent(std::size_t bytes, Instant now) {
  if (options_.bytes_per_second > 0) {
    const std::chrono::duration<double> time(static_cast<double>(bytes) /
                                             batches_rate());
    link_free_ =
        std::max(link_free_, now) + std::chrono::duration_cast<Duration>(time);
  }
}

double NoticeRelay::batches_rate() const {
  return kBatchesShare * options_.bytes_per_second;
}

// Each origin keeps the same share of what it told.
void NoticeRelay::DropOverflow(const std::vector<CallNotices*>& batch,
                               std::size_t receivers,
                               Instant now) {
  if (options_.bytes_per_second <= 0 || receivers == 0) {
    return;
  }
  const double most =
      batches_rate() *
      std::chrono::duration<double>(options_.longest_batch).count() /
      static_cast<double>(receivers);
  std::size_t bytes = 0;
  for (const auto* it : batch) {
    bytes += SizeOf(*it);
  }
  if (static_cast<double>(bytes) > most) {
    const double share = most / static_cast<double>(bytes);
    for (auto* it : batch) {
      dropped_ += KeepShare(it->notices, share) + KeepShare(it->caches, share);
    }
  }
  if (dropped_ > 0 && now >= next_drop_log_) {
    next_drop_log_ = now + kDropLogInterval;
    Log(Event::kNoticesDropped, {{"notices", std::exchange(dropped_, 0)}},
        "there are more notices to send than their part of the link carries; "
        "the oldest were dropped");
  }
}

RelayedNotices NoticeRelay::TakeCollected(Instant now) {
  std::vector<CallNotices*> batch;
  for (auto& [origin, notices] : collected_) {
    batch.push_back(&notices);
  }
  DropOverflow(batch, zone_mates_.size(), now);
  collected_urgent_ = false;
  RelayedNotices relayed;
  for (auto& [origin, notices] : std::exchange(collected_, {})) {
    relayed.from.push_back({origin, std::move(notices)});
  }
  return relayed;
}

void NoticeRelay::SendToRelays(std::uint64_t newest_attempt,
                               Instant now,
                               std::vector<Outgoing>* out) {
  auto own = TakeOwn(newest_attempt, now);
  own.relay = true;
  Outgoing to_relays;
  to_relays.priority = PriorityOf(own);
  for (const auto& [name, zone] : zones_) {
    if (name == options_.zone && IsOwnRelay(zone)) {
      Collect(options_.self, own, now);
      continue;
    }
    if (const auto* relay = ChooseRelay(zone, now)) {
      auto& state = relays_[*relay];
      state.unacknowledged = state.unacknowledged.value_or(now);
      to_relays.to.push_back(*relay);
    }
  }
  to_relays.message = std::move(own);
  if (!to_relays.to.empty()) {
    out->push_back(std::move(to_relays));
  }
}

std::vector<NoticeRelay::Outgoing> NoticeRelay::TakeDue(
    std::uint64_t newest_attempt,
    Instant now) {
  std::vector<Outgoing> out;
  AddCrashesAgain(now);
  if (!own_.empty() && now >= Paced(own_due_, own_.urgent())) {
    if (direct()) {
      own_due_ = now + Spaced(others_.size(), options_.direct_spacing);
      const auto priority = PriorityOf(own_);
      out.push_back({others_, TakeOwn(newest_attempt, now), priority});
    } else {
      own_due_ = now + Spaced(zones_.size(), options_.to_relays_spacing);
      SendToRelays(newest_attempt, now, &out);
    }
  }
  if (!collected_.empty() && now >= Paced(collected_due_, collected_urgent_)) {
    collected_due_ =
        now + std::min(Spaced(zone_mates_.size(), options_.relay_spacing),
                       options_.longest_relay_interval);
    const auto priority =
        collected_urgent_ ? PeerPriority::kUrgent : PeerPriority::kBulk;
    auto relayed = TakeCollected(now);
    if (!zone_mates_.empty()) {
      out.push_back({zone_mates_, std::move(relayed), priority});
    }
  }
  if (!to_acknowledge_.empty() && now >= acks_due_) {
    acks_due_ = now + options_.ack_interval;
    const auto to = std::exchange(to_acknowledge_, {});
    // A relay whose acknowledgements wait behind notices seems to have failed.
    out.push_back({{to.begin(), to.end()}, NoticeAck(), PeerPriority::kUrgent});
  }
  return out;
}

std::optional<Instant> NoticeRelay::NextDue() const {
  std::optional<Instant> next;
  const auto consider = [&next](bool pending, Instant due) {
    if (pending && (!next || due < *next)) {
      next = due;
    }
  };
  consider(!own_.empty(), Paced(own_due_, own_.urgent()));
  if (!crashes_again_.empty()) {
    consider(true, crashes_again_.begin()->first);
  }
  consider(!collected_.empty(), Paced(collected_due_, collected_urgent_));
  consider(!to_acknowledge_.empty(), acks_due_);
  return next;
}

}  // namespace baobabrun
