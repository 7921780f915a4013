// The JSON body that an engine gets: the caller's own, with the fields the
// router sets.
#ifndef ENDPOINTS_FORWARD_BODY_H_
#define ENDPOINTS_FORWARD_BODY_H_

#include <string>

#include "requests/request.h"

namespace baobabrun {

// Sets max_tokens to the contract's cap, adds cache_salt, block_bytes,
// weights (which the engine must have loaded) and priority, and continue_from
// where an earlier try delivered a part already.
std::string BuildForwardBody(const Dispatch& dispatch);

// The body of POST /v1/resume, which goes on with the same engine's own stream.
std::string BuildResumeBody(const Dispatch& dispatch);

// Ids as they stand in headers and bodies: 16 hexadecimal digits.
std::string AttemptText(AttemptId attempt);

}  // namespace baobabrun

#endif  // ENDPOINTS_FORWARD_BODY_H_
