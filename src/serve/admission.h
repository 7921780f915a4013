// Authenticates a caller's request by its key and checks that the contract of
// the key's organisation allows it.
#ifndef SERVE_ADMISSION_H_
#define SERVE_ADMISSION_H_

#include <memory>

#include "keys/key_table.h"
#include "orders/rollout.h"
#include "requests/request.h"
#include "settings/declarations.h"

namespace baobabrun {

struct AdmissionOutcome {
  RequestPtr request;  // null if the request is refused
  Refusal refusal;
};

// Returns the request of the organisation that owns the caller's key, or a
// refusal with the reason. A request on an open route needs no key. `rollout`
// chooses the weights on which a model call runs.
AdmissionOutcome CheckRequest(const FleetState& state,
                              const KeyTable& keys,
                              const Rollout& rollout,
                              const CallerRequest& caller);

// The answer to GET /v1/models: `json` lists the models that the caller's
// contract allows. If `ok` is false, `refusal` holds the reason.
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
