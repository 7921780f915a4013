// Reading header lines of answers.
#ifndef ENDPOINTS_HTTP_HEADER_H_
#define ENDPOINTS_HTTP_HEADER_H_

#include <string>
#include <string_view>

#include "requests/request.h"

namespace baobabrun {

std::string LowerCase(std::string_view text);
// `text` without blanks at both ends.
std::string_view Trim(std::string_view text);
// Reads "Name: value" into a lower-case name and a value. False if the line
// is no header.
bool ReadHeader(std::string_view line, Header* header);

}  // namespace baobabrun

#endif  // ENDPOINTS_HTTP_HEADER_H_
