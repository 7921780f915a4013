// The endpoints that have announced themselves to this VM: whether each is
// alive, what it can run and how much work it has. The table assigns each
// endpoint a slot, which is its index in the table and never changes.
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

using EndpointIndex = std::uint32_t;

struct EndpointTableOptions {
  // An endpoint that has not announced itself for this long gets no new
  // requests.
  Duration expiry = seconds(3);
  // Reports of peers about their requests in flight are used for this long.
  Duration peer_load_expiry = milliseconds(500);
  // Backoff after a failure at an endpoint. It doubles with each consecutive
  // failure, up to the longest.
  Duration initial_backoff = milliseconds(250);
  Duration max_backoff = seconds(10);
};

enum class EndpointHealth { kServing, kLeaving, kRetired, kExpired };
std::string_view NameOf(EndpointHealth health);

// The state of an endpoint that status pages show.
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
  std::int32_t loading = 0;  // models that are being loaded
  bool checks_fencing = false;
};

// Requests that another VM has in flight at an endpoint.
struct PeerLoad {
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
  // Attempts of requests that may crash endpoints.
  std::int32_t suspects = 0;
  Instant received_at;
};

struct EndpointState {
  Announcement last;  // the cache events are left out
  Instant last_announced;
  bool expired = false;
  bool retired = false;
  // The attempts of this VM in flight, and the prompt tokens that the endpoint
  // is expected to compute for those of them that have no answer yet. Never
  // negative.
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
  std::int32_t suspects = 0;
  // True if the last report to the peers contained requests of this VM here.
  bool reported_to_peers = false;
  std::map<VmId, PeerLoad> peer_loads;
  PeerLoad peer_total;  // sum over `peer_loads`; `received_at` is not used here
  // The number of consecutive failures, and the time until which other
  // endpoints are preferred because of them.
  std::int32_t failures = 0;
  Instant backoff_until;
  // Moving average of the observed divided by the expected time to first token.
  double slowness = 1.0;
  Instant slowness_at;
  // Moving average of the time for which a request occupies a slot. Empty until
  // the first request has completed.
  std::optional<Duration> service_time;

  EndpointHealth health() const;
  bool takes_new_work() const { return health() == EndpointHealth::kServing; }
};

// The best estimate of the work at an endpoint that this VM can make.
struct EndpointLoad {
  std::int32_t running = 0;
  std::int64_t prefill_tokens = 0;
};

class EndpointTable {
 public:
  explicit EndpointTable(EndpointTableOptions options) : options_(options) {}

  enum class Change {
    kStale,           // of an earlier incarnation; ignored
    kForeign,         // another writer's, under this id; ignored
    kNew,             // the endpoint was unknown
    kHeartbeat,       // same incarnation, same models
    kUnloaded,        // same incarnation, but some weights were unloaded
    kNewIncarnation,  // restarted; its cache and running requests are lost
  };
  struct Outcome {
    EndpointIndex slot = 0;
    Change change = Change::kStale;
  };
  // As long as an endpoint announces itself, its kind and service stay: an
  // announcement of others under its id doesn't come from it.
  Outcome OnAnnouncement(const Announcement& it, Instant now);
  void SetRetired(std::span<const EndpointId> retired);
  // A report of a peer arrived. The peer has no requests in flight at endpoints
  // that its report leaves out.
  void OnPeerReport(Instant now) { last_peer_report_ = now; }
  void OnPeerLoad(const VmId& peer,
                  const EndpointId& endpoint,
                  Incarnation incarnation,
                  PeerLoad load);
  // Marks the endpoints whose heartbeats have stopped as expired and returns
  // those that were not marked before.
  std::vector<EndpointIndex> Expire(Instant now);
  // The time at which the next endpoint expires. Empty if all have expired.
  std::optional<Instant> NextExpiry() const;

  // Removes peer loads that were not reported again in time. Frequent calls are
  // cheap.
  void ExpirePeerLoads(Instant now);
  // Returns whether this VM or a peer runs a request at the endpoint that may
  // crash it.
  bool RunsSuspect(EndpointIndex slot) const;

  // Record the start of an attempt of this VM, the end of its prefill and the
  // end of the attempt.
  void AddWork(EndpointIndex slot, std::int64_t prefill_tokens);
  void PrefillDone(EndpointIndex slot, std::int64_t prefill_tokens);
  void RemoveWork(EndpointIndex slot);

  void OnSuccess(EndpointIndex slot);
  void OnFailure(EndpointIndex slot, Instant now);

  // Combines the endpoint's own late load report with the requests that this VM
  // and its peers have in flight.
  EndpointLoad LoadOf(EndpointIndex slot, Instant now) const;

  // Endpoints that can run `request` and take new requests.
  std::vector<EndpointIndex> Matching(const Request& request) const;
  std::optional<EndpointIndex> Find(const EndpointId& endpoint) const;
  const EndpointState& at(EndpointIndex slot) const { return states_[slot]; }
  EndpointState& at(EndpointIndex slot) { return states_[slot]; }
  std::size_t size() const { return states_.size(); }
  std::vector<EndpointView> Views() const;

 private:
  const EndpointTableOptions options_;
  // Indexed by slot. Never shrinks, since there are few endpoint names and they
  // are used again.
  std::vector<EndpointState> states_;
  std::unordered_map<EndpointId, EndpointIndex> slots_;
  std::set<EndpointId> retired_;
  std::optional<Instant> last_peer_report_;
  Instant last_peer_expiry_;
};

}  // namespace baobabrun

#endif  // PLACEMENT_ENDPOINT_TABLE_H_
