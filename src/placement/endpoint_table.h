// The endpoints that one VM knows of, from their announcements: who is alive,
// what each can run, how much work each has. An endpoint keeps its slot (a
// small number) for as long as the table knows it.
#ifndef PLACEMENT_ENDPOINT_TABLE_H_
#define PLACEMENT_ENDPOINT_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.h"
#include "base/ids.h"
#include "base/time.h"
#include "endpoints/announcement.h"
#include "requests/request.h"

namespace baobabrun {

using EndpointSlot = std::uint32_t;

struct EndpointTableOptions {
  // An endpoint that has not announced itself for this long gets no new work.
  Duration expiry = seconds(3);
  // Peers' reports of requests in flight are used for this long.
  Duration peer_load_expiry = milliseconds(500);
  // Pause after a failure on an endpoint; doubles with each in a row.
  Duration first_backoff = milliseconds(250);
  Duration longest_backoff = seconds(10);
};

enum class EndpointHealth { kServing, kLeaving, kRetired, kExpired };
std::string_view NameOf(EndpointHealth health);

// For status pages.
struct EndpointView {
  EndpointId endpoint;
  Incarnation incarnation;
  ZoneId zone;
  Address address;
  EndpointHealth health = EndpointHealth::kServing;
  std::int32_t running = 0;  // this VM's attempts in flight
  std::vector<LoadedModel> models;
  std::string service;
  std::int32_t slots = 0;
  std::int32_t loading = 0;  // models it is loading now
  bool checks_fencing = false;
};

// What another VM has in flight at an endpoint.
struct PeerLoad {
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
  std::int32_t suspects = 0;  // tries of requests that may crash endpoints
  Instant heard;
};

struct EndpointState {
  Announcement last;  // without its cache events
  Instant heard;
  bool expired = false;
  bool retired = false;
  // This VM's attempts in flight, and the prompt tokens that those without an
  // answer yet are expected to have computed. Never negative.
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
  std::int32_t suspects = 0;
  bool told_peers = false;  // peers count work of this VM here
  std::map<VmId, PeerLoad> peers;
  PeerLoad peers_sum;  // over `peers`; its `heard` is not used
  // Failures in a row, and until when others are preferred because of them.
  std::int32_t failures = 0;
  Instant avoid_until;
  // Running mean of observed over expected time to first token.
  double slowness = 1.0;
  Instant slowness_at;
  // Running mean of how long a request holds a slot.
  std::optional<Duration> service_time;

  EndpointHealth health() const;
  bool takes_new_work() const { return health() == EndpointHealth::kServing; }
};

// Work at an endpoint as this VM best knows it.
struct EndpointLoad {
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
};

class EndpointTable {
 public:
  explicit EndpointTable(EndpointTableOptions options) : options_(options) {}

  enum class Change {
    kStale,           // from an earlier incarnation; ignored
    kNew,             // first heard of
    kHeartbeat,       // same incarnation, same models
    kUnloaded,        // same incarnation, but some weights are gone
    kNewIncarnation,  // restarted: cache and running requests are gone
  };
  struct Outcome {
    EndpointSlot slot = 0;
    Change change = Change::kStale;
  };
  Outcome OnAnnouncement(const Announcement& it, Instant now);
  void SetRetired(std::span<const EndpointId> retired);
  // A peer told of its requests in flight: those it doesn't name are none.
  void OnPeer(Instant now) { peers_heard_ = now; }
  void OnPeerLoad(const VmId& peer,
                  const EndpointId& endpoint,
                  Incarnation incarnation,
                  PeerLoad load);
  // Marks endpoints whose heartbeats stopped and returns them.
  std::vector<EndpointSlot> Expire(Instant now);
  // When Expire has work next.
  std::optional<Instant> NextExpiry() const;

  // Drops what peers have not told again in time. Cheap if called often.
  void ForgetPeers(Instant now);
  // Whether a request that may crash its endpoint runs there, of this VM or a
  // peer.
  bool RunsSuspect(EndpointSlot slot) const;

  // Work given to or taken from an endpoint by this VM.
  void AddWork(EndpointSlot slot, std::int64_t prefill_tokens);
  void PrefillDone(EndpointSlot slot, std::int64_t prefill_tokens);
  void RemoveWork(EndpointSlot slot);

  void OnSuccess(EndpointSlot slot);
  void OnFailure(EndpointSlot slot, Instant now);

  // Lagged reports corrected by this VM's and its peers' requests in flight.
  EndpointLoad LoadOf(EndpointSlot slot, Instant now) const;

  // Endpoints that may run `request`, alive and not leaving.
  std::vector<EndpointSlot> Matching(const Request& request) const;
  std::optional<EndpointSlot> Find(const EndpointId& endpoint) const;
  const EndpointState& at(EndpointSlot slot) const { return states_[slot]; }
  EndpointState& at(EndpointSlot slot) { return states_[slot]; }
  std::size_t size() const { return states_.size(); }
  std::vector<EndpointView> Views() const;

 private:
  const EndpointTableOptions options_;
  // Indexed by slot; never shrinks, since names of endpoints are few and come
  // back.
  std::vector<EndpointState> states_;
  std::unordered_map<EndpointId, EndpointSlot> slots_;
  std::set<EndpointId> retired_;
  std::optional<Instant> peers_heard_;
  Instant peers_checked_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_ENDPOINT_TABLE_H_
