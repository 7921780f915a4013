// Finds parts of prompts that crash the endpoints which begin to answer calls
// with them, whatever else the calls hold, and quarantines these parts.
//
// VMs tell each other which calls broke off before their first event, and with
// which parts. When an endpoint ends, many calls break off, but only those
// whose answer was about to begin are likely causes. A part is quarantined if
// the ends of several endpoints under different calls have it in common, and no
// call with it has begun soundly at any of the VMs meanwhile. Ends that a
// quarantined part explains count against no other part, so that parts which
// come along with it, like that of an organisation, stay in use.
//
// A quarantined part is told again at intervals, by whichever VM comes first:
// VMs that restarted or were cut off learn of it in this way. A VM at which a
// call with the part has begun since the newest crash, or lately if crashes are
// few, objects; calls with the part are then let through.
//
// This class has no threads, sockets or clock.
#ifndef GATEWAY_CRASH_CAUSES_H_
#define GATEWAY_CRASH_CAUSES_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/call.h"
#include "gateway/gateway_message.h"

namespace baobabrun {

struct CrashCausesOptions {
  // A part is quarantined once endpoints have ended under it at this many
  // moments, under at least `min_calls` different calls. Endpoints that end at
  // the same moment are likely to have another cause, and the parts of one call
  // that is repeated can't be told apart.
  std::size_t crash_limit = 3;
  std::size_t min_calls = 3;
  // Fewer calls are enough after this many crashes.
  std::size_t many_crashes = 5;
  std::size_t min_calls_if_many_crashes = 2;
  // The same as `crash_limit` for a part with which calls have begun soundly
  // lately, again under at least `min_calls` calls.
  std::size_t crash_limit_if_sound = 5;
  // How long crashes and sound calls are remembered.
  Duration remembered = seconds(60);
  // How long after a crash the other VMs' notices of it are awaited.
  Duration settle_time = milliseconds(60);
  // What happens within this time counts as one moment. Two calls that break
  // off at an endpoint at one moment confirm its end.
  Duration same_moment = milliseconds(100);
  // After this time the end of an endpoint that hasn't reported since needs no
  // confirmation.
  Duration silence = milliseconds(2'500);
  // An endpoint that reports later than this after it seemed to end hasn't
  // ended; a report that comes sooner may be older.
  Duration report_delay = milliseconds(300);
  Duration report_delay_if_confirmed = seconds(1);
  // Returns when an endpoint last reported.
  std::function<Instant(const EndpointId& endpoint)> last_report;
  // A quarantine is in force after this time unless another VM objects.
  Duration objection_time = milliseconds(120);
  // The same for a part with which calls have begun soundly lately; longer than
  // it takes such a call to begin.
  Duration objection_time_if_sound = milliseconds(500);
  // After this time calls with a quarantined part are let through again; the
  // next crash under it then starts another quarantine, twice as long.
  Duration quarantine = seconds(120);
  Duration longest_quarantine = std::chrono::minutes(30);
  // A quarantine is told again after this time, unless another VM told it.
  Duration tell_interval = seconds(1);
};

// Keys of the parts that calls may share: all but the last of a prompt.
std::vector<std::uint64_t> SharedPartsOf(const GatewayCall& call);

class CrashCauses {
 public:
  CrashCauses(CrashCausesOptions options, std::uint64_t seed);

  // An attempt broke off, at this VM or another, or an endpoint can't be
  // reached any more.
  void Add(const CrashNotice& notice, Instant now);
  // Whether it isn't known yet that an endpoint has ended at which a call
  // broke off.
  bool AwaitsConfirmation(const EndpointId& endpoint,
                          Incarnation incarnation) const;
  // The endpoint answered a call that was sent to it at `sent`.
  void AddAlive(const EndpointId& endpoint,
                Incarnation incarnation,
                Instant sent);
  // An endpoint has begun to answer a call with these parts and goes on.
  void AddSound(const std::vector<std::uint64_t>& parts,
                Instant begun,
                Instant now);
  void Learn(const QuarantineNotice& notice, Instant now);

  // What this VM knows of the parts, for a CrashNotice.
  std::vector<SuspectPart> Describe(const std::vector<std::uint64_t>& parts,
                                    Instant now) const;
  // How long calls with one of the parts are refused; zero if they aren't.
  Duration QuarantinedFor(const std::vector<std::uint64_t>& parts,
                          Instant now) const;
  // Whether endpoints have ended under one of the parts, and none has answered
  // a call with it.
  bool Suspected(const std::vector<std::uint64_t>& parts) const;

  void Advance(Instant now);
  // When Advance has something to do; null if it hasn't.
  std::optional<Instant> NextDue() const;
  // The quarantines that are to be told to the other VMs now.
  std::vector<QuarantineNotice> TakeNotices(Instant now);
  void Expire(Instant now);

 private:
  // A call that broke off before its first event.
  struct Candidate {
    std::uint64_t fingerprint = 0;
    bool answering = false;
    std::vector<std::uint64_t> parts;  // in the prompt's order
  };
  // The end of an endpoint, or what looks like it.
  struct End {
    Instant at;  // when the first call broke off, as far as known
    bool confirmed = false;
    std::set<std::uint64_t> attempts;  // that broke off
    std::vector<Candidate> candidates;
  };
  // The ends that a part has in common.
  struct Tally {
    std::set<Instant> ends;
    std::size_t depth = 0;  // its position in the prompts
    std::set<std::uint64_t> calls;
  };
  struct Quarantine {
    Instant newest_crash;
    std::size_t crashes = 0;
    Instant from;
    Instant until;
    Duration length{};
    Instant next_tell;

    bool InForce(Instant now) const { return now >= from && now < until; }
  };

  std::optional<Instant> SoundAt(std::uint64_t part) const;
  bool Counts(const End& end, Instant now) const;
  bool Explained(const End& end) const;
  std::map<std::uint64_t, Tally> TallyParts(Instant now) const;
  std::size_t MomentsOf(const Tally& tally) const;
  bool IsCause(std::uint64_t part, const Tally& tally) const;
  // Whether the first part is the likelier cause.
  bool Likelier(std::uint64_t part,
                const Tally& tally,
                std::uint64_t other,
                const Tally& other_tally) const;
  void DropEndsOfReporting();
  void Judge(Instant now);
  void Impose(std::uint64_t part, const Tally& tally, Instant now);
  // Whether a call that began at `begun` shows that the quarantine isn't due.
  bool Refutes(Instant begun, const Quarantine& held) const;
  void Lift(std::uint64_t part);
  Duration ObjectionTime(std::uint64_t part) const;
  Duration TellDelay();

  const CrashCausesOptions options_;
  std::mt19937_64 random_;
  std::map<std::pair<EndpointId, Incarnation>, End> ends_;
  // When a call with the part last began soundly.
  std::unordered_map<std::uint64_t, Instant> sound_;
  // Includes those that are over, which a single crash starts again.
  std::map<std::uint64_t, Quarantine> quarantines_;
  std::set<std::uint64_t> suspects_;
  std::set<std::uint64_t> objections_;  // to be told
  std::optional<Instant> judge_at_;
};

}  // namespace baobabrun

#endif  // GATEWAY_CRASH_CAUSES_H_
