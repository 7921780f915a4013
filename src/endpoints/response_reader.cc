// Joins the checks of a response's head, body and end.
#include "endpoints/response_reader.h"

#include <utility>

namespace baobabrun {

ResponseReader::ResponseReader(bool may_have_body,
                               std::function<bool()> request_arrived)
    : request_arrived_(std::move(request_arrived)), head_(may_have_body) {}

bool ResponseReader::Fail(std::string_view fault) {
  fault_ = fault;
  return false;
}

bool ResponseReader::AddLine(std::string_view line) {
  const bool was_complete = head_.complete();
  if (!head_.Add(line)) {
    return Fail("the response's head is malformed or too long");
  }
  if (!was_complete && head_.success_without_length() && !request_arrived_()) {
    return Fail(
        "a success without a length began before its request had arrived");
  }
  return true;
}

bool ResponseReader::AddBytes(
    std::string_view bytes,
    const std::function<bool(std::string_view data)>& on_data) {
  if (!head_.complete()) {
    return Fail("bytes of a body came before the end of the head");
  }
  if (head_.framing() != BodyFraming::kChunked) {
    return on_data(bytes);
  }
  if (chunks_.Add(bytes, on_data)) {
    return true;
  }
  return chunks_.malformed() && Fail("the response's chunks are malformed");
}

bool ResponseReader::AddEnd() {
  if (!head_.complete()) {
    return Fail("the response ended inside its head");
  }
  if (head_.framing() == BodyFraming::kChunked && !chunks_.complete()) {
    return Fail("the response ended inside its chunks");
  }
  return true;
}

}  // namespace baobabrun
