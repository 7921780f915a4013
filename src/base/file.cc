// Reads small files.
#include "base/file.h"

#include <fmt/core.h>

#include <fstream>
#include <sstream>

namespace baobabrun {

Result<std::string> ReadTextFile(const std::filesystem::path& file) {
  std::ifstream in(file);
  if (!in) {
    return Error{std::make_error_code(std::errc::io_error),
                 fmt::format("{}: cannot be read", file.string())};
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

}  // namespace baobabrun
