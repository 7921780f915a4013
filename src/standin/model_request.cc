// Parses the bodies that the router forwards.
#include "standin/model_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "callers/body_reader.h"
#include "prefix/block_hash.h"
#include "standin/answer_text.h"

namespace baobabrun::standin {
namespace {

using nlohmann::json;

constexpr std::int64_t kDefaultMaxTokens = 1024;
constexpr std::int64_t kDefaultBlockBytes = 8192;

std::int64_t ReadNumber(const json& body,
                        const char* name,
                        std::int64_t default_value) {
  const auto it = body.find(name);
  return it != body.end() && it->is_number_integer() ? it->get<std::int64_t>()
                                                     : default_value;
}

std::string ReadText(const json& body, const char* name) {
  const auto it = body.find(name);
  return it != body.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

BlockHash ReadSalt(const json& body) {
  constexpr int kHexadecimal = 16;
  const auto text = ReadText(body, "cache_salt");
  BlockHash salt = 0;
  std::from_chars(text.data(), text.data() + text.size(), salt, kHexadecimal);
  return salt;
}

void ReadContinuation(const json& body, ModelRequest* out) {
  const auto it = body.find("continue_from");
  if (it == body.end() || !it->is_object()) {
    return;
  }
  out->delivered_tokens = ReadNumber(*it, "events", 0);
  out->delivered = ReadText(*it, "text");
}

// Fills in the request to the engine. The text that was delivered counts as
// part of the prompt, and only the remaining tokens are to be produced.
void SetWork(const json& body,
             std::string_view poison_marker,
             ModelRequest* out) {
  const std::string whole = out->prompt + out->delivered;
  const auto block_bytes = static_cast<std::size_t>(std::max<std::int64_t>(
      1, ReadNumber(body, "block_bytes", kDefaultBlockBytes)));
  auto& work = out->work;
  work.blocks = HashBlocks(whole, ReadSalt(body), block_bytes);
  work.prompt_tokens =
      static_cast<std::int64_t>(whole.size() / kBytesPerToken) + 1;
  work.output_tokens =
      std::max<std::int64_t>(0, out->answer_tokens - out->delivered_tokens);
  work.priority = static_cast<std::int32_t>(ReadNumber(body, "priority", 0));
  work.poison = !poison_marker.empty() &&
                out->prompt.find(poison_marker) != std::string::npos;
}

}  // namespace

Result<ModelRequest> ReadModelRequest(RequestKind kind,
                                      std::string_view body,
                                      std::string_view poison_marker) {
  const auto call = ReadModelCall(kind, body);
  if (!call.ok()) {
    return call.error();
  }
  const json fields = json::parse(body, nullptr, false);
  ModelRequest out;
  out.kind = kind;
  out.model = call.value().model;
  out.stream = call.value().stream;
  out.prompt = *call.value().prompt;
  out.user = ReadText(fields, "user");
  out.weights = ReadText(fields, "weights");
  const auto max_tokens = call.value().max_tokens;
  out.answer_tokens =
      AnswerTokens(out.prompt, max_tokens > 0 ? max_tokens : kDefaultMaxTokens);
  ReadContinuation(fields, &out);
  SetWork(fields, poison_marker, &out);
  return out;
}

}  // namespace baobabrun::standin
