// Chooses relays by rendezvous hashing and batches notices.
#include "gateway/notice_relay.h"

#include <algorithm>
#include <cmath>
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
    it.relays = static_cast<std::size_t>(
        std::ceil(std::sqrt(static_cast<double>(it.entries.size()))));
  }
  std::erase_if(relays_, [this](const auto& it) {
    return std::find(others_.begin(), others_.end(), it.first) == others_.end();
  });
}

void NoticeRelay::Add(CallNotice notice) {
  if (notice.kind == CallNoticeKind::kSent) {
    in_flight_.insert(notice.serial);
  } else if (notice.kind == CallNoticeKind::kEnded) {
    in_flight_.erase(notice.serial);
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
  Collect(from, notices);
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

void NoticeRelay::Collect(const VmId& origin, const CallNotices& notices) {
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

CallNotices NoticeRelay::TakeOwn(std::uint64_t newest_attempt) {
  auto own = std::exchange(own_, {});
  own.newest = newest_attempt;
  own.in_flight.assign(in_flight_.begin(), in_flight_.end());
  return own;
}

void NoticeRelay::SendToRelays(std::uint64_t newest_attempt,
                               Instant now,
                               std::vector<Outgoing>* out) {
  auto own = TakeOwn(newest_attempt);
  own.relay = true;
  Outgoing to_relays;
  to_relays.priority = PriorityOf(own);
  for (const auto& [name, zone] : zones_) {
    if (name == options_.zone && IsOwnRelay(zone)) {
      if (collected_.empty()) {
        collected_due_ = std::max(collected_due_, now);
      }
      Collect(options_.self, own);
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
  if (!own_.empty() && now >= own_due_) {
    if (direct()) {
      own_due_ = now + Spaced(others_.size(), options_.direct_spacing);
      const auto priority = PriorityOf(own_);
      out.push_back({others_, TakeOwn(newest_attempt), priority});
    } else {
      own_due_ = now + Spaced(zones_.size(), options_.to_relays_spacing);
      SendToRelays(newest_attempt, now, &out);
    }
  }
  if (!collected_.empty() && now >= collected_due_) {
    collected_due_ = now + Spaced(zone_mates_.size(), options_.relay_spacing);
    RelayedNotices relayed;
    auto priority = PeerPriority::kBulk;
    for (auto& [origin, notices] : std::exchange(collected_, {})) {
      if (PriorityOf(notices) == PeerPriority::kUrgent) {
        priority = PeerPriority::kUrgent;
      }
      relayed.from.push_back({origin, std::move(notices)});
    }
    if (!zone_mates_.empty()) {
      out.push_back({zone_mates_, std::move(relayed), priority});
    }
  }
  if (!to_acknowledge_.empty() && now >= acks_due_) {
    acks_due_ = now + options_.ack_interval;
    const auto to = std::exchange(to_acknowledge_, {});
    out.push_back({{to.begin(), to.end()}, NoticeAck(), PeerPriority::kBulk});
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
  consider(!own_.empty(), own_due_);
  if (!crashes_again_.empty()) {
    consider(true, crashes_again_.begin()->first);
  }
  consider(!collected_.empty(), collected_due_);
  consider(!to_acknowledge_.empty(), acks_due_);
  return next;
}

}  // namespace baobabrun
