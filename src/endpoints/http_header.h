// Functions for parsing HTTP header lines.
#ifndef ENDPOINTS_HTTP_HEADER_H_
#define ENDPOINTS_HTTP_HEADER_H_

#include <optional>
#include <string>
#include <string_view>

#include "requests/request.h"

namespace baobabrun {

std::string LowerCase(std::string_view text);
// Returns `text` without white space at both ends.
std::string_view Trim(std::string_view text);
// Returns `text` without blanks and tabs at both ends.
std::string_view TrimBlanks(std::string_view text);

// Reads one line without its end. Returns nothing if it is no header field (RFC
// 9112, section 5): the name ends at the colon, neither part has a byte that
// none may have, and the line doesn't go on with the one before. The name is in
// lower case.
std::optional<Header> ReadHeaderLine(std::string_view line);

}  // namespace baobabrun

#endif  // ENDPOINTS_HTTP_HEADER_H_
