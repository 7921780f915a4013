// Bytes that an endpoint sent past the end of its answer, or without a request.
#ifndef ENDPOINTS_SURPLUS_H_
#define ENDPOINTS_SURPLUS_H_

#include <functional>
#include <string_view>

#include "settings/process_settings.h"

namespace baobabrun {

// When they were found.
enum class SurplusFound {
  kAtEnd,    // the answer that they follow ended
  kIdle,     // the connection carried no request
  kOnReuse,  // the next request was about to be sent on the connection
};
std::string_view NameOf(SurplusFound found);

struct Surplus {
  Address endpoint;
  int local_port = 0;  // of the connection, which is closed
  SurplusFound found = SurplusFound::kAtEnd;
};

// Called on the client's thread.
using OnSurplus = std::function<void(const Surplus& surplus)>;

}  // namespace baobabrun

#endif  // ENDPOINTS_SURPLUS_H_
