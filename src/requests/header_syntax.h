// The bytes that HTTP/1.1 allows in the names and values of headers (RFC 9110,
// sections 5.1 and 5.5).
#ifndef REQUESTS_HEADER_SYNTAX_H_
#define REQUESTS_HEADER_SYNTAX_H_

#include <string_view>

namespace baobabrun {

bool IsHeaderName(std::string_view text);
bool IsHeaderValue(std::string_view text);
// Whether `text` is a length in bytes: digits only, and not too many for a
// 64-bit number.
bool IsBodyLength(std::string_view text);
// Whether `text` names the one transfer coding that frames a body.
bool IsChunkedCoding(std::string_view text);

}  // namespace baobabrun

#endif  // REQUESTS_HEADER_SYNTAX_H_
