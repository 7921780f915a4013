// An admitted request until its final answer, and its tries.
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

// Requests that the same endpoints can run. Each pool has its own queue, so
// that one without endpoints holds up no other.
struct PoolKey {
  std::string service;  // empty for model calls
  ModelId model;
  std::string weights;
  std::string adapter;

  // The check takes the defaulted <=> for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const PoolKey&) const = default;
};

struct OpenRequest {
  enum class State { kQueued, kRunning };

  RequestPtr request;
  PoolKey pool;
  std::vector<BlockHash> blocks;
  std::optional<Fingerprint> fingerprint;  // made when first needed
  State state = State::kQueued;
  // The last moment at which a try could still begin its answer in time.
  Instant latest_start;
  // When the request must be looked at again, if nothing else happens.
  std::optional<Instant> timer;

  std::int32_t tries = 0;
  std::vector<EndpointSlot> tried;
  AttemptId attempt;  // the running one, if state is kRunning
  // The try that the same endpoint may still hold; see Dispatch::resume_of.
  AttemptId resume_of;
  EndpointSlot resume_slot = 0;
  bool fresh_connection = false;

  // True once any byte was handed to any endpoint. Never goes back.
  bool handed = false;
  bool answer_begun = false;  // never goes back
  std::shared_ptr<const std::string> delivered;
  std::uint64_t delivered_events = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
  std::int64_t completion_tokens = 0;
  EndpointId endpoint;  // of the last try

  // Set when the request is given up while a try runs: what its caller is told
  // as soon as the try has ended.
  std::optional<Refusal> ending;
};

struct Attempt {
  RequestId request;
  EndpointSlot slot = 0;
  Incarnation incarnation;
  std::int64_t prefill_tokens = 0;  // 0 after the first byte
  Instant started;
  Duration expected{};  // time to first token
  // When its wait is counted as slowness of the endpoint, if no first byte
  // came.
  Instant overdue;
  bool resumes = false;
  // The first byte shows how fast the endpoint is. Not so for an answer in one
  // piece, which comes when all of it is there, or for a continuation.
  bool timed = false;
  bool first_byte = false;
  bool suspect = false;  // the request may crash endpoints
  // Cancelled, to be tried again elsewhere: the endpoint restarted, or is slow.
  bool lost = false;
  bool replaced = false;
};

}  // namespace baobabrun

#endif  // PLACEMENT_OPEN_REQUEST_H_
