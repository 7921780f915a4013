// Reading of small files.
#ifndef BASE_FILE_H_
#define BASE_FILE_H_

#include <filesystem>
#include <string>

#include "base/error.h"

namespace baobabrun {

// The whole of `file`. Errors: std::errc::io_error, with the file's name.
Result<std::string> ReadTextFile(const std::filesystem::path& file);

}  // namespace baobabrun

#endif  // BASE_FILE_H_
