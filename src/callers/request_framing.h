// Checks that the end of a request is where every reader of HTTP/1.1 finds it.
//
// A request whose framing two readers may understand differently can hide
// another one in its body: the first reader takes its bytes for a part of the
// body, the second for a request of their own. Such a request is refused with
// 400 before any byte of it is passed on, and its connection is closed
// (RFC 9112, sections 5.1, 6.1 and 6.3).
#ifndef CALLERS_REQUEST_FRAMING_H_
#define CALLERS_REQUEST_FRAMING_H_

#include <string_view>
#include <vector>

#include "requests/request.h"

namespace baobabrun {

// Returns why the headers leave the request's end open, or aren't headers at
// all; empty if they are sound. Names are in lower case. `knows_chunks` is
// false for HTTP/1.0, which has no chunks.
std::string_view FramingFault(const std::vector<Header>& headers,
                              bool knows_chunks);

}  // namespace baobabrun

#endif  // CALLERS_REQUEST_FRAMING_H_
