// Decides how an entry's notices about its attempts and about caches reach the
// other entries.
//
// In a small fleet, each entry tells all others. In a larger one, it sends its
// notices to one relay in each zone, and relays send what they collected to the
// entries of their zone. So the messages of an entry grow with the number of
// zones and with the size of its own zone, not with the fleet.
//
// All VMs rank a zone's entries in the same way, so that few of them relay. A
// relay acknowledges what it gets; one that doesn't is replaced by the next.
// Relayed notices are never relayed again. This serves fleets of some dozens to
// hundreds of entries under steady traffic; a lost message makes the receivers'
// estimates less exact until the sender's next notices.
//
// On a slow link, whatever else a VM sends would wait behind notices. So they
// take only a part of it: batches wait until that part has had time for those
// before them, and when more is to be told than it can carry, the oldest is
// dropped.
//
// This class has no threads, sockets or clock.
#ifndef GATEWAY_NOTICE_RELAY_H_
#define GATEWAY_NOTICE_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/entry_peer.h"
#include "gateway/gateway_message.h"
#include "membership/peer_message.h"

namespace baobabrun {

struct NoticeRelayOptions {
  VmId self;
  ZoneId zone;
  // Up to this number of other entries, each is told directly.
  std::size_t most_direct = 16;
  // An entry sends at most one message per this time on average, so that the
  // processor time for it is bounded. Relays have more to tell in a message.
  Duration direct_spacing = milliseconds(2);
  Duration to_relays_spacing = milliseconds(10);
  Duration relay_spacing = milliseconds(16);
  // But a relay doesn't hold notices back for longer than this to spare
  // messages.
  Duration longest_relay_interval = milliseconds(300);
  // A relay waits for so long after the first notices, as others mostly follow.
  Duration relay_delay = milliseconds(10);
  // A zone has at most this many relays. All entries of a small zone relay, so
  // that none of them carries much.
  std::size_t most_relays = 16;
  // An entry lists its attempts in flight at most this often.
  Duration list_interval = milliseconds(500);
  // The part of the link that notices may take. Zero for no bound.
  double bytes_per_second = 0;
  // A batch holds no more than that part of the link carries in this time.
  Duration longest_batch = milliseconds(350);
  // A relay acknowledges this often at most.
  Duration ack_interval = milliseconds(450);
  // A relay that doesn't acknowledge for this long is replaced, and isn't
  // chosen again for `avoid_time`.
  Duration ack_timeout = milliseconds(750);
  Duration avoid_time = seconds(5);
  // After this time, longer than it takes to replace a relay, crashes are told
  // again.
  Duration crash_repetition = seconds(1);
};

class NoticeRelay {
 public:
  explicit NoticeRelay(NoticeRelayOptions options);

  void SetEntries(const std::vector<EntryPeer>& others);

  // Adds a notice about this VM's attempts or the caches that it polls.
  void Add(CallNotice notice);
  void Add(CacheNotice notice);
  // Crashes are told twice, as a lost notice lets a call crash more endpoints.
  void Add(const CrashNotice& notice, Instant now);
  void Add(const QuarantineNotice& notice);
  // Collects notices that `from` wants to be relayed in this zone.
  void Relay(const VmId& from, const CallNotices& notices, Instant now);
  void OnAck(const VmId& from);

  struct Outgoing {
    std::vector<VmId> to;
    GatewayMessage message;
    PeerPriority priority = PeerPriority::kBulk;
  };
  // Returns the messages that are due. `newest_attempt` is the serial of this
  // VM's newest attempt.
  std::vector<Outgoing> TakeDue(std::uint64_t newest_attempt, Instant now);
  // Records what sending a message that TakeDue() returned takes of the link.
  void OnSent(std::size_t bytes, Instant now);
  // When TakeDue() has messages; null if there is nothing to tell.
  std::optional<Instant> NextDue() const;

 private:
  struct Zone {
    std::vector<VmId> entries;  // by rank
    std::size_t relays = 0;     // so many, from the first, are relays
  };
  struct RelayState {
    std::optional<Instant> unacknowledged;  // first notices without an ack
    Instant avoided_until;
  };
  void AddCrashesAgain(Instant now);
  bool direct() const { return others_.size() <= options_.most_direct; }
  bool IsOwnRelay(const Zone& zone) const;
  const VmId* ChooseRelay(const Zone& zone, Instant now);
  bool Avoided(const VmId& relay, Instant now);
  CallNotices TakeOwn(std::uint64_t newest_attempt, Instant now);
  void Collect(const VmId& origin, const CallNotices& notices, Instant now);
  // When a batch may be sent that isn't due before `due`.
  Instant Paced(Instant due, bool urgent) const;
  RelayedNotices TakeCollected(Instant now);
  double batches_rate() const;  // in bytes a second
  // Drops the oldest notices of `batch` that the longest batch to so many
  // receivers has no room for.
  void DropOverflow(const std::vector<CallNotices*>& batch,
                    std::size_t receivers,
                    Instant now);
  void SendToRelays(std::uint64_t newest_attempt,
                    Instant now,
                    std::vector<Outgoing>* out);

  const NoticeRelayOptions options_;
  std::vector<VmId> others_;
  std::vector<VmId> zone_mates_;
  std::map<ZoneId, Zone> zones_;  // includes this VM
  std::map<VmId, RelayState> relays_;

  CallNotices own_;  // not yet sent
  Instant own_due_;
  // Crashes that are to be told again, by the time.
  std::multimap<Instant, CrashNotice> crashes_again_;
  std::set<std::uint64_t> in_flight_;  // serials of this VM's attempts
  bool in_flight_changed_ = false;     // since they were last listed
  Instant next_list_;
  std::map<VmId, CallNotices> collected_;  // by origin, not yet relayed
  Instant collected_due_;
  bool collected_urgent_ = false;
  // When the notices' part of the link has carried what was sent.
  Instant link_free_;
  // Notices dropped since the last log line about them.
  std::size_t dropped_ = 0;
  Instant next_drop_log_;
  std::set<VmId> to_acknowledge_;
  Instant acks_due_;
};

}  // namespace baobabrun

#endif  // GATEWAY_NOTICE_RELAY_H_
