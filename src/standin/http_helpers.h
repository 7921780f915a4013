// Helper functions of the stand-ins' HTTP servers.
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

// Returns the options of a stand-in's HTTP server.
HttpServerOptions EndpointHttpOptions(const Address& listen, std::string name);
// Answers a request whose body is too large with 413.
void RefuseTooLarge(HttpExchange& exchange);

// Returns the headers of a JSON answer. The last one echoes the request's
// attempt id, if the request has one.
std::vector<Header> JsonHeaders(const HttpRequest& request);

// Returns the status with which the fault refuses a request, or 0 if it doesn't
// refuse it.
int RefusalStatus(const std::optional<Fault>& fault);

// Parses up to 16 hexadecimal digits. Returns 0 if there are none.
std::uint64_t ParseHex(std::string_view text);

// Returns the number from which this process counts its incarnations. A process
// that starts later gets a larger number.
std::uint64_t FirstIncarnation();

}  // namespace baobabrun::standin

#endif  // STANDIN_HTTP_HELPERS_H_
