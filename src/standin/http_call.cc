// HTTP calls with libcurl's easy interface.
#include "standin/http_call.h"

#include <curl/curl.h>
#include <fmt/core.h>

#include <algorithm>
#include <cctype>
#include <memory>

namespace baobabrun::standin {
namespace {

std::size_t OnBody(char* data, std::size_t size, std::size_t n, void* cls) {
  static_cast<HttpAnswer*>(cls)->body.append(data, size * n);
  return size * n;
}

std::size_t OnHeader(char* data, std::size_t size, std::size_t n, void* cls) {
  const std::string_view line(data, size * n);
  const auto colon = line.find(':');
  if (colon != std::string_view::npos) {
    Header header;
    header.name = line.substr(0, colon);
    std::transform(header.name.begin(), header.name.end(), header.name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    auto value = line.substr(colon + 1);
    value.remove_prefix(std::min(value.size(), value.find_first_not_of(' ')));
    header.value = value.substr(0, value.find_first_of("\r\n"));
    static_cast<HttpAnswer*>(cls)->headers.push_back(std::move(header));
  }
  return size * n;
}

}  // namespace

std::string_view HttpAnswer::HeaderValue(std::string_view name) const {
  const auto it =
      std::find_if(headers.begin(), headers.end(),
                   [name](const auto& header) { return header.name == name; });
  return it == headers.end() ? std::string_view() : it->value;
}

HttpAnswer PerformCall(const HttpCall& call) {
  HttpAnswer answer;
  const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(),
                                                    &curl_easy_cleanup);
  const auto url =
      fmt::format("http://{}{}", ToString(call.address), call.path);
  curl_slist* headers = curl_slist_append(nullptr, "Expect:");
  for (const auto& it : call.headers) {
    headers = curl_slist_append(
        headers, fmt::format("{}: {}", it.name, it.value).c_str());
  }
  const auto timeout = std::chrono::duration_cast<milliseconds>(call.timeout);
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS,
                   static_cast<long>(timeout.count()));
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &answer);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERFUNCTION, &OnHeader);
  curl_easy_setopt(easy.get(), CURLOPT_HEADERDATA, &answer);
  if (!call.body.empty() || call.method == "POST") {
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, call.body.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(call.body.size()));
  }
  curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, call.method.c_str());
  answer.complete = curl_easy_perform(easy.get()) == CURLE_OK;
  long status = 0;
  curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
  answer.status = static_cast<int>(status);
  curl_slist_free_all(headers);
  return answer;
}

}  // namespace baobabrun::standin
