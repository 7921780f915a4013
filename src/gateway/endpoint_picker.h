// Chooses the endpoint for an attempt.
//
// For a model call it chooses the endpoint with the earliest predicted first
// token. Prefill of shared prompt parts that another endpoint has cached counts
// more than the time it takes, since it delays the engine's other calls. Among
// endpoints of equal cost, every VM ranks the endpoints for a prompt in the
// same way (rendezvous hashing), so that a new prompt is cached at one
// endpoint. This serves steady traffic with some frequently used prompts, and
// caches that a change of weights has emptied.
//
// For any other call it chooses the endpoint with the fewest calls in flight,
// and among equals one in this VM's own zone.
#ifndef GATEWAY_ENDPOINT_PICKER_H_
#define GATEWAY_ENDPOINT_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "gateway/call.h"
#include "gateway/fleet_load.h"
#include "registry/endpoint_registry.h"

namespace baobabrun {

// An endpoint that may run the call.
struct PickCandidate {
  EndpointId endpoint;
  const EndpointRecord* record = nullptr;  // not used by the picker
  ZoneId zone;
  std::int32_t in_flight = 0;  // attempts of all VMs, as far as known
  LoadEstimate load;           // set for model calls only
  bool avoid = false;          // failing often, or no report arrives from it
  // How long ago weights newer than the endpoint's were first named; zero if it
  // has the newest.
  Duration superseded{};
};

struct PickRequest {
  // Hash of the prompt's shared parts; null for calls without a prompt.
  std::optional<std::uint64_t> prefix;
};

struct EndpointPickerOptions {
  ZoneId zone;
  // Cost of each shared token that is prefilled again, or fetched, in addition
  // to the time that it takes here.
  Duration prefill_cost = std::chrono::microseconds(60);
  Duration fetch_cost = std::chrono::microseconds(25);
  // Weight of the delay that this call causes to other streams, or that they
  // cause to it, relative to a delay of its first token.
  double delay_weight = 0.15;
  // Endpoints whose costs differ by no more than this count as equal.
  Duration cost_tolerance = milliseconds(12);
  // Endpoints whose weights were superseded less than this ago, if at all, are
  // preferred.
  Duration weights_grace = milliseconds(1'300);
  // No call is sent that would begin on weights that were superseded this long
  // before.
  Duration weights_deadline = seconds(8);
};

class EndpointPicker {
 public:
  EndpointPicker(EndpointPickerOptions options, std::mt19937_64 random)
      : options_(std::move(options)), random_(random) {}

  // Whether a call that is sent to the candidate now begins, with its first
  // token, before the candidate's weights are too old. This may take twice as
  // long as predicted.
  bool MayBegin(const PickCandidate& candidate) const;
  // Returns null if no candidate may take the call.
  const PickCandidate* Pick(const PickRequest& request,
                            const std::vector<PickCandidate>& candidates);

 private:
  using Choices = std::vector<const PickCandidate*>;

  Choices Eligible(const std::vector<PickCandidate>& candidates) const;
  const PickCandidate* PickByPrefix(std::uint64_t prefix,
                                    Choices choices) const;
  const PickCandidate* PickLeastLoaded(const Choices& choices);

  const EndpointPickerOptions options_;
  std::mt19937_64 random_;
};

}  // namespace baobabrun

#endif  // GATEWAY_ENDPOINT_PICKER_H_
