// Checks of the order and completeness of streamed answers.
#include "endpoints/stream_guard.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

namespace baobabrun {
namespace {

using nlohmann::json;

constexpr std::string_view kEndMarker = "[DONE]";

std::int64_t ReadCount(const json& object, const char* name) {
  const auto it = object.find(name);
  if (it == object.end() || !it->is_number_integer()) {
    return 0;
  }
  return it->get<std::int64_t>();
}

void ReadUsageObject(const json& answer, Usage* out) {
  const auto usage = answer.find("usage");
  if (usage == answer.end() || !usage->is_object()) {
    return;
  }
  out->prompt_tokens = ReadCount(*usage, "prompt_tokens");
  out->completion_tokens = ReadCount(*usage, "completion_tokens");
  const auto details = usage->find("prompt_tokens_details");
  if (details != usage->end() && details->is_object()) {
    out->cached_tokens = ReadCount(*details, "cached_tokens");
  }
}

// Returns the text of a chunk: choices[0].delta.content or choices[0].text.
std::string_view ChunkText(const json& chunk) {
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return {};
  }
  const auto& choice = choices->front();
  const json* text = nullptr;
  if (const auto it = choice.find("text"); it != choice.end()) {
    text = &*it;
  } else if (const auto delta = choice.find("delta");
             delta != choice.end() && delta->is_object() &&
             delta->contains("content")) {
    text = &(*delta)["content"];
  }
  if (text == nullptr || !text->is_string()) {
    return {};
  }
  return text->get_ref<const std::string&>();
}

}  // namespace

StreamGuard::StreamGuard(std::uint64_t delivered_events, std::string delivered)
    : delivered_events_(delivered_events), delivered_(std::move(delivered)) {}

StreamGuard::Verdict StreamGuard::Accept(const StreamEvent& event) {
  if (complete_) {
    return Verdict::kDuplicate;
  }
  if (invalid_) {
    return Verdict::kInvalid;
  }
  if (event.data == kEndMarker) {
    complete_ = true;
    return Verdict::kTerminal;
  }
  if (event.id == 0 || event.id > delivered_events_ + 1) {
    invalid_ = true;
    return Verdict::kInvalid;
  }
  if (event.id <= delivered_events_) {
    return Verdict::kDuplicate;
  }
  delivered_events_ = event.id;
  ReadChunk(event.data);
  return Verdict::kForward;
}

void StreamGuard::ReadChunk(const std::string& data) {
  const json chunk = json::parse(data, nullptr, false);
  if (!chunk.is_object()) {
    return;
  }
  const auto text = ChunkText(chunk);
  delivered_.append(text);
  if (!text.empty()) {
    ++completion_tokens_;
  }
  Usage usage;
  ReadUsageObject(chunk, &usage);
  if (usage.prompt_tokens > 0) {
    prompt_tokens_ = usage.prompt_tokens;
    cached_tokens_ = usage.cached_tokens;
  }
}

bool ReadUsage(const std::string& body, Usage* usage) {
  const json answer = json::parse(body, nullptr, false);
  if (!answer.is_object()) {
    return false;
  }
  ReadUsageObject(answer, usage);
  return true;
}

}  // namespace baobabrun
