// Checks a caller's request against the fleet's state: whose key it is, and
// what that organisation's contract allows.
#ifndef SERVE_ADMISSION_H_
#define SERVE_ADMISSION_H_

#include <memory>

#include "keys/key_table.h"
#include "orders/rollout.h"
#include "requests/request.h"
#include "settings/declarations.h"

namespace baobabrun {

struct AdmissionOutcome {
  RequestPtr request;  // null if refused
  Refusal refusal;
};

// Turns `caller` into a request of the organisation whose key it carries, or
// says why not. Only a route open to all needs no key.
// `rollout` says which weights it runs on.
AdmissionOutcome CheckRequest(const FleetState& state,
                              const KeyTable& keys,
                              const Rollout& rollout,
                              const CallerRequest& caller);

// The models that the caller's contract allows, as the JSON of GET /v1/models,
// or a refusal.
struct ModelList {
  bool ok = false;
  std::string json;
  Refusal refusal;
};
ModelList ListModels(const FleetState& state,
                     const KeyTable& keys,
                     const CallerRequest& caller);

}  // namespace baobabrun

#endif  // SERVE_ADMISSION_H_
