// Decides which caches of endpoints and cache stores this VM polls for changes,
// and when. Each cache is polled by one entry of its zone, however many entries
// there are, or by one of any zone if there is none in its own; that entry
// reports to the others where their predictions were wrong.
//
// Predictions alone can't tell what an engine has evicted, which matters when a
// cache is too small for all frequently used prompt parts. Two entries that
// can't reach each other may poll the same cache; this costs extra requests and
// does no other harm.
#ifndef GATEWAY_CACHE_FEED_H_
#define GATEWAY_CACHE_FEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/entry_peer.h"
#include "settings/process_settings.h"

namespace baobabrun {

// A prompt part that was cached, or evicted wholly or in part.
struct CacheChange {
  std::string scope;  // see EndpointAttempt::cache_scope
  std::uint64_t weights = 0;
  std::string part;         // the part's id
  std::int64_t tokens = 0;  // cached after this change
};

struct CacheUpdate {
  std::uint64_t cache_incarnation = 0;  // changes when the cache restarts empty
  std::uint64_t next = 0;               // pass as `since` in the next query
  bool changes_lost = false;            // changes before these are lost
  std::vector<CacheChange> changes;     // oldest first
};

// An endpoint or store whose cache can be polled.
struct CacheSource {
  EndpointId endpoint;
  Address address;
  ZoneId zone;

  bool operator==(const CacheSource&) const = default;
};

// A query to `source` for its changes since position `since`.
struct CacheQuery {
  CacheSource source;
  std::uint64_t since = 0;
};

struct CacheFeedOptions {
  VmId self;
  ZoneId zone;
  // Time between two queries to one source. A change that the predictions miss
  // is known here this much later at most.
  Duration interval = milliseconds(300);
  // Time until the next query after one that got no answer.
  Duration retry_delay = seconds(1);
};

class CacheFeed {
 public:
  explicit CacheFeed(CacheFeedOptions options) : options_(std::move(options)) {}

  // `others` are all other entries, `sources` all caches of the fleet.
  void SetEntries(const std::vector<EntryPeer>& others, Instant now);
  void SetSources(std::vector<CacheSource> sources, Instant now);

  // Returns the queries that are due. The caller must pass each result to
  // OnUpdate.
  std::vector<CacheQuery> TakeDue(Instant now);
  std::optional<Instant> NextDue() const;
  // Puts off a query that was due.
  void Postpone(const EndpointId& endpoint, Instant until);

  // `update` is null if the source gave no answer or an unreadable one. Returns
  // whether the source's cache restarted empty since the last answer.
  bool OnUpdate(const EndpointId& endpoint,
                const CacheUpdate* update,
                Instant now);

  std::size_t polled() const { return polled_.size(); }

 private:
  struct PolledCache {
    Address address;
    std::uint64_t since = 0;
    std::uint64_t cache_incarnation = 0;
    bool known = false;  // `since` and `cache_incarnation` come from an answer
    bool querying = false;  // a query is in progress
    Instant due;
  };

  bool IsPolledHere(const CacheSource& source) const;
  void AssignCaches(Instant now);

  const CacheFeedOptions options_;
  std::vector<VmId> others_;
  std::map<ZoneId, std::vector<VmId>> by_zone_;  // the same
  std::vector<CacheSource> sources_;
  std::map<EndpointId, PolledCache> polled_;
};

}  // namespace baobabrun

#endif  // GATEWAY_CACHE_FEED_H_
