// Error codes of the stand-ins.
#ifndef STANDIN_STANDIN_ERROR_H_
#define STANDIN_STANDIN_ERROR_H_

#include <system_error>

namespace baobabrun::standin {

enum class StandinError { kInvalidOption = 1, kQueueFull, kDuplicate, kListen };

std::error_code make_error_code(StandinError error);

}  // namespace baobabrun::standin

template <>
struct std::is_error_code_enum<baobabrun::standin::StandinError>
    : std::true_type {};

#endif  // STANDIN_STANDIN_ERROR_H_
