// Builds the JSON body that is sent to an engine: the caller's own body and the
// fields that the router sets.
#ifndef ENDPOINTS_FORWARD_BODY_H_
#define ENDPOINTS_FORWARD_BODY_H_

#include <string>

#include "requests/request.h"

namespace baobabrun {

// Sets max_tokens to the limit of the contract, and adds cache_salt,
// block_bytes, weights (which the engine must have loaded) and priority. Also
// adds continue_from if an earlier attempt delivered a part of the answer.
std::string BuildForwardBody(const Dispatch& dispatch);

// Builds the body of POST /v1/resume, with which the same engine continues the
// stream of an earlier attempt.
std::string BuildResumeBody(const Dispatch& dispatch);

// Returns the id as 16 hexadecimal digits, as used in headers and bodies.
std::string AttemptText(AttemptId attempt);

}  // namespace baobabrun

#endif  // ENDPOINTS_FORWARD_BODY_H_
