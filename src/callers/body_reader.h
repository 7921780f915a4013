// Reads the JSON body of a model call. Everything that is wrong with it is
// found here, before the request goes any further.
#ifndef CALLERS_BODY_READER_H_
#define CALLERS_BODY_READER_H_

#include <string_view>

#include "base/error.h"
#include "requests/request.h"

namespace baobabrun {

// Reads `body` as a chat or plain completion. Errors:
// std::errc::invalid_argument with a sentence for the caller.
Result<ModelCall> ReadModelCall(RequestKind kind, std::string_view body);

}  // namespace baobabrun

#endif  // CALLERS_BODY_READER_H_
