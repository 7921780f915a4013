// A model request as the engine stand-in parses it: the caller's fields and
// those that the router adds to the body.
#ifndef STANDIN_MODEL_REQUEST_H_
#define STANDIN_MODEL_REQUEST_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/error.h"
#include "base/ids.h"
#include "requests/request.h"
#include "standin/engine.h"

namespace baobabrun::standin {

struct ModelRequest {
  RequestKind kind = RequestKind::kChat;
  ModelId model;
  bool stream = false;
  std::string prompt;
  std::string weights;  // weights that must be loaded; empty: any
  std::string user;     // tag chosen by the caller, or empty
  std::int64_t answer_tokens = 0;
  // Number and text of the tokens that the caller has already received. The
  // answer continues after them.
  std::int64_t delivered_tokens = 0;
  std::string delivered;
  // The request to the engine. The id isn't set.
  EngineRequest work;
};

// Parses `body`. The request is marked as poison if the prompt contains
// `poison_marker` and this isn't empty. Errors: std::errc::invalid_argument.
Result<ModelRequest> ReadModelRequest(RequestKind kind,
                                      std::string_view body,
                                      std::string_view poison_marker);

}  // namespace baobabrun::standin

#endif  // STANDIN_MODEL_REQUEST_H_
