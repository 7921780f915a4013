// Small helpers of the stand-ins' HTTP sides.
#ifndef STANDIN_HTTP_HELPERS_H_
#define STANDIN_HTTP_HELPERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "callers/http_server.h"
#include "standin/fault_plan.h"

namespace baobabrun::standin {

// Settings of a stand-in's server.
HttpServerOptions EndpointHttpOptions(const Address& listen, std::string name);
void RefuseTooLarge(HttpExchange& exchange);

// Headers of a JSON answer; the last one echoes the request's attempt id, if it
// has one.
std::vector<Header> JsonHeaders(const HttpRequest& request);

// The status with which the fault refuses a request, or 0.
int RefusalStatus(const std::optional<Fault>& fault);

// Reads up to 16 hexadecimal digits; 0 if there are none.
std::uint64_t ParseHex(std::string_view text);

// Number of this process's first life: a later process gets a larger one.
std::uint64_t FirstIncarnation();

}  // namespace baobabrun::standin

#endif  // STANDIN_HTTP_HELPERS_H_
