// Declares the command `baobabrun serve`.
#ifndef SERVE_SERVE_COMMAND_H_
#define SERVE_SERVE_COMMAND_H_

namespace baobabrun::cli {

int RunServe(int argc, const char** argv);

}  // namespace baobabrun::cli

#endif  // SERVE_SERVE_COMMAND_H_
