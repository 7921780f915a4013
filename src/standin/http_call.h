// A blocking HTTP client for tools and tests.
#ifndef STANDIN_HTTP_CALL_H_
#define STANDIN_HTTP_CALL_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "requests/request.h"
#include "settings/process_settings.h"

namespace baobabrun::standin {

struct HttpCall {
  std::string method = "GET";
  Address address;
  std::string path = "/";
  std::vector<Header> headers;
  std::string body;
  Duration timeout = seconds(10);
};

struct HttpAnswer {
  int status = 0;               // 0: no answer was received
  bool complete = false;        // the body ended as its framing requires
  std::vector<Header> headers;  // names in lower case
  std::string body;

  // Returns the header's value, or an empty string if there is no such header.
  // `name` must be in lower case.
  std::string_view HeaderValue(std::string_view name) const;
};

HttpAnswer PerformCall(const HttpCall& call);

}  // namespace baobabrun::standin

#endif  // STANDIN_HTTP_CALL_H_
