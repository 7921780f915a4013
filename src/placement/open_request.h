// The state of an admitted request until its result, and of its attempts.
#ifndef PLACEMENT_OPEN_REQUEST_H_
#define PLACEMENT_OPEN_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "placement/endpoint_table.h"
#include "placement/suspects.h"
#include "prefix/block_hash.h"
#include "requests/request.h"

namespace baobabrun {

// Identifies a pool: the requests that the same endpoints can run. Each pool
// has its own queue, so that a pool without endpoints doesn't block the others.
struct PoolKey {
  std::string service;  // empty for model calls
  ModelId model;
  std::string weights;
  std::string adapter;

  // The lint check mistakes the defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PoolKey&) const = default;
};

struct OpenRequest {
  enum class State { kQueued, kRunning };

  RequestPtr request;
  PoolKey pool;
  std::vector<BlockHash> blocks;
  std::optional<Fingerprint> fingerprint;  // computed when first needed
  State state = State::kQueued;
  // The latest time at which an attempt can start and still begin its answer
  // before the deadline.
  Instant latest_start;
  // The time at which OnTimer is called for the request. Empty if no timer is
  // set.
  std::optional<Instant> timer;

  std::int32_t attempts_made = 0;
  std::vector<EndpointIndex> tried_endpoints;
  AttemptId attempt;  // the running attempt if state is kRunning
  // The earlier attempt that the endpoint in resume_slot may still run. See
  // Dispatch::resume_of.
  AttemptId resume_of;
  EndpointIndex resume_slot = 0;
  bool fresh_connection = false;

  // True once any byte of the request was sent to any endpoint. Never reset.
  bool reached_endpoint = false;
  bool answer_begun = false;  // never reset
  std::shared_ptr<const std::string> delivered;
  std::uint64_t delivered_events = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
  EndpointId endpoint;  // of the last attempt

  // Set when the request is given up while an attempt runs. The caller receives
  // this refusal as soon as the attempt has ended.
  std::optional<Refusal> pending_refusal;
};

struct Attempt {
  RequestId request;
  EndpointIndex slot = 0;
  Incarnation incarnation;
  std::int64_t prefill_tokens = 0;  // 0 after the first byte
  Instant started;
  Duration expected{};  // expected time to first token
  // The time from which a missing first byte counts as slowness of the
  // endpoint.
  Instant overdue;
  bool resumes = false;
  // True if the time to the first byte shows how fast the endpoint is. False
  // for an answer that is not streamed, whose first byte arrives only when the
  // whole answer is computed, and for a resumed answer.
  bool timed = false;
  bool first_byte = false;
  bool suspect = false;  // the request may crash endpoints
  // Cancelled because the endpoint has restarted. The request is then retried.
  bool endpoint_restarted = false;
  // Cancelled because the endpoint is slow. The request is then retried
  // elsewhere.
  bool rerouted = false;
};

}  // namespace baobabrun

#endif  // PLACEMENT_OPEN_REQUEST_H_
