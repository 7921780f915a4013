// Request bodies for engines.
#include "endpoints/forward_body.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "prefix/block_hash.h"

namespace baobabrun {

using nlohmann::json;

std::string AttemptText(AttemptId attempt) {
  return fmt::format("{:016x}", attempt.value());
}

std::string BuildForwardBody(const Dispatch& dispatch) {
  const auto& request = *dispatch.request;
  json body = json::parse(*request.caller.body, nullptr, false);
  const auto seed = BlockSeed(request.organisation, request.caller.call.model,
                              request.adapter, request.weights);
  body.erase("max_completion_tokens");
  body["max_tokens"] = request.max_tokens;
  body["cache_salt"] = fmt::format("{:016x}", seed);
  body["block_bytes"] = request.block_tokens * kBytesPerToken;
  body["weights"] = request.weights;
  body["priority"] = static_cast<int>(request.priority);
  if (dispatch.delivered_events > 0 && dispatch.delivered != nullptr) {
    body["continue_from"] = {{"text", *dispatch.delivered},
                             {"events", dispatch.delivered_events}};
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string BuildResumeBody(const Dispatch& dispatch) {
  const json body = {{"attempt", AttemptText(dispatch.resume_of)},
                     {"after", dispatch.delivered_events}};
  return body.dump();
}

}  // namespace baobabrun
