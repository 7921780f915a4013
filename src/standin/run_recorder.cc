// Counts runs by the tags of their requests.
#include "standin/run_recorder.h"

#include <fmt/core.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/hash.h"

namespace baobabrun::standin {
namespace {

constexpr std::string_view kKeyHeaders[] = {
    "authorization", "proxy-authorization", "x-api-key", "api-key"};
constexpr std::string_view kTagParameter = "tag=";

std::string_view QueryTag(std::string_view query) {
  while (!query.empty()) {
    const auto parameter = query.substr(0, query.find('&'));
    if (parameter.starts_with(kTagParameter)) {
      return parameter.substr(kTagParameter.size());
    }
    query.remove_prefix(std::min(query.size(), parameter.size() + 1));
  }
  return {};
}

}  // namespace

RunRecorder::RunRecorder(std::string key_marker)
    : key_marker_(std::move(key_marker)) {}

std::string RunRecorder::TagOf(const HttpRequest& request,
                               std::string_view user) {
  for (const auto tag :
       {request.HeaderValue("x-request-tag"), user, QueryTag(request.query)}) {
    if (!tag.empty()) {
      return std::string(tag);
    }
  }
  return fmt::format("{:016x}", FastHash(request.body));
}

void RunRecorder::CheckForKey(const HttpRequest& request) {
  const bool in_headers = std::any_of(
      request.headers.begin(), request.headers.end(), [this](const auto& it) {
        return std::find(std::begin(kKeyHeaders), std::end(kKeyHeaders),
                         it.name) != std::end(kKeyHeaders) ||
               ContainsKey(it.value);
      });
  if (in_headers || ContainsKey(request.path) || ContainsKey(request.query) ||
      ContainsKey(request.body)) {
    std::lock_guard lock(mutex_);
    ++keys_seen_;
  }
}

bool RunRecorder::ContainsKey(std::string_view text) const {
  return !key_marker_.empty() &&
         text.find(key_marker_) != std::string_view::npos;
}

void RunRecorder::Started(const std::string& tag) {
  Count(tag, &Counts::started);
}

void RunRecorder::Continued(const std::string& tag) {
  Count(tag, &Counts::continued);
}

void RunRecorder::Finished(const std::string& tag) {
  Count(tag, &Counts::finished);
}

void RunRecorder::Cancelled(const std::string& tag) {
  Count(tag, &Counts::cancelled);
}

void RunRecorder::Refused(const std::string& tag) {
  Count(tag, &Counts::refused);
}

void RunRecorder::Count(const std::string& tag, std::int64_t Counts::*field) {
  std::lock_guard lock(mutex_);
  ++(runs_[tag].*field);
}

std::string RunRecorder::ToJson(std::int64_t faults_waiting,
                                std::uint64_t crashes) const {
  std::lock_guard lock(mutex_);
  nlohmann::json runs = nlohmann::json::object();
  for (const auto& [tag, counts] : runs_) {
    runs[tag] = {{"started", counts.started},
                 {"continued", counts.continued},
                 {"finished", counts.finished},
                 {"cancelled", counts.cancelled},
                 {"refused", counts.refused}};
  }
  const nlohmann::json out = {{"keys_seen", keys_seen_},
                              {"faults_waiting", faults_waiting},
                              {"crashes", crashes},
                              {"runs", std::move(runs)}};
  return out.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace baobabrun::standin
