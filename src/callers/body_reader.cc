// Parses and validates the JSON body of a model call.
#include "callers/body_reader.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace baobabrun {
namespace {

using nlohmann::json;

// Bodies that are nested more deeply are refused. No chat needs more levels,
// and the destructor of a parsed value recurses once per level.
constexpr int kMaxDepth = 64;
constexpr std::int64_t kMaxTokens = 1'000'000;

Error InvalidBody(std::string message) {
  return {std::make_error_code(std::errc::invalid_argument),
          std::move(message)};
}

Result<json> ParseBody(std::string_view body) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, json::parse_event_t,
                                       json&) -> bool {
    if (depth > kMaxDepth) {
      too_deep = true;
      return false;
    }
    return true;
  };
  const json parsed = json::parse(body, limit_depth, false);
  if (too_deep) {
    return InvalidBody("the body is nested too deeply");
  }
  if (parsed.is_discarded()) {
    return InvalidBody("the body is not valid JSON");
  }
  if (!parsed.is_object()) {
    return InvalidBody("the body must be a JSON object");
  }
  return parsed;
}

// Appends the text of a message's content to `out`. The content is a string or
// an array of parts, each of which has a text.
Status AppendContent(const json& content, std::string* out) {
  if (content.is_string()) {
    out->append(content.get_ref<const std::string&>());
    return Ok();
  }
  if (!content.is_array()) {
    return InvalidBody(
        "messages: content must be a string or an array of parts");
  }
  for (const auto& it : content) {
    if (!it.is_object() || !it.contains("text") || !it["text"].is_string()) {
      return InvalidBody(
          "messages: a content part must be an object with a text");
    }
    out->append(it["text"].get_ref<const std::string&>());
  }
  return Ok();
}

Status ReadMessages(const json& body, std::string* out) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return InvalidBody("messages must be an array that is not empty");
  }
  for (const auto& it : *messages) {
    if (!it.is_object() || !it.contains("role") || !it["role"].is_string() ||
        !it.contains("content")) {
      return InvalidBody(
          "messages: each must be an object with role and content");
    }
    out->append(it["role"].get_ref<const std::string&>());
    out->push_back('\n');
    auto status = AppendContent(it["content"], out);
    if (!status.ok()) {
      return status;
    }
    out->push_back('\n');
  }
  return Ok();
}

Status ReadPrompt(const json& body, std::string* out) {
  const auto prompt = body.find("prompt");
  if (prompt == body.end() || !prompt->is_string()) {
    return InvalidBody("prompt must be a string");
  }
  *out = prompt->get<std::string>();
  return Ok();
}

Status ReadOptions(const json& body, ModelCall* call) {
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return InvalidBody("model must be a string");
  }
  call->model = ModelId(model->get<std::string>());
  if (const auto it = body.find("stream"); it != body.end()) {
    if (!it->is_boolean()) {
      return InvalidBody("stream must be true or false");
    }
    call->stream = it->get<bool>();
  }
  for (const char* name : {"max_tokens", "max_completion_tokens"}) {
    const auto it = body.find(name);
    if (it == body.end() || it->is_null()) {
      continue;
    }
    if (!it->is_number_integer() || *it < 1 || *it > kMaxTokens) {
      return InvalidBody(std::string(name) +
                         " must be a whole number from 1 to " +
                         std::to_string(kMaxTokens));
    }
    call->max_tokens = it->get<std::int64_t>();
  }
  if (const auto it = body.find("n"); it != body.end() && *it != 1) {
    return InvalidBody("n must be 1");
  }
  return Ok();
}

}  // namespace

Result<ModelCall> ReadModelCall(RequestKind kind, std::string_view body) {
  auto parsed = ParseBody(body);
  if (!parsed.ok()) {
    return parsed.error();
  }
  ModelCall call;
  auto status = ReadOptions(parsed.value(), &call);
  if (!status.ok()) {
    return status.error();
  }
  std::string prompt;
  status = kind == RequestKind::kChat ? ReadMessages(parsed.value(), &prompt)
                                      : ReadPrompt(parsed.value(), &prompt);
  if (!status.ok()) {
    return status.error();
  }
  call.prompt = std::make_shared<const std::string>(std::move(prompt));
  return call;
}

}  // namespace baobabrun
