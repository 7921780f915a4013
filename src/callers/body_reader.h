// Parses the JSON body of a model call. A malformed body is rejected here,
// before the request is processed any further.
#ifndef CALLERS_BODY_READER_H_
#define CALLERS_BODY_READER_H_

#include <string_view>

#include "base/error.h"
#include "requests/request.h"

namespace baobabrun {

// Parses `body` as a chat completion if `kind` is kChat, else as a plain
// completion. Errors: std::errc::invalid_argument; the message is a sentence
// that the caller gets to see.
Result<ModelCall> ReadModelCall(RequestKind kind, std::string_view body);

}  // namespace baobabrun

#endif  // CALLERS_BODY_READER_H_
