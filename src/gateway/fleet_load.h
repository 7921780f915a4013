// An entry's model of what the fleet's model engines are doing: which calls
// wait or run at each, how long a new call would wait for its first token, and
// which prompt parts each has cached. Fed by what all entries tell each other
// of their sendings, and by this entry's own; predictions hold until news
// corrects them. A loss of messages makes it less exact, never wrong for good:
// everything in it expires.
//
// Answers the load of bursts and of weights that empty all caches: calls go
// where they start soonest, and parts are fetched from a cache rather than read
// again.
#ifndef GATEWAY_FLEET_LOAD_H_
#define GATEWAY_FLEET_LOAD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/call.h"

namespace baobabrun {

// A prompt up to the end of one of its parts.
struct PromptPrefix {
  std::uint64_t hash = 0;   // of scope, weights and all parts so far
  std::int64_t tokens = 0;  // of the last part alone
};

// What one call asks of an engine.
struct CallWork {
  std::vector<PromptPrefix> prefixes;  // nested, shortest first
  std::size_t shared = 0;              // the first so many may serve others

  std::int64_t tokens() const;
};
// Prefixes under one version of weights and one cache scope.
CallWork WorkOf(const std::vector<PromptPart>& parts,
                const std::string& cache_scope,
                std::uint64_t weights);

// Names a sending over the fleet.
using SendingKey = std::pair<VmId, std::uint64_t>;

struct FleetLoadOptions {
  // Of an engine without other work.
  double read_tokens_per_ms = 40;
  double fetch_tokens_per_ms = 130;
  // Fetches between zones take this many times as long.
  double far_fetch_factor = 2;
  // From the last token read to the first event at the caller.
  Duration first_step = milliseconds(15);
  // A sending of which nothing was heard for so long is forgotten.
  Duration longest_sending = seconds(20);
  // Until a store has what an engine has read.
  Duration save_lag = milliseconds(150);
  std::int64_t store_tokens = 500'000;
  // Part of an engine's memory that cached parts can be expected to have.
  double cache_part = 0.6;
};

// Where a call would begin how soon.
struct LoadEstimate {
  Duration first_token{};
  std::int64_t unread = 0;  // shared tokens that would be read
  std::int64_t fetched = 0;
  // Who has most of the prompt besides the endpoint. Also told where the
  // endpoint should have all of it, since it may have dropped some.
  std::optional<Address> fetch_from;
};

// An endpoint that may take calls, or give parts; or a store, which only gives.
struct LoadEndpoint {
  EndpointId endpoint;
  Address address;
  ZoneId zone;
  std::int64_t memory_tokens = 0;  // zero: not known
};

class FleetLoad {
 public:
  explicit FleetLoad(FleetLoadOptions options) : options_(options) {}

  void Sent(const SendingKey& key,
            const EndpointId& endpoint,
            const CallWork& work,
            Instant now,
            const EndpointId& saved_to = EndpointId());
  // The first event of the answer has come.
  void Began(const SendingKey& key, Instant now);
  void Ended(const SendingKey& key, Instant now);
  // The endpoint emptied its cache, or is another one now.
  void Emptied(const EndpointId& endpoint);
  void Expire(Instant now);

  // `others` are all endpoints with the same weights, `endpoint` included.
  LoadEstimate Estimate(const LoadEndpoint& endpoint,
                        const CallWork& work,
                        const std::vector<LoadEndpoint>& others,
                        Instant now) const;
  std::int32_t InFlight(const EndpointId& endpoint) const;
  // Whether all shared parts are there.
  bool HasShared(const EndpointId& endpoint, const CallWork& work) const;

 private:
  struct Cached {
    std::int64_t tokens = 0;
    Instant ready;  // predicted, until the call that reads it has begun
    Instant used;
  };
  struct Sending {
    EndpointId endpoint;
    Instant sent;
    std::int64_t tokens = 0;
    Duration work{};  // of reading, as predicted
    bool began = false;
    std::vector<std::uint64_t> reads;  // prefixes that it reads
    EndpointId saved_to;               // a store; empty: none
    CallWork shared;                   // what is saved there
  };
  struct Engine {
    Instant busy_until;  // predicted end of all reading
    std::map<std::uint64_t, Cached> cache;
    std::int64_t cached_tokens = 0;
    std::int64_t running_tokens = 0;  // of all sendings
    std::vector<SendingKey> unread;   // sent and not begun, oldest first
    std::int32_t in_flight = 0;
  };

  // How many of the prefixes, from the shortest, the engine has.
  std::size_t Depth(const Engine& engine,
                    const CallWork& work,
                    std::optional<Instant> ready_by) const;
  void Remember(Engine& engine,
                const CallWork& work,
                std::size_t depth,
                Instant ready,
                Instant now);
  void Trim(Engine& engine, std::int64_t memory_tokens);
  Duration ReadTime(std::int64_t tokens) const;
  void Settle(Engine& engine, const SendingKey& key, Instant now);

  const FleetLoadOptions options_;
  std::map<EndpointId, Engine> engines_;
  std::map<SendingKey, Sending> sendings_;
};

}  // namespace baobabrun

#endif  // GATEWAY_FLEET_LOAD_H_
