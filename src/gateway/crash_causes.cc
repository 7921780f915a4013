// Tallies the parts that ends of endpoints have in common.
#include "gateway/crash_causes.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "base/log.h"

namespace baobabrun {
namespace {

// Bounds of what is remembered, whatever callers send.
constexpr std::size_t kMaxEnds = 512;
constexpr std::size_t kMaxCandidates = 64;  // of one end
constexpr std::size_t kMaxSoundParts = 65'536;
constexpr std::size_t kMaxQuarantines = 1'024;
constexpr std::size_t kMaxParts = 32;  // of one call
// Ends under a part from which on calls with it aren't sent again.
constexpr std::size_t kSuspectEnds = 2;
// A call that breaks off this much later than others concerns another end.
constexpr Duration kSameEnd = seconds(2);

}  // namespace

std::vector<std::uint64_t> SharedPartsOf(const GatewayCall& call) {
  std::vector<std::uint64_t> parts;
  const auto model = FastHash(call.model.value());
  for (std::size_t n = 0; n + 1 < call.parts.size() && n < kMaxParts; ++n) {
    parts.push_back(FastHash(call.parts[n].id, model));
  }
  return parts;
}

CrashCauses::CrashCauses(CrashCausesOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {}

void CrashCauses::Add(const CrashNotice& notice, Instant now) {
  const auto at = now - notice.age;
  const auto due = now + options_.settle_time;
  judge_at_ = std::min(judge_at_.value_or(due), due);
  const std::pair key(notice.endpoint, notice.incarnation);
  auto it = ends_.find(key);
  if (notice.unreachable) {
    if (it != ends_.end()) {
      it->second.confirmed = true;
    }
    return;
  }
  if (it != ends_.end() && at - it->second.at > kSameEnd &&
      !it->second.attempts.contains(notice.attempt)) {
    it = ends_.erase(it);
    it = ends_.end();
  }
  if (it == ends_.end()) {
    if (ends_.size() >= kMaxEnds) {
      return;
    }
    it = ends_.emplace(key, End()).first;
    it->second.at = at;
  }
  auto& end = it->second;
  for (const auto& part : notice.parts) {
    if (part.sound_ago) {
      AddSound({part.part}, at - *part.sound_ago, now);
    }
  }
  if (!end.attempts.insert(notice.attempt).second) {
    return;
  }
  if (end.attempts.size() > 1 && at - end.at <= options_.same_moment) {
    end.confirmed = true;
  }
  end.at = std::min(end.at, at);
  if (!notice.parts.empty() && end.candidates.size() < kMaxCandidates) {
    Candidate candidate{notice.fingerprint, notice.answering, {}};
    for (const auto& part : notice.parts) {
      candidate.parts.push_back(part.part);
    }
    end.candidates.push_back(std::move(candidate));
  }
}

bool CrashCauses::AwaitsConfirmation(const EndpointId& endpoint,
                                     Incarnation incarnation) const {
  const auto it = ends_.find({endpoint, incarnation});
  return it != ends_.end() && !it->second.confirmed;
}

void CrashCauses::AddAlive(const EndpointId& endpoint,
                           Incarnation incarnation,
                           Instant sent) {
  const auto it = ends_.find({endpoint, incarnation});
  if (it != ends_.end() && sent > it->second.at) {
    ends_.erase(it);
  }
}

void CrashCauses::AddSound(const std::vector<std::uint64_t>& parts,
                           Instant begun,
                           Instant now) {
  for (const auto& it : parts) {
    const auto known = sound_.find(it);
    if (known == sound_.end() && sound_.size() >= kMaxSoundParts) {
      continue;
    }
    auto& at = known == sound_.end() ? sound_[it] : known->second;
    at = std::max(at, begun);
    const auto held = quarantines_.find(it);
    if (held != quarantines_.end() && now < held->second.until &&
        Refutes(begun, held->second)) {
      Lift(it);
      objections_.insert(it);
    }
  }
}

bool CrashCauses::Refutes(Instant begun, const Quarantine& held) const {
  return begun > held.newest_crash ||
         held.crashes < options_.crash_limit_if_sound;
}

void CrashCauses::Lift(std::uint64_t part) {
  quarantines_.erase(part);
  Log(Event::kPartReleased, {{"part", fmt::format("{:x}", part)}},
      "calls with part {:x} of their prompt are let through: one has begun at "
      "an endpoint",
      part);
}

void CrashCauses::Learn(const QuarantineNotice& notice, Instant now) {
  const auto newest = now - notice.age;
  const auto it = quarantines_.find(notice.part);
  if (notice.left <= Duration::zero()) {
    if (it != quarantines_.end() && Refutes(newest, it->second)) {
      Lift(notice.part);
    }
    AddSound({notice.part}, newest, now);
    return;
  }
  const auto sound = SoundAt(notice.part);
  Quarantine told;
  told.newest_crash = newest;
  told.crashes = notice.crashes;
  if (sound && Refutes(*sound, told)) {
    objections_.insert(notice.part);
    return;
  }
  if (it == quarantines_.end() && quarantines_.size() >= kMaxQuarantines) {
    return;
  }
  auto& held = quarantines_[notice.part];
  if (now >= held.until) {
    held.from = now + ObjectionTime(notice.part);
    Log(Event::kPartQuarantined,
        {{"part", fmt::format("{:x}", notice.part)},
         {"ends", notice.crashes},
         {"left_ms", InMs(notice.left)}},
        "another VM told that part {:x} of prompts crashes endpoints",
        notice.part);
  }
  held.newest_crash = std::max(held.newest_crash, newest);
  held.crashes = std::max<std::size_t>(held.crashes, notice.crashes);
  held.until = std::max(held.until, now + notice.left);
  held.length = std::max(held.length, options_.quarantine);
  held.next_tell = now + TellDelay();
}

std::vector<SuspectPart> CrashCauses::Describe(
    const std::vector<std::uint64_t>& parts,
    Instant now) const {
  std::vector<SuspectPart> out;
  for (const auto& it : parts) {
    const auto sound = SoundAt(it);
    out.push_back(
        {it, sound ? std::optional<Duration>(now - *sound) : std::nullopt});
  }
  return out;
}

Duration CrashCauses::QuarantinedFor(const std::vector<std::uint64_t>& parts,
                                     Instant now) const {
  Duration longest{};
  for (const auto& it : parts) {
    const auto held = quarantines_.find(it);
    if (held != quarantines_.end() && held->second.InForce(now)) {
      longest = std::max(longest, Duration(held->second.until - now));
    }
  }
  return longest;
}

bool CrashCauses::Suspected(const std::vector<std::uint64_t>& parts) const {
  return std::any_of(parts.begin(), parts.end(),
                     [this](const auto& it) { return suspects_.contains(it); });
}

std::optional<Instant> CrashCauses::SoundAt(std::uint64_t part) const {
  const auto it = sound_.find(part);
  return it == sound_.end() ? std::nullopt : std::optional(it->second);
}

bool CrashCauses::Counts(const End& end, Instant now) const {
  return end.confirmed || now - end.at >= options_.silence;
}

bool CrashCauses::Explained(const End& end) const {
  return std::any_of(
      end.candidates.begin(), end.candidates.end(), [&](const auto& it) {
        return std::any_of(
            it.parts.begin(), it.parts.end(), [&](const auto& part) {
              const auto held = quarantines_.find(part);
              return held != quarantines_.end() && held->second.until > end.at;
            });
      });
}

std::map<std::uint64_t, CrashCauses::Tally> CrashCauses::TallyParts(
    Instant now) const {
  std::map<std::uint64_t, Tally> tallies;
  for (const auto& [key, end] : ends_) {
    if (!Counts(end, now) || Explained(end)) {
      continue;
    }
    const bool any_answering =
        std::any_of(end.candidates.begin(), end.candidates.end(),
                    [](const auto& it) { return it.answering; });
    for (const auto& candidate : end.candidates) {
      if (any_answering && !candidate.answering) {
        continue;
      }
      for (std::size_t n = 0; n < candidate.parts.size(); ++n) {
        const auto part = candidate.parts[n];
        const auto sound = SoundAt(part);
        if (sound && *sound >= end.at) {
          continue;
        }
        auto& tally = tallies[part];
        tally.calls.insert(candidate.fingerprint);
        tally.ends.insert(end.at);
        tally.depth = std::max(tally.depth, n);
      }
    }
  }
  return tallies;
}

bool CrashCauses::IsCause(std::uint64_t part, const Tally& tally) const {
  if (quarantines_.contains(part)) {
    return true;
  }
  const auto moments = MomentsOf(tally);
  const auto calls = tally.calls.size();
  if (sound_.contains(part)) {
    return moments >= options_.crash_limit_if_sound &&
           calls >= options_.min_calls;
  }
  return (moments >= options_.crash_limit && calls >= options_.min_calls) ||
         (moments >= options_.many_crashes &&
          calls >= options_.min_calls_if_many_crashes);
}

std::size_t CrashCauses::MomentsOf(const Tally& tally) const {
  std::size_t moments = 0;
  auto begin = Instant::min();
  for (const auto& it : tally.ends) {
    if (moments == 0 || it - begin >= options_.same_moment) {
      begin = it;
      ++moments;
    }
  }
  return moments;
}

// Of parts that come together, one under enough different calls is likelier;
// else one with which no call is known to have begun, else the one with more
// crashes, else the one without a sound call for longer, else the deeper one,
// as more different calls share a part nearer to the prompt's begin.
bool CrashCauses::Likelier(std::uint64_t part,
                           const Tally& tally,
                           std::uint64_t other,
                           const Tally& other_tally) const {
  const auto rank = [this](std::uint64_t it, const Tally& of) {
    const auto sound = SoundAt(it);
    const auto age = sound ? -sound->time_since_epoch().count() : 0;
    return std::tuple(of.calls.size() >= options_.min_calls, !sound,
                      of.calls.size(), of.ends.size(), age, of.depth);
  };
  return rank(part, tally) > rank(other, other_tally);
}

void CrashCauses::DropEndsOfReporting() {
  if (!options_.last_report) {
    return;
  }
  std::erase_if(ends_, [this](const auto& it) {
    const auto& [endpoint, incarnation] = it.first;
    const auto delay = it.second.confirmed ? options_.report_delay_if_confirmed
                                           : options_.report_delay;
    return options_.last_report(endpoint) > it.second.at + delay;
  });
}

void CrashCauses::Judge(Instant now) {
  judge_at_.reset();
  DropEndsOfReporting();
  for (;;) {
    const auto tallies = TallyParts(now);
    const std::pair<const std::uint64_t, Tally>* cause = nullptr;
    for (const auto& it : tallies) {
      if (IsCause(it.first, it.second) &&
          (cause == nullptr ||
           Likelier(it.first, it.second, cause->first, cause->second))) {
        cause = &it;
      }
    }
    if (cause == nullptr) {
      suspects_.clear();
      for (const auto& [part, tally] : tallies) {
        if (tally.ends.size() >= kSuspectEnds && !sound_.contains(part)) {
          suspects_.insert(part);
        }
      }
      break;
    }
    Impose(cause->first, cause->second, now);
  }
  for (const auto& [key, it] : ends_) {
    if (!Counts(it, now)) {
      const auto due = it.at + options_.silence;
      judge_at_ = std::min(judge_at_.value_or(due), due);
    }
  }
}

void CrashCauses::Impose(std::uint64_t part, const Tally& tally, Instant now) {
  auto& held = quarantines_[part];
  held.length = held.length == Duration::zero()
                    ? options_.quarantine
                    : std::min(2 * held.length, options_.longest_quarantine);
  held.newest_crash = *tally.ends.rbegin();
  held.crashes += MomentsOf(tally);
  held.from = now + ObjectionTime(part);
  held.until = now + held.length;
  held.next_tell = now;
  Log(Event::kPartQuarantined,
      {{"part", fmt::format("{:x}", part)},
       {"ends", tally.ends.size()},
       {"left_ms", InMs(held.length)}},
      "{} endpoints ended under different calls with part {:x} of their "
      "prompts; calls with it are refused",
      tally.ends.size(), part);
}

Duration CrashCauses::ObjectionTime(std::uint64_t part) const {
  return sound_.contains(part) ? options_.objection_time_if_sound
                               : options_.objection_time;
}

Duration CrashCauses::TellDelay() {
  std::uniform_real_distribution<double> factor(0.75, 1.75);
  return std::chrono::duration_cast<Duration>(options_.tell_interval *
                                              factor(random_));
}

void CrashCauses::Advance(Instant now) {
  if (judge_at_ && now >= *judge_at_) {
    Judge(now);
  }
}

std::optional<Instant> CrashCauses::NextDue() const {
  auto next = judge_at_;
  for (const auto& [part, it] : quarantines_) {
    if (it.next_tell < it.until && (!next || it.next_tell < *next)) {
      next = it.next_tell;
    }
  }
  return next;
}

std::vector<QuarantineNotice> CrashCauses::TakeNotices(Instant now) {
  std::vector<QuarantineNotice> out;
  for (auto& [part, it] : quarantines_) {
    if (now >= it.next_tell && now < it.until) {
      out.push_back({part, now - it.newest_crash, it.until - now,
                     static_cast<std::uint32_t>(it.crashes)});
      it.next_tell = now + TellDelay();
    }
  }
  for (const auto& part : std::exchange(objections_, {})) {
    if (const auto sound = SoundAt(part)) {
      out.push_back({part, now - *sound, Duration::zero(), 0});
    }
  }
  return out;
}

void CrashCauses::Expire(Instant now) {
  std::erase_if(ends_, [&](const auto& it) {
    return now - it.second.at > options_.remembered;
  });
  std::erase_if(sound_, [&](const auto& it) {
    return now - it.second > options_.remembered;
  });
  std::erase_if(quarantines_, [&](const auto& it) {
    return now - it.second.until > options_.longest_quarantine;
  });
}

}  // namespace baobabrun
