// Prints errors.
#include "base/error.h"

namespace baobabrun {

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << error.code.category().name() << ": " << error.message;
}

}  // namespace baobabrun
