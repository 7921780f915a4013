// Writes the head of an answer to a caller (RFC 9112).
#ifndef CALLERS_OUTGOING_HEAD_H_
#define CALLERS_OUTGOING_HEAD_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "requests/request.h"

namespace baobabrun {

struct OutgoingHead {
  int status = 0;
  std::vector<Header> headers;
  // Length of the body; nothing if it isn't known.
  std::optional<std::size_t> length;
  bool keep_alive = true;    // the connection stays open after the answer
  bool knows_chunks = true;  // false for a caller that speaks HTTP/1.0
};

// Whether an answer with `status` may have a body at all.
bool MayHaveBody(int status);

// Whether `headers` ask for the connection to be closed after the message.
bool AsksForClose(const std::vector<Header>& headers);
// Whether `headers` ask for the connection to be kept, as HTTP/1.0 callers do.
bool AsksForKeepAlive(const std::vector<Header>& headers);

// Returns the head's text, with its last empty line. Headers that frame the
// answer are replaced by those that hold for this connection; one that isn't
// well-formed is left out and logged. `Date` is added if it is missing.
std::string ToText(const OutgoingHead& head);

}  // namespace baobabrun

#endif  // CALLERS_OUTGOING_HEAD_H_
