// Formats answers as the OpenAI API does.
#include "standin/answer_format.h"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

namespace baobabrun::standin {
namespace {

using nlohmann::json;

json UsageJson(const AnswerUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_tokens}}}};
}

std::string FormatEvent(std::int64_t id, const json& chunk) {
  return fmt::format("id: {}\ndata: {}\n\n", id, chunk.dump());
}

const char* ObjectName(RequestKind kind) {
  return kind == RequestKind::kChat ? "chat.completion" : "text_completion";
}

}  // namespace

std::string TokenEvent(RequestKind kind,
                       std::int64_t id,
                       const std::string& text) {
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (kind == RequestKind::kChat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  return FormatEvent(id, {{"choices", json::array({choice})}});
}

std::string FinishEvent(RequestKind kind,
                        std::int64_t id,
                        const AnswerUsage& usage) {
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (kind == RequestKind::kChat) {
    choice["delta"] = json::object();
  } else {
    choice["text"] = "";
  }
  return FormatEvent(
      id, {{"choices", json::array({choice})}, {"usage", UsageJson(usage)}});
}

std::string WholeAnswer(RequestKind kind,
                        const std::string& model,
                        const std::string& text,
                        const AnswerUsage& usage) {
  json choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (kind == RequestKind::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const json out = {{"object", ObjectName(kind)},
                    {"model", model},
                    {"choices", json::array({choice})},
                    {"usage", UsageJson(usage)}};
  return out.dump();
}

std::string ErrorAnswer(const std::string& code, const std::string& message) {
  const json out = {{"error", {{"code", code}, {"message", message}}}};
  return out.dump();
}

}  // namespace baobabrun::standin
