// Functions for parsing HTTP header lines.
#ifndef ENDPOINTS_HTTP_HEADER_H_
#define ENDPOINTS_HTTP_HEADER_H_

#include <string>
#include <string_view>

#include "requests/request.h"

namespace baobabrun {

std::string LowerCase(std::string_view text);
// Returns `text` without white space at both ends.
std::string_view Trim(std::string_view text);
// Parses "Name: value" into a lower-case name and a value. Returns false if the
// line is not a header.
bool ReadHeader(std::string_view line, Header* header);

}  // namespace baobabrun

#endif  // ENDPOINTS_HTTP_HEADER_H_
