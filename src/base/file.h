// Reads small files.
#ifndef BASE_FILE_H_
#define BASE_FILE_H_

#include <filesystem>
#include <string>

#include "base/error.h"

namespace baobabrun {

// Returns the whole content of `file`. If it can't be opened, the error is
// std::errc::io_error and its message names the file.
Result<std::string> ReadTextFile(const std::filesystem::path& file);

}  // namespace baobabrun

#endif  // BASE_FILE_H_
