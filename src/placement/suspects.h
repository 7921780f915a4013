// Requests that may have crashed endpoints. A try that broke while its endpoint
// may have died counts as a loss against the request's fingerprint; heartbeats
// of the same incarnation clear it later, a restart or silence confirms it.
// A fingerprint with two losses is not run again until one of them is cleared
// or forgotten, so no request costs more than two endpoints. VMs tell each
// other their losses, so that this holds wherever the caller sends it again.
#ifndef PLACEMENT_SUSPECTS_H_
#define PLACEMENT_SUSPECTS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "requests/request.h"

namespace baobabrun {

// Equal for requests of one organisation with the same content.
using Fingerprint = std::uint64_t;
Fingerprint FingerprintOf(const Request& request);

struct SuspectsOptions {
  // How long a loss is held against a fingerprint.
  Duration remembered = std::chrono::minutes(10);
  // A heartbeat clears losses that are at least this old; earlier ones may
  // have been under way when the endpoint died.
  Duration proof_margin = milliseconds(500);
  // Most fingerprints kept; the oldest loss goes first.
  std::size_t most_kept = 4096;
};

// An endpoint that may have died of a request.
struct Loss {
  Fingerprint fingerprint = 0;
  EndpointId endpoint;
  Incarnation incarnation;
  Instant at;
  bool confirmed = false;
};

enum class Standing {
  kClear,
  kSuspect,      // one loss
  kUnresolved,   // two losses, of which one may still be cleared
  kQuarantined,  // two confirmed losses
};

class Suspects {
 public:
  explicit Suspects(SuspectsOptions options) : options_(options) {}

  // Returns false if this loss is known, or too old to matter.
  bool Add(Loss loss, Instant now);
  // A heartbeat of the endpoint. Clears losses of this incarnation and confirms
  // those of earlier ones.
  void OnHeartbeat(const EndpointId& endpoint,
                   Incarnation incarnation,
                   Instant now);
  // The endpoint's heartbeats stopped.
  void OnExpired(const EndpointId& endpoint, Incarnation incarnation);
  void Forget(Instant now);

  Standing Of(Fingerprint fingerprint) const;
  bool empty() const { return losses_.empty(); }
  // At most `most` losses, other ones at each call.
  std::vector<Loss> Some(std::size_t most);

 private:
  const SuspectsOptions options_;
  // No two losses share fingerprint, endpoint and incarnation. Few: a crash
  // adds one for each request that ran there.
  std::vector<Loss> losses_;
  std::size_t next_told_ = 0;
};

}  // namespace baobabrun

#endif  // PLACEMENT_SUSPECTS_H_
