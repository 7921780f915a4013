// Counts how often a stand-in ran each request and how many requests contained
// a caller's API key. Tests compare the router's results with it. Thread-safe.
#ifndef STANDIN_RUN_RECORDER_H_
#define STANDIN_RUN_RECORDER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "callers/http_exchange.h"

namespace baobabrun::standin {

class RunRecorder {
 public:
  // `key_marker` is a text that each caller's API key contains. If it is empty,
  // only headers that usually contain a key, such as Authorization, count.
  explicit RunRecorder(std::string key_marker);

  // Returns the tag that identifies a request. It is the first of these that
  // isn't empty: the header X-Request-Tag, `user`, the query's parameter "tag",
  // the hash of the body.
  static std::string TagOf(const HttpRequest& request, std::string_view user);

  // Counts the request if its headers, path, query or body contain a key.
  void CheckForKey(const HttpRequest& request);
  void Started(const std::string& tag);
  void Continued(const std::string& tag);
  void Finished(const std::string& tag);
  void Cancelled(const std::string& tag);
  void Refused(const std::string& tag);

  // Returns the body of GET /runs:
  // {"keys_seen": 0, "faults_waiting": 0, "crashes": 0, "runs": {"TAG":
  // {"started": 1, "finished": 1, ...}}}
  std::string ToJson(std::int64_t faults_waiting, std::uint64_t crashes) const;

 private:
  struct Counts {
    std::int64_t started = 0;
    std::int64_t continued = 0;
    std::int64_t finished = 0;
    std::int64_t cancelled = 0;
    std::int64_t refused = 0;
  };

  bool ContainsKey(std::string_view text) const;
  void Count(const std::string& tag, std::int64_t Counts::*field);

  const std::string key_marker_;
  mutable std::mutex mutex_;
  std::int64_t keys_seen_ = 0;
  std::map<std::string, Counts> runs_;
};

}  // namespace baobabrun::standin

#endif  // STANDIN_RUN_RECORDER_H_
