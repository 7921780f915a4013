// A request as the engine stand-in reads it: the caller's body and the fields
// that the router adds.
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
  std::string weights;  // that must be loaded; empty: any
  std::string user;     // the caller's own tag, or empty
  std::int64_t answer_tokens = 0;
  // Where the answer goes on: tokens that the caller has already.
  std::int64_t delivered_tokens = 0;
  std::string delivered;
  // For the engine, without an id.
  EngineRequest work;
};

// Reads `body`. A prompt that holds `poison_marker`, unless that is empty, is
// poison. Errors: std::errc::invalid_argument.
Result<ModelRequest> ReadModelRequest(RequestKind kind,
                                      std::string_view body,
                                      std::string_view poison_marker);

}  // namespace baobabrun::standin

#endif  // STANDIN_MODEL_REQUEST_H_
